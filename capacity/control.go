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
	// wanted and held are what an entry says of each upstream.
	wanted = 4
	held   = 3
)

// controlLoad is what a control leader is measured with. All entries serve all
// services, as they do today.
type controlLoad struct {
	Entries   int
	Services  int
	Instances int
}

// controlRun drives a lone control VM that leads.
type controlRun struct {
	load    controlLoad
	control *node.Control
	now     catalog.Instant
	// sent gathers the messages that left, in order.
	sent     []node.SendMessage
	replies  []node.Reply
	sequence []uint64
	promoted int
}

// stateOf is an agreed state in which every service has its primary.
func stateOf(services, instances int) *registry.State {
	s := registry.New()
	s.Version, s.Services = 1, servicesOf(services, instances)
	for n := range services {
		s.Primaries = append(s.Primaries, primaryOf(n))
	}
	return s
}

// newControlRun returns a leader that heard all upstreams and has a report of
// each entry, just past the time in which earlier leaders' leases ran out.
func newControlRun(l controlLoad) (*controlRun, error) {
	data, err := stateOf(l.Services, l.Instances).Snapshot()
	if err != nil {
		return nil, errors.Trace(err)
	}
	self := quorum.Member{VM: controlVM, Incarnation: 1, Voter: true}
	entries := map[catalog.VMID]catalog.SiteID{}
	for n := range l.Entries {
		entries[entryID(n)] = siteID(n)
	}
	r := &controlRun{load: l, now: catalog.Instant(time.Second), sequence: make([]uint64, l.Entries)}
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
	r.announce(1)
	for n := range l.Entries {
		r.report(n)
	}
	r.advance(catalog.DefaultTimings().Lease)
	r.sent = nil
	return r, nil
}

// feed steps the reducer and does at once what its shell would.
func (r *controlRun) feed(in node.Input) {
	todo := []node.Input{in}
	for len(todo) > 0 {
		in, todo = todo[0], todo[1:]
		for _, x := range r.control.Step(node.Event{Now: r.now, Input: in}) {
			todo = r.effect(todo, x)
		}
	}
}

func (r *controlRun) effect(todo []node.Input, x node.Effect) []node.Input {
	switch v := x.(type) {
	case node.SendMessage:
		r.sent = append(r.sent, v)
	case node.Persist:
		return append(todo, node.Persisted{Token: v.Token})
	case node.Survey:
		return append(todo, r.surveyed(v))
	case node.Promote:
		r.promoted++
		return append(todo, node.PromoteDone{
			Service: v.Service, Instance: v.Instance, Epoch: v.Epoch, OK: true,
			Position: catalog.Position{Term: term + 1, Offset: firstOffset + 9},
		})
	case node.AnswerCommand:
		r.replies = append(r.replies, v.Reply)
	}
	return todo
}

// surveyed answers for a replica; the primary stays silent.
func (r *controlRun) surveyed(v node.Survey) node.SurveyDone {
	out := node.SurveyDone{Survey: v.Survey, Instance: v.Instance, Evidence: wire.EvidenceRefused}
	if v.Instance != instanceID(0, 0) {
		out.Evidence, out.Role = wire.EvidenceAlive, catalog.RoleReplica
		out.Position = catalog.Position{Term: term, Offset: firstOffset + 9}
	}
	return out
}

func (r *controlRun) advance(d time.Duration) {
	for end := r.now.Add(d); r.now < end; {
		r.now = min(r.now.Add(controlTick), end)
		r.feed(node.TimerFired{})
	}
}

func (r *controlRun) announce(sequence uint64) {
	for s := range r.load.Services {
		for i := range r.load.Instances {
			r.feed(node.AnnouncementReceived{Announcement: announcementOf(s, i, sequence)})
		}
	}
}

// reportOf is the next report of an entry.
func (r *controlRun) reportOf(n int, evidence wire.Evidence) wire.Message {
	r.sequence[n]++
	m := &wire.Report{VM: entryID(n), Site: siteID(n), Incarnation: 1 << 40, Sequence: r.sequence[n], Settings: 1}
	at := catalog.Position{Term: term, Offset: firstOffset}
	for s := range r.load.Services {
		id := serviceID(s)
		m.Services = append(m.Services, id)
		for i := range r.load.Instances {
			o := wire.Observation{
				Service: id, Instance: instanceID(s, i), Evidence: wire.EvidenceAlive,
				Age: way, AliveAge: way, Role: roleOf(i), Position: at,
			}
			if s == 0 && i == 0 && evidence != wire.EvidenceAlive {
				o.Evidence, o.Age, o.AliveAge = evidence, 0, controlTick
			}
			m.Observations = append(m.Observations, o)
			m.Wants = append(m.Wants, wire.Want{Service: id, Instance: instanceID(s, i), Held: held, Wanted: wanted})
		}
	}
	return wire.Message{Report: m}
}

func (r *controlRun) report(n int) {
	r.feed(node.MessageReceived{From: entryID(n), Message: r.reportOf(n, wire.EvidenceAlive)})
}

// fail lets two sites see that the first service's primary is gone, and drives
// the change of primary to its end.
func (r *controlRun) fail() {
	for n := range 2 {
		r.feed(node.MessageReceived{From: entryID(n), Message: r.reportOf(n, wire.EvidenceRefused)})
	}
	for range failoverTicks {
		for _, s := range r.takeRevokes() {
			r.feed(node.MessageReceived{From: s.To, Message: wire.Message{Fenced: &wire.Fenced{
				VM: s.To, Incarnation: 1 << 40, Service: s.Message.Revoke.Service, Epoch: s.Message.Revoke.Epoch,
			}}})
		}
		if r.promoted > 0 {
			return
		}
		r.advance(controlTick)
	}
}

// failoverTicks bounds a change of primary.
const failoverTicks = 200

// takeRevokes returns the revokes that no entry has got yet.
func (r *controlRun) takeRevokes() []node.SendMessage {
	var out []node.SendMessage
	for _, s := range r.sent {
		if s.Message.Revoke != nil {
			out = append(out, s)
		}
	}
	return out
}

// create sends an operator's change of configuration, a new one each time.
func (r *controlRun) create() {
	r.clear()
	n := len(r.replies)
	s := serviceOf(r.load.Services+n, r.load.Instances)
	r.feed(node.CommandReceived{Number: uint64(n) + 1, Command: node.Command{
		Change: catalog.ChangeID(s.ID), Create: &node.CreateService{Service: s},
	}})
}

// bytesSent encodes what was sent and sums the frames. It fails if one does
// not fit.
func (r *controlRun) bytesSent() (int, error) {
	sum := 0
	for _, s := range r.sent {
		data, err := link.Encode(s.Message)
		if err != nil {
			return 0, errors.Trace(err)
		}
		sum += len(data)
	}
	return sum, nil
}

func (r *controlRun) clear() {
	r.sent = nil
}

func (r *controlRun) feedReports(messages []wire.Message) {
	for n, m := range messages {
		r.feed(node.MessageReceived{From: entryID(n), Message: m})
	}
}
