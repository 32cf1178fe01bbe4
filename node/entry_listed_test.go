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

// listedEntry runs an entry with UpstreamsFromControl against a simulated
// control, which answers each report while controlAnswers is set.
type listedEntry struct {
	entry          *Entry
	now            catalog.Instant
	controlAnswers bool
	answer         wire.Answer
	primary        catalog.Primary
	effects        []Effect
	ready          bool
	// released is set if the last change of readiness asked the shell to
	// release the callers. silent holds the control VMs that do not answer.
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
		now: catalog.Instant(time.Second), controlAnswers: true, granted: 4, conns: map[catalog.ConnID]catalog.InstanceID{},
		primary: catalog.Primary{Service: "orders", Epoch: 1, Instance: "a", Term: 1, Ready: true},
	}
	w.answer = wire.Answer{
		Leader: "c1", Version: 1, Full: true,
		Services: []catalog.Service{{
			ID: "orders", Ack: catalog.AckPrimary, Instances: 1,
			Limits: catalog.Limits{Connections: 20, Reserved: 2, Slots: 1},
		}},
		Routes:        []catalog.Route{{RouteKey: catalog.RouteKey{Database: "shop"}, Service: "orders", Timeout: time.Second}},
		UpstreamsMark: wire.UpstreamsMark{Leader: "c1", Revision: 1},
	}
	for _, id := range []catalog.InstanceID{"a", "b", "c"} {
		w.answer.Upstreams = append(w.answer.Upstreams, catalog.Announcement{
			Service: "orders", Instance: id, Address: "10.0.0.1:1", Site: "s1", Role: catalog.RoleReplica, Incarnation: 1, Sequence: 1, Slots: 2,
		})
	}
	w.step(TimerFired{})
	w.advance(time.Second)
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
	if r == nil || !w.controlAnswers || w.silent[v.To] {
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
		for _, demand := range r.Demands {
			a.Grants = append(a.Grants, wire.Grant{Service: "orders", Instance: demand.Instance, Connections: w.granted, Length: 10 * time.Second})
		}
	}
	w.step(MessageReceived{From: v.To, Message: wire.Message{Answer: &a}})
}

func (w *listedEntry) advance(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(10 * time.Millisecond)
		w.step(TimerFired{})
	}
}

// run submits a request and returns the effect that runs it, if it runs at
// once.
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

// TestListedReadiness guards against an entry that reports itself ready while
// its site is disconnected, or not ready during an ordinary change of leader.
func TestListedReadiness(t *testing.T) {
	Convey("an entry is ready while a control VM leads or knows a leader", t, func() {
		w := newListedEntry()
		So(w.ready, ShouldBeTrue)
		Convey("and stays ready during a change of leader", func() {
			w.answer.Refused, w.answer.Leader = true, ""
			w.advance(400 * time.Millisecond)
			So(w.ready, ShouldBeTrue)
			Convey("but not if its site is disconnected together with a control VM", func() {
				w.advance(time.Second)
				So(w.ready, ShouldBeFalse)
			})
			Convey("nor if the leader has lost its majority", func() {
				w.answer.Refused, w.answer.Leader, w.answer.Version = false, "c1", 0
				w.advance(time.Second)
				So(w.ready, ShouldBeFalse)
			})
		})
		Convey("and stays ready if a follower knows the leader", func() {
			w.answer.Refused, w.answer.Leader = true, "c9"
			w.advance(2 * time.Second)
			So(w.ready, ShouldBeTrue)
		})
	})
}

// TestListedRelease guards against callers that are released while new
// connections still reach this entry, and against callers that stay at an entry
// without contact with control.
func TestListedRelease(t *testing.T) {
	Convey("an entry without contact with control keeps its callers while new ones still connect", t, func() {
		w := newListedEntry()
		w.controlAnswers = false
		w.advance(time.Second)
		So(w.ready, ShouldBeFalse)
		So(w.released, ShouldBeFalse)
		Convey("and marks a refused request as one that another entry may run", func() {
			// The simulated control grants leases of two seconds.
			w.advance(1200 * time.Millisecond)
			w.run(RequestArrived{Request: 1, Kind: KindWrite, Deadline: w.now.Add(2 * time.Second)})
			w.advance(time.Second)
			a, ok := w.answered(1)
			So(ok, ShouldBeTrue)
			So(a.RetryElsewhere, ShouldBeTrue)
		})
		Convey("and releases them after that", func() {
			w.advance(callerReleaseDelay)
			So(w.released, ShouldBeTrue)
		})
		Convey("or keeps them if control answers again", func() {
			w.controlAnswers = true
			w.advance(callerReleaseDelay)
			So(w.ready, ShouldBeTrue)
			So(w.released, ShouldBeFalse)
		})
	})
}

