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
	// released is set once the callers were asked to go elsewhere, silent are
	// control VMs that do not answer.
	released bool
	silent   map[catalog.VMID]bool
	timer    catalog.Instant
	conns    map[catalog.ConnID]catalog.InstanceID
	granted  int
}

func newListedEntry() *listedEntry {
	timings := catalog.DefaultTimings()
	timings.GrantLength = 10 * time.Second
	w := &listedEntry{
		entry: NewEntry(EntryOptions{
			VM: "e1", Site: "s1", Incarnation: 1, Timings: timings, Control: []catalog.VMID{"c1", "c2"}, UpstreamsFromControl: true,
		}),
		now: catalog.Instant(time.Second), on: true, granted: 4, conns: map[catalog.ConnID]catalog.InstanceID{},
		primary: catalog.Primary{Service: "orders", Epoch: 1, Instance: "a", Term: 1, Ready: true},
	}
	w.answer = wire.Answer{
		Leader: "c1", Version: 1, Full: true,
		Services: []catalog.Service{{
			ID: "orders", Ack: catalog.AckPrimary, Instances: 1,
			Limits: catalog.Limits{Connections: 20, Reserved: 2, Slots: 1},
		}},
		Routes:      []catalog.Route{{RouteKey: catalog.RouteKey{Database: "shop"}, Service: "orders", Timeout: time.Second}},
		UpstreamsAt: wire.UpstreamsMark{Leader: "c1", Revision: 1},
	}
	for _, id := range []catalog.InstanceID{"a", "b", "c"} {
		w.answer.Upstreams = append(w.answer.Upstreams, catalog.Announcement{
			Service: "orders", Instance: id, Address: "10.0.0.1:1", Site: "s1", Role: catalog.RoleReplica, Incarnation: 1, Sequence: 1, Slots: 2,
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
		case SendMessage:
			w.report(v)
		case OpenConn:
			w.conns[v.Conn] = v.Instance
			w.step(ConnOpened{Conn: v.Conn})
		case CloseConn:
			w.effects = append(w.effects, e)
			w.step(ConnLost{Conn: v.Conn})
		case ReadinessChanged:
			w.ready, w.released = v.Ready, v.ReleaseCallers
		default:
			w.effects = append(w.effects, e)
		}
	}
}

func (w *listedEntry) report(v SendMessage) {
	r := v.Message.Report
	if r == nil || !w.on || w.silent[v.To] {
		return
	}
	a := w.answer
	a.Sequence = r.Sequence
	if a.Refused {
		a.Services, a.Routes, a.Upstreams = nil, nil, nil
	} else {
		length := 2 * time.Second
		if a.Version == 0 {
			length = 0
		}
		a.Leases = []wire.Lease{{Primary: w.primary, Length: length}}
		for _, want := range r.Demands {
			a.Grants = append(a.Grants, wire.Grant{Service: "orders", Instance: want.Instance, Connections: w.granted, Length: 10 * time.Second})
		}
	}
	w.step(MessageReceived{From: v.To, Message: wire.Message{Answer: &a}})
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

func TestListedRelease(t *testing.T) {
	Convey("an entry that is cut off keeps its callers while new ones still come", t, func() {
		w := newListedEntry()
		w.on = false
		w.pass(time.Second)
		So(w.ready, ShouldBeFalse)
		So(w.released, ShouldBeFalse)
		Convey("of which those it can't serve may try another", func() {
			// The lease of the harness runs for two seconds.
			w.pass(1200 * time.Millisecond)
			w.run(RequestArrived{Request: 1, Kind: KindWrite, Deadline: w.now.Add(2 * time.Second)})
			w.pass(time.Second)
			a, ok := w.answered(1)
			So(ok, ShouldBeTrue)
			So(a.RetryElsewhere, ShouldBeTrue)
		})
		Convey("and asks them to go elsewhere after that", func() {
			w.pass(releaseAfter)
			So(w.released, ShouldBeTrue)
		})
		Convey("or keeps them if control answers again", func() {
			w.on = true
			w.pass(releaseAfter)
			So(w.ready, ShouldBeTrue)
			So(w.released, ShouldBeFalse)
		})
	})
}

func TestListedAsksOthers(t *testing.T) {
	Convey("an entry whose leader falls silent finds the next one before its lease ends", t, func() {
		w := newListedEntry()
		So(w.entry.report.leader, ShouldEqual, catalog.VMID("c1"))
		s := w.entry.services["orders"]
		w.silent = map[catalog.VMID]bool{"c1": true}
		w.pass(2 * w.entry.options.Timings.ReportInterval)
		So(w.entry.report.leader, ShouldEqual, catalog.VMID("c2"))
		So(s.unledSince, ShouldEqual, 0)
	})
	Convey("it is not led astray by one that names another while the leader answers", t, func() {
		w := newListedEntry()
		w.step(MessageReceived{From: "c2", Message: wire.Message{Answer: &wire.Answer{Leader: "c3", Refused: true, Sequence: w.entry.report.sequence}}})
		So(w.entry.report.leader, ShouldEqual, catalog.VMID("c1"))
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
		w.step(RequestDone{Request: 1, Conn: r.Conn, Outcome: OutcomeCompleted, Position: catalog.Position{Term: 1, Offset: 6}, PositionQueriedAt: w.now, Reusable: true})
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
			w.step(MessageReceived{From: "c1", Message: wire.Message{Answer: &wire.Answer{
				Leader: "c1", Sequence: w.entry.report.sequence, Version: 1, Renew: 5 * time.Second, PrimariesMark: mark,
			}}})
		}
		renew(mark + 1)
		So(s.leaseUntil, ShouldEqual, before)
		renew(mark)
		So(s.leaseUntil, ShouldBeGreaterThan, before)
	})
	Convey("a leader renews in one word only for the primaries in force", t, func() {
		w := newListedControl(quorum.PersistentState{})
		w.ask(listedConfiguration(1, time.Second))
		w.ask(Command{Announce: &Announce{Announcement: said("a", catalog.RolePrimary, 1)}})
		w.pass(time.Second)
		p := catalog.Primary{Service: "orders", Epoch: 1, Instance: "a", Term: 1, Ready: true}
		w.control.propose(registry.Change{Elect: &registry.ElectPrimary{Service: "orders", Epoch: w.control.state.Primary("orders").Epoch + 1, Instance: "a"}}, 0)
		w.carryOut(w.control.effects)
		p.Epoch = w.control.state.Primary("orders").Epoch
		w.control.propose(registry.Change{Ready: &registry.PrimaryReady{Service: "orders", Epoch: p.Epoch, Term: 1}}, 0)
		w.carryOut(w.control.effects)
		w.control.failovers = map[catalog.ServiceID]*failover{}
		report := func(sequence uint64, epoch catalog.Epoch) *wire.Answer {
			known := p
			known.Epoch = epoch
			w.step(MessageReceived{From: "e1", Message: wire.Message{Report: &wire.Report{
				VM: "e1", Sequence: sequence, Services: []catalog.ServiceID{"orders"}, PrimariesMark: wire.MarkPrimaries([]catalog.Primary{known}),
			}}})
			return w.lastAnswer("e1")
		}
		So(report(1, p.Epoch).Renew, ShouldBeGreaterThan, 0)
		a := report(2, p.Epoch-1)
		So(a.Renew, ShouldEqual, 0)
		So(a.Leases, ShouldHaveLength, 1)
	})
}

func TestListedOutage(t *testing.T) {
	Convey("what a change of primary outlasts is refused at once, with when to come back", t, func() {
		w := newListedEntry()
		w.primary.Ready = false
		w.primary.Epoch++
		w.pass(3 * time.Second)
		s := w.entry.services["orders"]
		s.unledSince = w.now
		_, ok := w.run(RequestArrived{Request: 1, Kind: KindWrite, Deadline: w.now.Add(time.Second)})
		So(ok, ShouldBeFalse)
		a, ok := w.answered(1)
		So(ok, ShouldBeTrue)
		So(a.Verdict, ShouldEqual, VerdictNotRun)
		So(a.RetryAfter, ShouldBeGreaterThan, time.Second)
		Convey("what it does not outlast waits", func() {
			s.unledSince = w.now.Add(-usualGap + 500*time.Millisecond)
			w.run(RequestArrived{Request: 2, Kind: KindWrite, Deadline: w.now.Add(time.Second)})
			_, ok := w.answered(2)
			So(ok, ShouldBeFalse)
		})
	})
}

// TestListedFloors checks which position a replica is asked to have reached.
func TestListedFloors(t *testing.T) {
	Convey("a read that accepts an age asks for what the primary had that long ago", t, func() {
		w := newListedEntry()
		s := w.entry.services["orders"]
		s.ring = []ringEntry{
			{sentAt: w.now.Add(-3 * time.Second), position: catalog.Position{Term: 1, Offset: 10}},
			{sentAt: w.now.Add(-900 * time.Millisecond), position: catalog.Position{Term: 1, Offset: 20}},
			{sentAt: w.now.Add(-100 * time.Millisecond), position: catalog.Position{Term: 1, Offset: 30}},
		}
		r := &entryRequest{arrived: w.now}
		r.MaxAge = time.Second
		p, ok := w.entry.ageFloor(s, r)
		So(ok, ShouldBeTrue)
		So(p.Offset, ShouldEqual, catalog.Offset(20))
		r.MaxAge = 50 * time.Millisecond
		_, ok = w.entry.ageFloor(s, r)
		So(ok, ShouldBeFalse)
	})
	Convey("a floor of an older term is cut back to what survived", t, func() {
		forks := catalog.Forks{{Term: 2, At: 100}, {Term: 3, At: 90}}
		So(forks.Clip(catalog.Position{Term: 1, Offset: 120}).Offset, ShouldEqual, catalog.Offset(90))
		So(forks.Clip(catalog.Position{Term: 2, Offset: 95}).Offset, ShouldEqual, catalog.Offset(90))
		So(forks.Clip(catalog.Position{Term: 3, Offset: 95}).Offset, ShouldEqual, catalog.Offset(95))
		So(forks.Clip(catalog.Position{Term: 1, Offset: 50}).Offset, ShouldEqual, catalog.Offset(50))
	})
}

// TestYieldingUnderLoad plays entries that don't see each other and read from
// one primary that has work of its own. It checks what callers get.
func TestYieldingUnderLoad(t *testing.T) {
	const (
		entries   = 40
		slots     = 2.0
		work      = 9 * time.Millisecond
		objective = 200 * time.Millisecond
		tick      = 20 * time.Millisecond
	)
	play := func(yielding bool) (worst time.Duration, served int) {
		var es []*Entry
		var is []*entryInstance
		for n := range entries {
			es = append(es, NewEntry(EntryOptions{VM: catalog.VMID(rune('a' + n)), Seed: uint64(n), UpstreamsFromControl: true}))
			is = append(is, &entryInstance{})
		}
		queue := 0.0
		now := catalog.Instant(time.Second)
		for range 500 {
			now = now.Add(tick)
			for n, e := range es {
				e.now = now
				// Twice what the primary can do arrives in reads alone.
				arrivals := float64(tick) / float64(work) * slots * 2 / entries
				r := &entryRequest{service: &entryService{}}
				r.Objective = objective
				if yielding && e.yields(r, is[n]) {
					continue
				}
				queue += arrivals
				wait := time.Duration(queue * float64(work) / slots)
				if is[n].note(wait, now); wait < objective {
					served++
				}
				worst = max(worst, wait)
			}
			queue = max(0, queue-float64(tick)/float64(work)*slots)
		}
		return worst, served
	}
	Convey("half of the reads can be served; with yielding most of those keep the objective, without it hardly any does", t, func() {
		const offered = 500 * entries
		worst, served := play(true)
		So(worst, ShouldBeLessThan, 2*objective)
		So(served, ShouldBeGreaterThan, offered/3)
		_, servedWithout := play(false)
		So(servedWithout, ShouldBeLessThan, offered/20)
	})
}

func TestListedSuspension(t *testing.T) {
	Convey("a write whose entry was suspended past its lease is not acknowledged", t, func() {
		w := newListedEntry()
		run, ok := w.run(RequestArrived{Request: 1, Kind: KindWrite, Deadline: w.now.Add(time.Minute)})
		if !ok {
			w.pass(100 * time.Millisecond)
			run, ok = w.running(1)
		}
		So(ok, ShouldBeTrue)
		w.on = false
		w.now = w.now.Add(5 * time.Second)
		w.step(RequestDone{
			Request: 1, Conn: run.Conn, Outcome: OutcomeCompleted, Reusable: true,
			Position: catalog.Position{Term: 1, Offset: 6}, PositionQueriedAt: w.now.Add(-5 * time.Second),
		})
		a, ok := w.answered(1)
		So(ok, ShouldBeTrue)
		So(a.Verdict, ShouldEqual, VerdictUnknown)
	})
}

func TestListedWaitCountsSlots(t *testing.T) {
	Convey("the wait for a primary goes by the slots that it announced", t, func() {
		w := newListedEntry()
		s := w.entry.services["orders"]
		s.serve = 100 * time.Millisecond
		So(s.waitFor(3), ShouldEqual, 200*time.Millisecond)
	})
}
