package node

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// yieldKind is a kind of reads that only the primary can serve.
type yieldKind struct {
	database        string
	work, objective time.Duration
	// load is the part of the primary's capacity that the kind asks for.
	load float64
}

// yieldResult counts how the reads of a kind ended.
type yieldResult struct {
	offered, inTime int
	// refusedSoon and refusedLater count the refusals up to and after a quarter
	// of the objective.
	refusedSoon, refusedLater int
}

func (r yieldResult) share() float64 { return float64(r.inTime) / float64(r.offered) }

// playYields offers reads to an entry whose replicas are all too far behind. Its
// primary runs two statements at a time.
func playYields(kinds []yieldKind, seconds int) map[string]yieldResult {
	const tick = 2 * time.Millisecond
	p := newBehindPlay()
	out, kindOf, due := map[string]yieldResult{}, map[catalog.RequestID]yieldKind{}, make([]float64, len(kinds))
	p.work = func(id catalog.RequestID) time.Duration { return kindOf[id].work }
	p.answered = func(id catalog.RequestID, verdict Verdict, took time.Duration) {
		k := kindOf[id]
		r := out[k.database]
		r.offered++
		switch {
		case verdict != VerdictDone && took <= k.objective/4:
			r.refusedSoon++
		case verdict != VerdictDone:
			r.refusedLater++
		case took <= k.objective:
			r.inTime++
		}
		out[k.database] = r
	}
	next := catalog.RequestID(0)
	for end := p.now.Add(time.Duration(seconds) * time.Second); p.now.Before(end); {
		p.now = p.now.Add(tick)
		p.step(TimerFired{})
		p.finishDue()
		for n, k := range kinds {
			for due[n] += k.load * 2 * tick.Seconds() / k.work.Seconds(); due[n] >= 1; due[n]-- {
				next++
				kindOf[next] = k
				p.submit(next, k.database, k.objective)
			}
		}
		p.collect()
	}
	return out
}

// TestScarcePrimary plays the reads of a service whose replicas are all far
// behind, at 170% of its primary's capacity. It guards against entries that queue
// such reads until they have missed their objective, and against long reads that
// displace a larger number of short ones: the queue is in the entry, so the latency
// of the primary alone does not show the overload.
func TestScarcePrimary(t *testing.T) {
	kinds := []yieldKind{
		{database: "short", work: 20 * time.Millisecond, objective: 400 * time.Millisecond, load: 1.3},
		{database: "long", work: 40 * time.Millisecond, objective: 600 * time.Millisecond, load: 0.4},
	}
	Convey("short reads are served before long ones, none starve, and the others are refused at once", t, func() {
		out := playYields(kinds, 20)
		short, long := out["short"], out["long"]
		t.Logf("short %+v, long %+v", short, long)
		So(short.share(), ShouldBeGreaterThan, 1.5*long.share())
		So(long.share(), ShouldBeGreaterThan, 0.05)
		used := 1.3*short.share() + 0.4*long.share()
		So(used, ShouldBeGreaterThan, 0.85)
		refusedSoon, refusedLater := short.refusedSoon+long.refusedSoon, short.refusedLater+long.refusedLater
		So(refusedLater, ShouldBeLessThan, (refusedSoon+refusedLater)/10)
	})
	Convey("below the capacity nothing yields", t, func() {
		kinds[0].load, kinds[1].load = 0.4, 0.2
		out := playYields(kinds, 20)
		So(out["short"].share(), ShouldBeGreaterThan, 0.99)
		So(out["long"].share(), ShouldBeGreaterThan, 0.99)
	})
}
