package node

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/quorum"
	"github.com/kingcupknot/kingcupknot/registry"
	"github.com/kingcupknot/kingcupknot/wire"
)

// listedEntry is an entry that hears of upstreams from control alone. Control
// answers each report as long as it is on.
type listedEntry struct {
	entry   *Entry
	now     catalog.Instant
	on      bool
	answer  wire.Answer
	primary catalog.Primary
	effects []Effect
	ready   bool
	timer   catalog.Instant
	conns   map[catalog.ConnID]catalog.InstanceID
	granted int
}

func newListedEntry() *listedEntry {
	timings := catalog.DefaultTimings()
	timings.Grant = 10 * time.Second
	w := &listedEntry{
		entry: NewEntry(EntryOptions{
			VM: "e1", Site: "s1", Life: 1, Timings: timings, Control: []catalog.VMID{"c1", "c2"}, ListsUpstreams: true,
		}),
		now: catalog.Instant(time.Second), on: true, granted: 4, conns: map[catalog.ConnID]catalog.InstanceID{},
		primary: catalog.Primary{Service: "orders", Epoch: 1, Instance: "a", Term: 1, Ready: true},
	}
	w.answer = wire.Answer{
		Leader: "c1", Version: 1, Whole: true,
		Settings: []catalog.Service{{
			ID: "orders", Ack: catalog.AckPrimary, Instances: 1,
			Limits: catalog.Limits{Connections: 20, Reserved: 2, Slots: 1},
		}},
		Routes:      []catalog.Route{{RouteKey: catalog.RouteKey{Database: "shop"}, Service: "orders", Timeout: time.Second}},
		UpstreamsAt: wire.UpstreamsMark{Leader: "c1", Revision: 1},
	}
	for _, id := range []catalog.InstanceID{"a", "b", "c"} {
		w.answer.Upstreams = append(w.answer.Upstreams, catalog.Announcement{
			Service: "orders", Instance: id, Address: "10.0.0.1:1", Site: "s1", Role: catalog.RoleReplica, Life: 1, Sequence: 1, Slots: 2,
		})
	}
	w.step(TimerFired{})
	w.pass(time.Second)
	return w
}

func (w *listedEntry) step(in Input) {
	for _, e := range w.entry.Step(Event{Now: w.now, Input: in}) {
		switch v := e.(type) {
		case SetTimer:
			w.timer = v.At
		case SendPeer:
			w.report(v)
		case OpenConn:
			w.conns[v.Conn] = v.Instance
			w.step(ConnOpened{Conn: v.Conn})
		case ReadinessChanged:
			w.ready = v.Ready
		default:
			w.effects = append(w.effects, e)
		}
	}
}

func (w *listedEntry) report(v SendPeer) {
	r := v.Message.Report
	if r == nil || !w.on {
		return
	}
	a := w.answer
	a.Sequence = r.Sequence
	if a.Refused {
		a.Settings, a.Routes, a.Upstreams = nil, nil, nil
	} else {
		length := 2 * time.Second
		if a.Version == 0 {
			length = 0
		}
		a.Leases = []wire.Lease{{Primary: w.primary, Length: length}}
		for _, want := range r.Wants {
			a.Grants = append(a.Grants, wire.Grant{Service: "orders", Instance: want.Instance, Connections: w.granted, Length: 10 * time.Second})
		}
	}
	w.step(PeerReceived{From: v.To, Message: wire.Message{Answer: &a}})
}

func (w *listedEntry) pass(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(10 * time.Millisecond)
		w.step(TimerFired{})
	}
}

// run feeds a request and returns the connection it runs on, if it runs.
func (w *listedEntry) run(r RequestArrived) (RunRequest, bool) {
	w.effects = nil
	r.Service = "orders"
	if r.Deadline == 0 {
		r.Deadline = w.now.Add(time.Second)
	}
	w.step(r)
	return w.running(r.Request)
}

func (w *listedEntry) running(id catalog.RequestID) (RunRequest, bool) {
	for n := len(w.effects) - 1; n >= 0; n-- {
		if v, ok := w.effects[n].(RunRequest); ok && v.Request == id {
			return v, true
		}
	}
	return RunRequest{}, false
}

func (w *listedEntry) answered(id catalog.RequestID) (AnswerRequest, bool) {
	for _, e := range w.effects {
		if v, ok := e.(AnswerRequest); ok && v.Request == id {
			return v, true
		}
	}
	return AnswerRequest{}, false
}

