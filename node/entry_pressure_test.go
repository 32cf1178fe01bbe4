package node

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// TestLongReadsYieldFirst plays owners that read from one primary while no
// replica is new enough. It checks what callers get.
func TestLongReadsYieldFirst(t *testing.T) {
	const (
		owners    = 5
		slots     = 2.0
		objective = 200 * time.Millisecond
		tick      = 20 * time.Millisecond
		seconds   = 20
	)
	works := map[string]time.Duration{"short": 9 * time.Millisecond, "long": 30 * time.Millisecond}
	// Each kind alone is 0.8 of what the primary can do.
	rate := func(kind string) float64 { return 0.8 * slots / works[kind].Seconds() }
	play := func(weighing bool) (served, offered map[string]int) {
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
					if e.yields(r, i) {
						continue
					}
					if weighing {
						s.work.note(kind, works[kind])
					}
					queue += works[kind].Seconds() / slots
					wait := time.Duration(queue * float64(time.Second))
					if i.note(wait, now); wait <= objective {
						served[kind]++
					}
				}
			}
			queue = max(0, queue-tick.Seconds())
		}
		return served, offered
	}
	Convey("of 160% of what a primary can do most short reads keep the objective, and more callers in all", t, func() {
		served, offered := play(true)
		alike, _ := play(false)
		So(served["short"], ShouldBeGreaterThan, offered["short"]*8/10)
		So(served["long"], ShouldBeGreaterThan, 0)
		So(served["short"]+served["long"], ShouldBeGreaterThan, alike["short"]+alike["long"])
	})
}

func TestFailingUpstreamIsLeftAlone(t *testing.T) {
	Convey("reads leave a replica that fails some of them, and return after a while", t, func() {
		w := newListedEntry()
		at := catalog.Position{Term: 1, Offset: 1}
		next := catalog.RequestID(0)
		// read runs one read and returns where it ran.
		read := func(outcome Outcome) catalog.InstanceID {
			next++
			run, ok := w.run(RequestArrived{Request: next, Kind: KindRead})
			for !ok {
				w.pass(20 * time.Millisecond)
				run, ok = w.running(next)
			}
			id := w.conns[run.Conn]
			if id != "b" {
				outcome = OutcomeCompleted
			}
			done := func(outcome Outcome) {
				w.pass(10 * time.Millisecond)
				run, _ = w.running(next)
				w.effects = nil
				w.step(RequestDone{Request: next, Conn: run.Conn, Outcome: outcome, Position: at, PositionQueriedAt: w.now, Reusable: true})
			}
			done(outcome)
			if outcome == OutcomeFailed {
				// It runs again elsewhere, if the budget of retries allows.
				w.pass(20 * time.Millisecond)
				if _, again := w.running(next); again {
					done(OutcomeCompleted)
				}
			}
			return id
		}
		for _, id := range []catalog.InstanceID{"b", "c"} {
			i := w.entry.services["orders"].instance(id)
			i.known, i.knownAt, i.position = true, w.now, at
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
		w.pass(time.Minute)
		So(count(OutcomeCompleted), ShouldBeGreaterThan, 0)
	})
}

func TestWorkOfRemovedRoutes(t *testing.T) {
	Convey("what was learned of a database is dropped with its last route", t, func() {
		w := newListedEntry()
		s := w.entry.services["orders"]
		s.work.note("shop", time.Millisecond)
		s.work.note("gone", time.Millisecond)
		w.answer.Version, w.answer.Full = 2, false
		w.answer.RemovedRoutes = []catalog.RouteKey{{Database: "gone"}}
		w.pass(time.Second)
		So(s.work.usual, ShouldContainKey, "shop")
		So(s.work.usual, ShouldNotContainKey, "gone")
	})
}

func TestReadWork(t *testing.T) {
	Convey("what reads take is learned from those that did not wait", t, func() {
		var w readWork
		for n := range 400 {
			wait := time.Duration(n%8) * 20 * time.Millisecond
			w.note("short", 5*time.Millisecond+wait)
			w.note("long", 20*time.Millisecond+wait)
		}
		// Their work is as one to four, the time that they took as one to 1.2.
		So(w.usual["long"], ShouldBeGreaterThan, 2*w.usual["short"])
		So(w.room("long", time.Second), ShouldBeLessThan, w.room("short", time.Second))
		So(w.room("unknown", time.Second), ShouldEqual, time.Second)
	})
}
