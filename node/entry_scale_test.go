package node

import (
	"fmt"
	"slices"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/link"
	"github.com/kingcupknot/kingcupknot/wire"
)

// scaleWorld runs one entry with many services in virtual time, with upstreams
// that always answer and a control that grants everything requested.
type scaleWorld struct {
	entry  *Entry
	now    catalog.Instant
	due    []scaleEvent
	timer  catalog.Instant
	number uint64
	// reportedBytes and relayedBytes count the bytes of reports and of relayed
	// announcements.
	reportedBytes, relayedBytes int
	reports                     []*wire.Report
	answers                     map[catalog.RequestID]AnswerRequest
	// leader answers reports unless leaderSilent is set; silent is the instance
	// that does not answer.
	leader       catalog.VMID
	leaderSilent bool
	silent       catalog.InstanceID
}

type scaleEvent struct {
	at catalog.Instant
	in Input
}

const scaleNetworkDelay = time.Millisecond

func scaleServiceID(n int) catalog.ServiceID {
	return catalog.ServiceID(fmt.Sprintf("service-%05d", n))
}

// newScaleWorld places the three instances of each service in three sites, and
// the primary of every third service in the entry's own site.
func newScaleWorld(services int, change func(*EntryOptions)) *scaleWorld {
	o := EntryOptions{
		VM: "entry-0001", Site: "site-0", Incarnation: 1, Seed: 7, Timings: catalog.DefaultTimings(),
		Control: []catalog.VMID{"control-0", "control-1", "control-2"}, Version: 1,
		Peers: []catalog.VMID{"entry-0002", "entry-0003", "entry-0004"},
	}
	for n := range services {
		o.Settings = append(o.Settings, catalog.Service{
			ID: scaleServiceID(n), Ack: catalog.AckReplicated, Instances: 3,
			Limits: catalog.Limits{Connections: 200, Slots: 8, LocalShare: 2},
		})
	}
	if change != nil {
		change(&o)
	}
	w := &scaleWorld{
		entry: NewEntry(o), now: catalog.Instant(time.Second), leader: "control-0",
		answers: map[catalog.RequestID]AnswerRequest{},
	}
	for n := range services {
		for k := range 3 {
			w.announce(n, k, true)
		}
	}
	return w
}

func (w *scaleWorld) announce(n, k int, first bool) {
	w.number++
	a := catalog.Announcement{
		Service: scaleServiceID(n), Instance: scaleInstanceID(scaleServiceID(n), k), Address: "10.20.30.40:5432",
		Site: catalog.SiteID(fmt.Sprintf("site-%d", k)), Role: scaleRole(n, k),
		Position: w.position(), Incarnation: 1, Sequence: w.number,
	}
	in := Input(MessageReceived{From: "entry-0002", Message: wire.Message{Announcement: &a}})
	if k == 0 {
		in = AnnouncementReceived{Announcement: a}
	}
	if first {
		w.step(in)
		return
	}
	w.after(0, in)
}

func scaleInstanceID(id catalog.ServiceID, k int) catalog.InstanceID {
	return catalog.InstanceID(fmt.Sprintf("%s-%d", id, k))
}

func scaleRole(n, k int) catalog.Role {
	if n%3 == k {
		return catalog.RolePrimary
	}
	return catalog.RoleReplica
}

func (w *scaleWorld) position() catalog.Position {
	return catalog.Position{Term: 3, Offset: catalog.Offset(1<<40 + int64(w.now))}
}

func (w *scaleWorld) after(d time.Duration, in Input) {
	at := w.now.Add(d)
	n := len(w.due)
	for n > 0 && w.due[n-1].at > at {
		n--
	}
	w.due = slices.Insert(w.due, n, scaleEvent{at, in})
}

