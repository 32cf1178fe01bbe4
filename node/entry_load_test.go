package node

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// TestLongReadsYieldFirst simulates owners that read from one overloaded
// primary while no replica is fresh enough. It guards against long reads that
// displace a larger number of short ones.
func TestLongReadsYieldFirst(t *testing.T) {
	const (
		owners    = 5
		slots     = 2.0
		objective = 200 * time.Millisecond
		tick      = 20 * time.Millisecond
		seconds   = 20
	)
	works := map[string]time.Duration{"short": 9 * time.Millisecond, "long": 30 * time.Millisecond}
	// Each kind alone uses 0.8 of the primary's capacity.
	rate := func(kind string) float64 { return 0.8 * slots / works[kind].Seconds() }
	play := func(withBaselines bool) (served, offered map[string]int) {
		served, offered = map[string]int{}, map[string]int{}
		var es []*Entry
		var is []*entryInstance
		s := &entryService{}
		for n := range owners {
			es = append(es, NewEntry(EntryOptions{VM: catalog.VMID(rune('a' + n)), Seed: uint64(n), UpstreamsFromControl: true}))
			is = append(is, &entryInstance{})
		}
		queue, now, turn := 0.0, catalog.Instant(time.Second), 0
		due := map[string]float64{}
		for range int(seconds * time.Second / tick) {
			now = now.Add(tick)
			for _, kind := range []string{"short", "long"} {
				for due[kind] += rate(kind) * tick.Seconds(); due[kind] >= 1; due[kind]-- {
					turn++
					e, i := es[turn%owners], is[turn%owners]
					e.now = now
					r := &entryRequest{service: s}
					r.Objective, r.Database = objective, kind
					offered[kind]++
					if e.shouldYield(r, i) {
						continue
					}
					if withBaselines {
						s.baselines.record(kind, works[kind])
					}
					queue += works[kind].Seconds() / slots
					wait := time.Duration(queue * float64(time.Second))
					if i.recordLatency(wait, now); wait <= objective {
						served[kind]++
					}
				}
			}
			queue = max(0, queue-tick.Seconds())
		}
		return served, offered
	}
	Convey("at 160% of a primary's capacity most short reads meet the objective, and more reads are served in total", t, func() {
		served, offered := play(true)
		withoutBaselines, _ := play(false)
		So(served["short"], ShouldBeGreaterThan, offered["short"]*8/10)
		So(served["long"], ShouldBeGreaterThan, 0)
		So(served["short"]+served["long"], ShouldBeGreaterThan, withoutBaselines["short"]+withoutBaselines["long"])
	})
}

// TestReadsAvoidFailingReplica guards against reads that prefer a replica which
// fails some of them, because its failures are fast.
func TestReadsAvoidFailingReplica(t *testing.T) {
	Convey("reads avoid a replica that fails some of them, and use it again after a while", t, func() {
		w := newListedEntry()
		at := catalog.Position{Term: 1, Offset: 1}
		next := catalog.RequestID(0)
		// read runs one read and returns the instance that ran it first.
		read := func(outcome Outcome) catalog.InstanceID {
			next++
			run, ok := w.run(RequestArrived{Request: next, Kind: KindRead})
			for !ok {
				w.advance(20 * time.Millisecond)
				run, ok = w.running(next)
			}
			id := w.conns[run.Conn]
			if id != "b" {
				outcome = OutcomeCompleted
			}
			done := func(outcome Outcome) {
				w.advance(10 * time.Millisecond)
				run, _ = w.running(next)
				w.effects = nil
				w.step(RequestDone{Request: next, Conn: run.Conn, Outcome: outcome, Position: at, PositionQueriedAt: w.now, Reusable: true})
			}
			done(outcome)
			if outcome == OutcomeFailed {
				// The read runs again elsewhere if the retry budget allows it.
				w.advance(20 * time.Millisecond)
				if _, again := w.running(next); again {
					done(OutcomeCompleted)
				}
			}
			return id
		}
		for _, id := range []catalog.InstanceID{"b", "c"} {
			i := w.entry.services["orders"].instance(id)
			i.positionKnown, i.positionQueriedAt, i.position = true, w.now, at
		}
		w.entry.services["orders"].instance("b").preference = 0
		count := func(outcome Outcome) (n int) {
			for range 40 {
				if read(outcome) == "b" {
					n++
				}
			}
			return n
		}
		So(count(OutcomeFailed), ShouldBeLessThan, 10)
		w.advance(time.Minute)
		So(count(OutcomeCompleted), ShouldBeGreaterThan, 0)
	})
}

