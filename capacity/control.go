package capacity

import (
	"time"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/link"
	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/quorum"
	"github.com/kingcupknot/kingcupknot/registry"
	"github.com/kingcupknot/kingcupknot/wire"
)

const (
	controlTick = 10 * time.Millisecond
	// desiredConnections and heldConnections are the numbers that each entry
	// reports for each upstream.
	desiredConnections = 4
	heldConnections    = 3
)

// controlLoad is the load that a control leader is measured with. All entries
// serve all services, as in the current design.
type controlLoad struct {
	Entries   int
	Services  int
	Instances int
}

// controlSim drives a control leader that is the only member of its group.
type controlSim struct {
	load    controlLoad
	control *node.Control
	now     catalog.Instant
	// messages are the messages that the leader sent, in order.
	messages   []node.SendMessage
	replies    []node.Reply
	sequences  []uint64
	promotions int
}

// newState returns a replicated state in which every service has a ready primary.
func newState(services, instances int) *registry.State {
	s := registry.New()
	s.Version, s.Services = 1, newServices(services, instances)
	for n := range services {
		s.Primaries = append(s.Primaries, newPrimary(n))
	}
	return s
}

// newControlSim returns a leader that has received an announcement of each
// upstream and a report of each entry. All leases of earlier leaders have expired.
func newControlSim(l controlLoad) (*controlSim, error) {
	data, err := newState(l.Services, l.Instances).Snapshot()
	if err != nil {
		return nil, errors.Trace(err)
	}
	self := quorum.Member{VM: controlVM, Incarnation: 1, Voter: true}
	entries := map[catalog.VMID]catalog.SiteID{}
	for n := range l.Entries {
		entries[entryID(n)] = siteID(n)
	}
	r := &controlSim{load: l, now: catalog.Instant(time.Second), sequences: make([]uint64, l.Entries)}
	r.control, err = node.NewControl(node.ControlOptions{
		VM: controlVM, Timings: catalog.DefaultTimings(), Members: []catalog.VMID{controlVM}, Entries: entries,
		Saved: quorum.PersistentState{Self: self, Snapshot: quorum.Snapshot{
			Index: 1, Ballot: 1, Members: []quorum.Member{self}, Data: data,
		}},
		SnapshotAfter: 1 << 20, Seed: 1,
	}, r.now)
	if err != nil {
		return nil, errors.Trace(err)
	}
	r.advance(time.Second)
	r.announceAll(1)
	for n := range l.Entries {
		r.sendReport(n)
	}
	r.advance(catalog.DefaultTimings().LeaseLength)
	r.messages = nil
	return r, nil
}

// step passes an input to the reducer and carries out the effects at once, in
// place of the shell.
func (r *controlSim) step(in node.Input) {
	queue := []node.Input{in}
	for len(queue) > 0 {
		in, queue = queue[0], queue[1:]
		for _, x := range r.control.Step(node.Event{Now: r.now, Input: in}) {
			queue = r.handleEffect(queue, x)
		}
	}
}

func (r *controlSim) handleEffect(queue []node.Input, x node.Effect) []node.Input {
	switch v := x.(type) {
	case node.SendMessage:
		r.messages = append(r.messages, v)
	case node.Persist:
		return append(queue, node.Persisted{Token: v.Token})
	case node.Survey:
		return append(queue, r.surveyReply(v))
	case node.Promote:
		r.promotions++
		return append(queue, node.PromoteDone{
			Service: v.Service, Instance: v.Instance, Epoch: v.Epoch, OK: true,
			Position: catalog.Position{Term: term + 1, Offset: baseOffset + 9},
		})
	case node.AnswerCommand:
		r.replies = append(r.replies, v.Reply)
	}
	return queue
}

// surveyReply returns the result of a survey of an instance. The primary of the
// first service refuses the connection; every other instance is a live replica.
func (r *controlSim) surveyReply(v node.Survey) node.SurveyDone {
	out := node.SurveyDone{Survey: v.Survey, Instance: v.Instance, Evidence: wire.EvidenceRefused}
	if v.Instance != instanceID(0, 0) {
		out.Evidence, out.Role = wire.EvidenceAlive, catalog.RoleReplica
		out.Position = catalog.Position{Term: term, Offset: baseOffset + 9}
	}
	return out
}