// TestListedReportsToOtherControlVMs guards against a lease that expires
// because the entry finds the next leader too late.
func TestListedReportsToOtherControlVMs(t *testing.T) {
	Convey("an entry whose leader stops answering finds the next one before its lease ends", t, func() {
		w := newListedEntry()
		So(w.entry.report.leader, ShouldEqual, catalog.VMID("c1"))
		s := w.entry.services["orders"]
		w.silent = map[catalog.VMID]bool{"c1": true}
		w.advance(2 * w.entry.options.Timings.ReportInterval)
		So(w.entry.report.leader, ShouldEqual, catalog.VMID("c2"))
		So(s.noLeaseSince, ShouldEqual, 0)
	})
	Convey("it ignores a control VM that names another leader while the leader answers", t, func() {
		w := newListedEntry()
		w.step(MessageReceived{From: "c2", Message: wire.Message{Answer: &wire.Answer{Leader: "c3", Refused: true, Sequence: w.entry.report.sequence}}})
		So(w.entry.report.leader, ShouldEqual, catalog.VMID("c1"))
	})
}

// TestListedProbes guards against probes that take slots of an upstream while
// answers to requests carry the same information.
func TestListedProbes(t *testing.T) {
	Convey("an upstream is probed soon while a request waits for it, and rarely otherwise", t, func() {
		w := newListedEntry()
		count := func(d time.Duration) int {
			w.effects = nil
			w.advance(d)
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
			w.advance(100 * time.Millisecond)
			r, ok = w.running(1)
		}
		So(ok, ShouldBeTrue)
		So(count(500*time.Millisecond), ShouldBeGreaterThan, 0)
		w.step(RequestDone{Request: 1, Conn: r.Conn, Outcome: OutcomeCompleted, Position: catalog.Position{Term: 1, Offset: 6}, PositionQueriedAt: w.now, Reusable: true})
		So(count(1900*time.Millisecond), ShouldEqual, 0)
	})
}

// TestListedRenewal guards against a lease that is extended for a primary other
// than the one control has on record.
func TestListedRenewal(t *testing.T) {
	Convey("a renewal without a list of leases applies only if its mark matches the known primaries", t, func() {
		w := newListedEntry()
		s := w.entry.services["orders"]
		mark := w.entry.primariesMark()
		So(mark, ShouldNotEqual, 0)
		w.controlAnswers = false
		w.advance(50 * time.Millisecond)
		before := s.leaseUntil
		renew := func(mark uint64) {
			w.entry.report.sentAt[w.entry.report.sequence] = w.now
			w.step(MessageReceived{From: "c1", Message: wire.Message{Answer: &wire.Answer{
				Leader: "c1", Sequence: w.entry.report.sequence, Version: 1, RenewalLength: 5 * time.Second, PrimariesMark: mark,
			}}})
		}
		renew(mark + 1)
		So(s.leaseUntil, ShouldEqual, before)
		renew(mark)
		So(s.leaseUntil, ShouldBeGreaterThan, before)
	})
	Convey("a leader renews without a list of leases only if the entry knows the primaries in force", t, func() {
		w := newSoloControl(quorum.PersistentState{})
		w.runCommand(adoptCommand(1, time.Second))
		w.runCommand(Command{Announce: &Announce{Announcement: testAnnouncement("a", catalog.RolePrimary, 1)}})
		w.advance(time.Second)
		p := catalog.Primary{Service: "orders", Epoch: 1, Instance: "a", Term: 1, Ready: true}
		w.control.propose(registry.Change{Elect: &registry.ElectPrimary{Service: "orders", Epoch: w.control.state.Primary("orders").Epoch + 1, Instance: "a"}}, 0)
		w.execute(w.control.effects)
		p.Epoch = w.control.state.Primary("orders").Epoch
		w.control.propose(registry.Change{Ready: &registry.PrimaryReady{Service: "orders", Epoch: p.Epoch, Term: 1}}, 0)
		w.execute(w.control.effects)
		w.control.failovers = map[catalog.ServiceID]*failover{}
		report := func(sequence uint64, epoch catalog.Epoch) *wire.Answer {
			known := p
			known.Epoch = epoch
			w.step(MessageReceived{From: "e1", Message: wire.Message{Report: &wire.Report{
				VM: "e1", Sequence: sequence, Services: []catalog.ServiceID{"orders"}, PrimariesMark: wire.PrimariesMark([]catalog.Primary{known}),
			}}})
			return w.lastAnswer("e1")
		}
		So(report(1, p.Epoch).RenewalLength, ShouldBeGreaterThan, 0)
		a := report(2, p.Epoch-1)
		So(a.RenewalLength, ShouldEqual, 0)
		So(a.Leases, ShouldHaveLength, 1)
	})
}