// TestBaselinesOfRemovedRoutes guards against baselines that are kept for
// databases without a route.
func TestBaselinesOfRemovedRoutes(t *testing.T) {
	Convey("the baseline of a database is dropped with its last route", t, func() {
		w := newListedEntry()
		s := w.entry.services["orders"]
		s.baselines.record("shop", time.Millisecond)
		s.baselines.record("gone", time.Millisecond)
		w.answer.Version, w.answer.Full = 2, false
		w.answer.RemovedRoutes = []catalog.RouteKey{{Database: "gone"}}
		w.advance(time.Second)
		So(s.baselines.latencies, ShouldContainKey, "shop")
		So(s.baselines.latencies, ShouldNotContainKey, "gone")
	})
}

// TestReadBaselines guards against baselines that include the time that reads
// wait for others.
func TestReadBaselines(t *testing.T) {
	Convey("the baseline follows the reads that did not wait", t, func() {
		var w readBaselines
		for n := range 400 {
			wait := time.Duration(n%8) * 20 * time.Millisecond
			w.record("short", 5*time.Millisecond+wait)
			w.record("long", 20*time.Millisecond+wait)
		}
		// The ratio of their work is 1:4, that of their average latency 1:1.2.
		So(w.latencies["long"], ShouldBeGreaterThan, 2*w.latencies["short"])
		So(w.latencyBudget("long", time.Second), ShouldBeLessThan, w.latencyBudget("short", time.Second))
		So(w.latencyBudget("unknown", time.Second), ShouldEqual, time.Second)
	})
}

// TestReadsStayInTheirSite guards against reads that cross sites although an
// upstream of their own site answers them in a fraction of their objective, and
// against reads that stay there when it doesn't.
func TestReadsStayInTheirSite(t *testing.T) {
	const objective = 400 * time.Millisecond
	// place starts reads, of which the first one still runs, and returns where
	// the last one runs. The primary is a.
	place := func(own catalog.InstanceID, busy time.Duration, reads int) catalog.InstanceID {
		w := newListedEntry()
		at := catalog.Position{Term: 1, Offset: 1}
		for _, i := range w.entry.services["orders"].instances {
			i.inOwnSite = i.id == own
			i.latency, i.latencyAt = 20*time.Millisecond, w.now
			if i.inOwnSite {
				i.latency = busy
			}
			if i.id != "a" {
				i.positionKnown, i.positionQueriedAt, i.position = true, w.now, at
			}
			i.grants = []instanceGrant{{connections: 4, until: w.now.Add(time.Minute)}}
			for range 2 {
				w.entry.nextConn++
				c := &entryConn{id: w.entry.nextConn, instance: i, state: connIdle, idleSince: w.now}
				w.entry.conns[c.id], i.conns, w.conns[c.id] = c, append(i.conns, c), i.id
			}
		}
		var last RunRequest
		for id := range catalog.RequestID(reads) {
			run, ok := w.run(RequestArrived{Request: id + 1, Kind: KindRead, Objective: objective, Database: "shop", Floor: at})
			So(ok, ShouldBeTrue)
			last = run
		}
		return w.conns[last.Conn]
	}
	Convey("a read runs at the replica of its site while that has free slots", t, func() {
		So(place("b", 25*time.Millisecond, 1), ShouldEqual, catalog.InstanceID("b"))
		So(place("b", 25*time.Millisecond, 2), ShouldEqual, catalog.InstanceID("b"))
	})
	Convey("a read leaves a replica of its site that is slow", t, func() {
		So(place("b", 200*time.Millisecond, 1), ShouldNotEqual, catalog.InstanceID("b"))
	})
	Convey("where the primary is the only upstream of the site, a read runs there while the primary has capacity to spare", t, func() {
		So(place("a", 10*time.Millisecond, 1), ShouldEqual, catalog.InstanceID("a"))
		So(place("a", 10*time.Millisecond, 2), ShouldNotEqual, catalog.InstanceID("a"))
		So(place("a", 60*time.Millisecond, 1), ShouldNotEqual, catalog.InstanceID("a"))
	})
}
