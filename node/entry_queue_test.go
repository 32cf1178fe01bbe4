package node

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// played is what callers got of a load.
type played struct {
	// inTime, late and refused count the requests of an outage's backlog in
	// [0] and those that came after in [1].
	inTime, late, refused [2]int
}

// playBacklog plays the load of an upstream that is back after an outage:
// everybody who waited asks at once, and half of what it can run keeps coming.
func playBacklog(objective time.Duration) played {
	const (
		backlog  = 120
		fresh    = 100
		every    = 10 * time.Millisecond
		work     = 10 * time.Millisecond
		patience = time.Second
		waited   = 300 * time.Millisecond
	)
	w := newListedEntry()
	// Waiting for the first connection is not what this is about.
	w.run(RequestArrived{Request: 1, Kind: KindWrite})
	w.pass(100 * time.Millisecond)
	var out played
	arrived, ends := map[catalog.RequestID]catalog.Instant{}, map[catalog.RequestID]catalog.Instant{}
	runs := map[catalog.RequestID]RunRequest{}
	next := catalog.RequestID(100)
	ask := func(before time.Duration) {
		next++
		arrived[next] = w.now.Add(-before)
		w.step(RequestArrived{
			Request: next, Service: "orders", Kind: KindWrite, Objective: objective, Waited: before,
			Deadline: w.now.Add(patience - before),
		})
	}
	look := func() {
		for _, x := range w.effects {
			switch v := x.(type) {
			case RunRequest:
				runs[v.Request], ends[v.Request] = v, w.now.Add(work)
			case AnswerRequest:
				group := 0
				if v.Request > 100+backlog {
					group = 1
				}
				switch {
				case v.Verdict != VerdictDone:
					out.refused[group]++
				case w.now.Sub(arrived[v.Request]) <= 100*time.Millisecond:
					out.inTime[group]++
				default:
					out.late[group]++
				}
			}
		}
		w.effects = nil
	}
	w.step(RequestDone{Request: 1, Conn: must(w.running(1)).Conn, Outcome: OutcomeCompleted, Position: catalog.Position{Term: 1, Offset: 1}, AskedAt: w.now, Reusable: true})
	w.effects = nil
	for range backlog {
		ask(waited)
	}
	look()
	for n := range 2 * fresh {
		if n%2 == 0 && n/2 < fresh {
			ask(0)
		}
		w.pass(every / 2)
		for id, end := range ends {
			if !end.After(w.now) {
				delete(ends, id)
				w.step(RequestDone{Request: id, Conn: runs[id].Conn, Outcome: OutcomeCompleted, Position: catalog.Position{Term: 1, Offset: 1}, AskedAt: w.now, Reusable: true})
			}
		}
		look()
	}
	return out
}

func must(run RunRequest, ok bool) RunRequest {
	if !ok {
		panic("the request does not run")
	}
	return run
}

func TestBacklogAfterAnOutage(t *testing.T) {
	Convey("who comes after an outage is served in time, and its backlog late rather than not at all", t, func() {
		// Twice what comes can be run, so that all of it can be in time.
		p := playBacklog(100 * time.Millisecond)
		So(p.inTime[1], ShouldEqual, 100)
		So(p.late[0], ShouldBeGreaterThan, 50)
		So(p.late[0]+p.refused[0], ShouldEqual, 120)
	})
	Convey("without an objective to go by, a fifth of those who come after it are late too", t, func() {
		p := playBacklog(0)
		So(p.inTime[1], ShouldBeLessThan, 80)
	})
}