func (r *controlSim) advance(d time.Duration) {
	for end := r.now.Add(d); r.now < end; {
		r.now = min(r.now.Add(controlTick), end)
		r.step(node.TimerFired{})
	}
}

func (r *controlSim) announceAll(sequence uint64) {
	for s := range r.load.Services {
		for i := range r.load.Instances {
			r.step(node.AnnouncementReceived{Announcement: newAnnouncement(s, i, sequence)})
		}
	}
}

// nextReport returns the next report of the n-th entry. The report gives evidence
// for the first service's primary and says that all other instances are alive.
func (r *controlSim) nextReport(n int, evidence wire.Evidence) wire.Message {
	r.sequences[n]++
	m := &wire.Report{VM: entryID(n), Site: siteID(n), Incarnation: 1 << 40, Sequence: r.sequences[n], SettingsVersion: 1}
	at := catalog.Position{Term: term, Offset: baseOffset}
	for s := range r.load.Services {
		id := serviceID(s)
		m.Services = append(m.Services, id)
		for i := range r.load.Instances {
			o := wire.Observation{
				Service: id, Instance: instanceID(s, i), Evidence: wire.EvidenceAlive,
				Age: networkDelay, AliveAge: networkDelay, Role: roleOf(i), Position: at,
			}
			if s == 0 && i == 0 && evidence != wire.EvidenceAlive {
				o.Evidence, o.Age, o.AliveAge = evidence, 0, controlTick
			}
			m.Observations = append(m.Observations, o)
			m.Demands = append(m.Demands, wire.Demand{Service: id, Instance: instanceID(s, i), Held: heldConnections, Desired: desiredConnections})
		}
	}
	return wire.Message{Report: m}
}

func (r *controlSim) sendReport(n int) {
	r.step(node.MessageReceived{From: entryID(n), Message: r.nextReport(n, wire.EvidenceAlive)})
}

// runFailover reports a failed primary of the first service from two sites, and
// drives the failover until a replica is promoted.
func (r *controlSim) runFailover() {
	for n := range 2 {
		r.step(node.MessageReceived{From: entryID(n), Message: r.nextReport(n, wire.EvidenceRefused)})
	}
	for range maxFailoverTicks {
		for _, s := range r.sentRevokes() {
			r.step(node.MessageReceived{From: s.To, Message: wire.Message{FenceAck: &wire.FenceAck{
				VM: s.To, Incarnation: 1 << 40, Service: s.Message.Revoke.Service, Epoch: s.Message.Revoke.Epoch,
			}}})
		}
		if r.promotions > 0 {
			return
		}
		r.advance(controlTick)
	}
}

// maxFailoverTicks bounds the length of a failover, in units of controlTick.
const maxFailoverTicks = 200

// sentRevokes returns the messages that the leader sent to revoke a lease.
func (r *controlSim) sentRevokes() []node.SendMessage {
	var out []node.SendMessage
	for _, s := range r.messages {
		if s.Message.Revoke != nil {
			out = append(out, s)
		}
	}
	return out
}

// createService sends an operator's command that creates a service, a new one on
// each call.
func (r *controlSim) createService() {
	r.clearMessages()
	n := len(r.replies)
	s := newService(r.load.Services+n, r.load.Instances)
	r.step(node.CommandReceived{Number: uint64(n) + 1, Command: node.Command{
		Change: catalog.ChangeID(s.ID), Create: &node.CreateService{Service: s},
	}})
}

// encodedSize returns the total size in bytes of the frames of the sent messages.
// It returns an error if a message does not fit into a frame.
func (r *controlSim) encodedSize() (int, error) {
	sum := 0
	for _, s := range r.messages {
		data, err := link.Encode(s.Message)
		if err != nil {
			return 0, errors.Trace(err)
		}
		sum += len(data)
	}
	return sum, nil
}

func (r *controlSim) clearMessages() {
	r.messages = nil
}

func (r *controlSim) deliverReports(messages []wire.Message) {
	for n, m := range messages {
		r.step(node.MessageReceived{From: entryID(n), Message: m})
	}
}