func TestListedReadiness(t *testing.T) {
	Convey("an entry is ready while a control VM leads or knows a leader", t, func() {
		w := newListedEntry()
		So(w.ready, ShouldBeTrue)
		Convey("a change of leader leaves it so", func() {
			w.answer.Refused, w.answer.Leader = true, ""
			w.pass(400 * time.Millisecond)
			So(w.ready, ShouldBeTrue)
			Convey("a site that is cut off with a control VM in it does not", func() {
				w.pass(time.Second)
				So(w.ready, ShouldBeFalse)
			})
			Convey("nor one with the leader that lost its majority", func() {
				w.answer.Refused, w.answer.Leader, w.answer.Version = false, "c1", 0
				w.pass(time.Second)
				So(w.ready, ShouldBeFalse)
			})
		})
		Convey("a follower that knows the leader keeps it so", func() {
			w.answer.Refused, w.answer.Leader = true, "c9"
			w.pass(2 * time.Second)
			So(w.ready, ShouldBeTrue)
		})
	})
}

func TestListedProbes(t *testing.T) {
	Convey("an upstream is probed soon while a request waits for it, and rarely else", t, func() {
		w := newListedEntry()
		count := func(d time.Duration) int {
			w.effects = nil
			w.pass(d)
			n := 0
			for _, e := range w.effects {
				if p, ok := e.(Probe); ok {
					n++
					w.step(ProbeDone{Conn: p.Conn, SentAt: w.now, Evidence: wire.EvidenceAlive, Role: catalog.RolePrimary, Position: catalog.Position{Term: 1, Offset: 5}})
				}
			}
			return n
		}
		r, ok := w.run(RequestArrived{Request: 1, Kind: KindWrite})
		if !ok {
			w.pass(100 * time.Millisecond)
			r, ok = w.running(1)
		}
		So(ok, ShouldBeTrue)
		So(count(500*time.Millisecond), ShouldBeGreaterThan, 0)
		w.step(RequestDone{Request: 1, Conn: r.Conn, Outcome: OutcomeCompleted, Position: catalog.Position{Term: 1, Offset: 6}, AskedAt: w.now, Reusable: true})
		So(count(1900*time.Millisecond), ShouldEqual, 0)
	})
}

func TestListedRenewal(t *testing.T) {
	Convey("a renewal in one word holds for the primaries that it marks, and no others", t, func() {
		w := newListedEntry()
		s := w.entry.services["orders"]
		mark := w.entry.markPrimaries()
		So(mark, ShouldNotEqual, 0)
		w.on = false
		w.pass(50 * time.Millisecond)
		before := s.leaseUntil
		renew := func(mark uint64) {
			w.entry.report.sent[w.entry.report.sequence] = w.now
			w.step(PeerReceived{From: "c1", Message: wire.Message{Answer: &wire.Answer{
				Leader: "c1", Sequence: w.entry.report.sequence, Version: 1, Renew: 5 * time.Second, Primaries: mark,
			}}})
		}
		renew(mark + 1)
		So(s.leaseUntil, ShouldEqual, before)
		renew(mark)
		So(s.leaseUntil, ShouldBeGreaterThan, before)
	})
	Convey("a leader renews in one word only for the primaries in force", t, func() {
		w := newListedControl(quorum.Saved{})
		w.ask(listedConfiguration(1, time.Second))
		w.ask(Command{Announce: &Announce{Announcement: said("a", catalog.RolePrimary, 1)}})
		w.pass(time.Second)
		p := catalog.Primary{Service: "orders", Epoch: 1, Instance: "a", Term: 1, Ready: true}
		w.control.propose(registry.Change{Elect: &registry.Elect{Service: "orders", Epoch: w.control.state.Primary("orders").Epoch + 1, Instance: "a"}}, 0)
		w.carryOut(w.control.effects)
		p.Epoch = w.control.state.Primary("orders").Epoch
		w.control.propose(registry.Change{Ready: &registry.Ready{Service: "orders", Epoch: p.Epoch, Term: 1}}, 0)
		w.carryOut(w.control.effects)
		w.control.failovers = map[catalog.ServiceID]*failover{}
		report := func(sequence uint64, epoch catalog.Epoch) *wire.Answer {
			known := p
			known.Epoch = epoch
			w.step(PeerReceived{From: "e1", Message: wire.Message{Report: &wire.Report{
				VM: "e1", Sequence: sequence, Services: []catalog.ServiceID{"orders"}, Primaries: wire.MarkPrimaries([]catalog.Primary{known}),
			}}})
			return w.lastAnswer("e1")
		}
		So(report(1, p.Epoch).Renew, ShouldBeGreaterThan, 0)
		a := report(2, p.Epoch-1)
		So(a.Renew, ShouldEqual, 0)
		So(a.Leases, ShouldHaveLength, 1)
	})
}