// run advances the time. Upstreams of the own site announce themselves every
// half second; relayed announcements of the others arrive once per second.
func (w *scaleWorld) run(d time.Duration) {
	const announcementInterval = 500 * time.Millisecond
	for end, n := w.now.Add(d), 0; w.now < end; n++ {
		for s := range len(w.entry.serviceIDs) {
			w.announce(s, 0, false)
			if n%2 == 0 {
				w.announce(s, 1, false)
				w.announce(s, 2, false)
			}
		}
		w.runUntil(min(end, w.now.Add(announcementInterval)))
	}
}

func (w *scaleWorld) runUntil(end catalog.Instant) {
	for {
		at, timer := end, false
		if w.timer != 0 && w.timer <= at {
			at, timer = max(w.timer, w.now), true
		}
		if len(w.due) > 0 && w.due[0].at <= at {
			v := w.due[0]
			w.due = w.due[1:]
			w.now = max(w.now, v.at)
			w.step(v.in)
			continue
		}
		w.now = at
		if !timer {
			return
		}
		w.timer = 0
		w.step(TimerFired{})
	}
}

func (w *scaleWorld) step(in Input) {
	for _, x := range w.entry.Step(Event{Now: w.now, Input: in}) {
		switch v := x.(type) {
		case SetTimer:
			w.timer = v.At
		case OpenConn:
			if v.Instance == w.silent {
				w.after(v.Deadline.Sub(w.now), ConnLost{Conn: v.Conn, Evidence: wire.EvidenceTimeout})
				continue
			}
			w.after(scaleNetworkDelay, ConnOpened{Conn: v.Conn})
		case CloseConn:
			w.after(0, ConnLost{Conn: v.Conn})
		case Probe:
			c := w.entry.conns[v.Conn]
			if c.instance.id == w.silent {
				w.after(v.Deadline.Sub(w.now), ProbeDone{Conn: v.Conn, SentAt: w.now, Evidence: wire.EvidenceTimeout})
				continue
			}
			w.after(scaleNetworkDelay, ProbeDone{
				Conn: v.Conn, SentAt: w.now, Evidence: wire.EvidenceAlive,
				Role: c.instance.announcement.Role, Position: w.position(),
			})
		case AnswerRequest:
			w.answers[v.Request] = v
		case RunRequest:
			w.after(scaleNetworkDelay, RequestDone{Request: v.Request, Conn: v.Conn, Reusable: true})
		case SendMessage:
			w.send(v)
		}
	}
}

func (w *scaleWorld) send(v SendMessage) {
	data, err := link.Encode(v.Message)
	if err != nil {
		panic(err)
	}
	switch m := v.Message; {
	case m.Report != nil:
		w.reportedBytes += len(data)
		if n := len(w.reports); n == 0 || w.reports[n-1] != m.Report {
			w.reports = append(w.reports, m.Report)
		}
		if v.To == w.leader && !w.leaderSilent {
			w.after(2*scaleNetworkDelay, MessageReceived{From: w.leader, Message: wire.Message{Answer: w.answer(m.Report)}})
		}
	case m.Announcement != nil:
		w.relayedBytes += len(data)
	}
}

func (w *scaleWorld) answer(m *wire.Report) *wire.Answer {
	a := &wire.Answer{Leader: w.leader, Sequence: m.Sequence, Version: m.SettingsVersion}
	for _, id := range m.Services {
		var n int
		if _, err := fmt.Sscanf(string(id), "service-%d", &n); err != nil {
			panic(err)
		}
		a.Leases = append(a.Leases, wire.Lease{Length: w.entry.options.Timings.LeaseLength, Primary: catalog.Primary{
			Service: id, Epoch: 2, Instance: scaleInstanceID(id, n%3), Term: 3, Ready: true,
		}})
	}
	for _, x := range m.Demands {
		a.Grants = append(a.Grants, wire.Grant{
			Service: x.Service, Instance: x.Instance, Connections: x.Desired, Length: w.entry.options.Timings.LeaseLength,
		})
	}
	return a
}