// TestListedOutage guards against requests that wait for a primary although
// their deadline is before the expected end of the failover.
func TestListedOutage(t *testing.T) {
	Convey("a request whose deadline is before the end of a failover is refused at once with a retry time", t, func() {
		w := newListedEntry()
		w.primary.Ready = false
		w.primary.Epoch++
		w.advance(3 * time.Second)
		s := w.entry.services["orders"]
		s.noLeaseSince = w.now
		_, ok := w.run(RequestArrived{Request: 1, Kind: KindWrite, Deadline: w.now.Add(time.Second)})
		So(ok, ShouldBeFalse)
		a, ok := w.answered(1)
		So(ok, ShouldBeTrue)
		So(a.Verdict, ShouldEqual, VerdictNotRun)
		So(a.RetryAfter, ShouldBeGreaterThan, time.Second)
		Convey("a request whose deadline is after it waits", func() {
			s.noLeaseSince = w.now.Add(-typicalFailoverGap + 500*time.Millisecond)
			w.run(RequestArrived{Request: 2, Kind: KindWrite, Deadline: w.now.Add(time.Second)})
			_, ok := w.answered(2)
			So(ok, ShouldBeFalse)
		})
	})
}

// TestListedFloors guards against a required position that is older than a
// read's maximum age allows, or that lies after a fork of the log, so that no
// replica can reach it.
func TestListedFloors(t *testing.T) {
	Convey("a read with a maximum age requires the position that the primary had that long ago", t, func() {
		w := newListedEntry()
		s := w.entry.services["orders"]
		s.primaryPositions = []positionSample{
			{sentAt: w.now.Add(-3 * time.Second), position: catalog.Position{Term: 1, Offset: 10}},
			{sentAt: w.now.Add(-900 * time.Millisecond), position: catalog.Position{Term: 1, Offset: 20}},
			{sentAt: w.now.Add(-100 * time.Millisecond), position: catalog.Position{Term: 1, Offset: 30}},
		}
		r := &entryRequest{arrivedAt: w.now}
		r.MaxAge = time.Second
		p, ok := w.entry.ageFloor(s, r)
		So(ok, ShouldBeTrue)
		So(p.Offset, ShouldEqual, catalog.Offset(20))
		r.MaxAge = 50 * time.Millisecond
		_, ok = w.entry.ageFloor(s, r)
		So(ok, ShouldBeFalse)
	})
	Convey("a floor of an older term is reduced to the part of the history that survived", t, func() {
		forks := catalog.Forks{{Term: 2, At: 100}, {Term: 3, At: 90}}
		So(forks.Clip(catalog.Position{Term: 1, Offset: 120}).Offset, ShouldEqual, catalog.Offset(90))
		So(forks.Clip(catalog.Position{Term: 2, Offset: 95}).Offset, ShouldEqual, catalog.Offset(90))
		So(forks.Clip(catalog.Position{Term: 3, Offset: 95}).Offset, ShouldEqual, catalog.Offset(95))
		So(forks.Clip(catalog.Position{Term: 1, Offset: 50}).Offset, ShouldEqual, catalog.Offset(50))
	})
}

// TestYieldingUnderLoad simulates entries that do not know each other's load
// and read from one overloaded primary. It guards against all reads missing
// their objective where half of them could be served.
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
				// Reads alone arrive at twice the rate that the primary can
				// serve.
				arrivals := float64(tick) / float64(work) * slots * 2 / entries
				r := &entryRequest{service: &entryService{}}
				r.Objective = objective
				if yielding && e.shouldYield(r, is[n]) {
					continue
				}
				queue += arrivals
				wait := time.Duration(queue * float64(work) / slots)
				if is[n].recordLatency(wait, now); wait < objective {
					served++
				}
				worst = max(worst, wait)
			}
			queue = max(0, queue-float64(tick)/float64(work)*slots)
		}
		return worst, served
	}
	Convey("half of the reads can be served; with yielding most of these meet the objective, without it hardly any", t, func() {
		const offered = 500 * entries
		worst, served := play(true)
		So(worst, ShouldBeLessThan, 2*objective)
		So(served, ShouldBeGreaterThan, offered/3)
		_, servedWithout := play(false)
		So(servedWithout, ShouldBeLessThan, offered/20)
	})
}

// TestListedSuspension guards against a write that is acknowledged after its
// lease expired, because the process was suspended in between.
func TestListedSuspension(t *testing.T) {
	Convey("a write is not acknowledged if the entry was suspended past the end of its lease", t, func() {
		w := newListedEntry()
		run, ok := w.run(RequestArrived{Request: 1, Kind: KindWrite, Deadline: w.now.Add(time.Minute)})
		if !ok {
			w.advance(100 * time.Millisecond)
			run, ok = w.running(1)
		}
		So(ok, ShouldBeTrue)
		w.controlAnswers = false
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

// TestListedWaitCountsSlots guards against wait estimates that ignore the slots
// which the primary announced.
func TestListedWaitCountsSlots(t *testing.T) {
	Convey("the estimated wait for a primary uses the slots that it announced", t, func() {
		w := newListedEntry()
		s := w.entry.services["orders"]
		s.serviceTime = 100 * time.Millisecond
		So(s.estimatedWait(3), ShouldEqual, 200*time.Millisecond)
	})
}
