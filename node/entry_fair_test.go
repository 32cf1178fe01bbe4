package node

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/organisation"
	"github.com/kingcupknot/kingcupknot/wire"
)

// fairCaller describes the callers of one organisation.
type fairCaller struct {
	// rate is the number of requests per second, and weight the configured rate.
	rate, weight float64
	database     string
}

// fairPlay plays callers of several organisations whose requests one entry sends to
// a primary with two slots.
type fairPlay struct {
	callers    []fairCaller
	work       map[string]time.Duration
	queueLimit int
	// classOf returns the class of a request. Without it all have the same.
	classOf func(organisation int, id catalog.RequestID) Class
	// isUnfair removes the organisations from the configuration.
	isUnfair bool

	*loadRunner
	caller map[catalog.RequestID]int
	// offered, inTime and refused count the requests of each organisation, and busy
	// is the time for which they occupied slots. refusalWait is how long those
	// refused had waited in total.
	offered, inTime, refused []int
	busy                     []time.Duration
	refusalWait              []time.Duration
}

const (
	fairSlots   = 2
	fairSeconds = 30
)

func (p *fairPlay) start() {
	n := len(p.callers)
	if p.classOf == nil {
		p.classOf = func(int, catalog.RequestID) Class { return ClassNormal }
	}
	p.loadRunner = &loadRunner{
		listedEntry: newListedEntry(), slots: make(upstreamSlots, fairSlots), next: loadFirstRequest, arrived: map[catalog.RequestID]catalog.Instant{},
		ends: map[catalog.RequestID]catalog.Instant{}, runs: map[catalog.RequestID]RunRequest{},
	}
	p.granted, p.caller = 200, map[catalog.RequestID]int{}
	p.entry.options.QueueLimit = p.queueLimit
	p.offered, p.inTime, p.refused = make([]int, n), make([]int, n), make([]int, n)
	p.busy, p.refusalWait = make([]time.Duration, n), make([]time.Duration, n)
	p.answer.Version, p.answer.KeysRequired = 2, !p.isUnfair
	for n, c := range p.callers {
		p.answer.Organisations = append(p.answer.Organisations, catalog.Organisation{ID: organisationOf(n), Rate: c.weight})
		// Rates are weights here. Limits would refuse requests before they reach the queue.
		p.answer.Limits = append(p.answer.Limits, wire.OrganisationLimit{Organisation: organisationOf(n), Rate: 1e6, Burst: 1e6, Length: 3 * time.Second})
	}
	p.advance(time.Second)
	p.effects = nil
}

func organisationOf(n int) catalog.OrganisationID {
	return catalog.OrganisationID(fmt.Sprintf("o%02d", n))
}

// play offers requests at random intervals, the same ones for the same callers.
func (p *fairPlay) play() *fairPlay {
	const tick = 5 * time.Millisecond
	p.start()
	random, due := make([]*rand.Rand, len(p.callers)), make([]catalog.Instant, len(p.callers))
	for n, c := range p.callers {
		random[n] = rand.New(rand.NewPCG(uint64(n), 1))
		due[n] = p.now.Add(time.Duration(random[n].ExpFloat64() / c.rate * float64(time.Second)))
	}
	for end := p.now.Add(fairSeconds * time.Second); p.now.Before(end); {
		p.now = p.now.Add(tick)
		p.finish()
		p.step(TimerFired{})
		for n, c := range p.callers {
			for due[n].Before(p.now) {
				due[n] = due[n].Add(time.Duration(random[n].ExpFloat64() / c.rate * float64(time.Second)))
				p.next++
				p.caller[p.next], p.arrived[p.next] = n, p.now
				p.offered[n]++
				p.step(RequestArrived{
					Request: p.next, Service: "orders", Database: c.database, Organisation: organisationOf(n), Kind: KindRead, Class: p.classOf(n, p.next),
					PrimaryOnly: true, Objective: scarceObjective, Deadline: p.now.Add(scarceTimeout),
				})
			}
		}
		p.collect()
	}
	return p
}

func (p *fairPlay) collect() {
	effects := p.effects
	p.effects = nil
	for _, x := range effects {
		switch v := x.(type) {
		case RunRequest:
			n := p.caller[v.Request]
			work := p.work[p.callers[n].database]
			p.runs[v.Request], p.ends[v.Request] = v, p.slots.run(p.now, work)
			p.busy[n] += work
		case AnswerRequest:
			n, took := p.caller[v.Request], p.now.Sub(p.arrived[v.Request])
			switch {
			case v.Verdict != VerdictDone:
				p.refused[n]++
				p.refusalWait[n] += took
			case took <= scarceObjective:
				p.inTime[n]++
			}
		}
	}
}

// others returns the sum of counts of all organisations but the first.
func others(counts []int) int {
	n := 0
	for _, count := range counts[1:] {
		n += count
	}
	return n
}

// usualCallers returns organisations whose sizes follow a Zipf distribution with
// exponent 1.2. The first sends a multiple of its usual load.
func usualCallers(count int, total, multiple float64) []fairCaller {
	var out []fairCaller
	sum := 0.0
	for n := range count {
		sum += math.Pow(float64(n+1), -1.2)
	}
	for n := range count {
		rate := total * math.Pow(float64(n+1), -1.2) / sum
		out = append(out, fairCaller{rate: rate, weight: 1.6 * rate, database: "shop"})
	}
	out[0].rate *= multiple
	return out
}

// TestOrganisationThatSendsTooMuch guards against an organisation whose excess
// displaces the requests of the others, and against refusals of their requests.
func TestOrganisationThatSendsTooMuch(t *testing.T) {
	const count, multiple = 85, 7.5
	work := map[string]time.Duration{"shop": 10 * time.Millisecond}
	capacity := fairSlots / work["shop"].Seconds()
	// The usual load of which one organisation's excess makes 1/0.6 of the capacity.
	share := usualCallers(count, 1, 1)[0].rate
	total := capacity / 0.6 / (1 + (multiple-1)*share)
	// In mixed classes, a third of the requests of all organisations is in each; where
	// the excess is urgent, the requests of the first organisation are the most urgent.
	for mix, classOf := range map[string]func(org int, id catalog.RequestID) Class{
		"one class":            func(int, catalog.RequestID) Class { return ClassNormal },
		"mixed classes":        func(_ int, id catalog.RequestID) Class { return Class(id % 3) },
		"the excess is urgent": func(org int, _ catalog.RequestID) Class { return min(Class(org), ClassNormal) },
	} {
		Convey("the others lose at most 5% and almost all refusals are of the one above its share: "+mix, t, func() {
			usual := (&fairPlay{callers: usualCallers(count, total, 1), work: work, classOf: classOf}).play()
			flood := (&fairPlay{callers: usualCallers(count, total, multiple), work: work, classOf: classOf}).play()
			inOrder := (&fairPlay{callers: usualCallers(count, total, multiple), work: work, classOf: classOf, isUnfair: true}).play()
			refused, waited := flood.refused[0], flood.refusalWait[0]/time.Duration(flood.refused[0])
			t.Logf("others in time: %d of %d usually, %d with the excess, %d in the order of arrival", others(usual.inTime), others(usual.offered), others(flood.inTime), others(inOrder.inTime))
			t.Logf("the first: %d of %d in time, %d refused after %v", flood.inTime[0], flood.offered[0], refused, waited)
			So(others(flood.offered), ShouldEqual, others(usual.offered))
			So(others(inOrder.inTime), ShouldBeLessThan, others(usual.inTime)*95/100)
			So(others(flood.inTime), ShouldBeGreaterThan, others(usual.inTime)*95/100)
			for n := 1; n < count; n++ {
				// Five percent of a small organisation's requests is less than one.
				So(usual.inTime[n]-flood.inTime[n], ShouldBeLessThanOrEqualTo, max(usual.inTime[n]/20, 1))
			}
			So(others(flood.refused), ShouldBeLessThan, refused/100)
			// The excess is refused long before it is late, and what the others leave unused is used.
			So(waited, ShouldBeLessThan, scarceObjective/4)
			So(float64(others(flood.inTime)+flood.inTime[0]), ShouldBeGreaterThan, 0.95*capacity*fairSeconds)
		})
	}
}

// TestSharesOfOrganisations guards against shares of a saturated upstream that
// differ from the weights, and against a share that stays unused because its
// organisation asks for less.
func TestSharesOfOrganisations(t *testing.T) {
	work := map[string]time.Duration{"shop": 10 * time.Millisecond}
	const capacity = 200.0
	Convey("organisations that all send too much get their shares by weight within 20%", t, func() {
		p := &fairPlay{work: work}
		for _, weight := range []float64{10, 20, 30, 60} {
			p.callers = append(p.callers, fairCaller{rate: 0.65 * capacity, weight: weight, database: "shop"})
		}
		p.play()
		t.Logf("in time %v of %v", p.inTime, p.offered)
		for n, c := range p.callers {
			So(float64(p.inTime[n]), ShouldAlmostEqual, capacity*fairSeconds*c.weight/120, 0.2*capacity*fairSeconds*c.weight/120)
		}
	})
	Convey("an organisation that asks for less than its share gets it all, and the others share the rest by weight", t, func() {
		p := (&fairPlay{work: work, callers: []fairCaller{
			{rate: 20, weight: 100, database: "shop"}, {rate: 200, weight: 20, database: "shop"}, {rate: 200, weight: 40, database: "shop"},
		}}).play()
		t.Logf("in time %v of %v", p.inTime, p.offered)
		So(p.inTime[0], ShouldBeGreaterThan, p.offered[0]*95/100)
		rest := capacity*fairSeconds - float64(p.inTime[0])
		So(float64(p.inTime[1]), ShouldAlmostEqual, rest/3, 0.2*rest/3)
		So(float64(p.inTime[2]), ShouldAlmostEqual, 2*rest/3, 0.2*2*rest/3)
	})
	Convey("organisations of equal weight whose requests cost differently occupy the slots for the same time within 20%", t, func() {
		p := (&fairPlay{work: map[string]time.Duration{"shop": 8 * time.Millisecond, "archive": 32 * time.Millisecond}, callers: []fairCaller{
			{rate: 250, weight: 20, database: "shop"}, {rate: 70, weight: 20, database: "archive"},
		}}).play()
		t.Logf("in time %v of %v, busy %v", p.inTime, p.offered, p.busy)
		half := (p.busy[0] + p.busy[1]).Seconds() / 2
		So(p.busy[0].Seconds(), ShouldAlmostEqual, half, 0.2*half)
	})
}

// TestQueueEmptiesWithOrganisations guards, with random events, against requests
// that leave the queue without leaving the count of their organisation, which then
// counts as waiting for ever and gets a part of each share.
func TestQueueEmptiesWithOrganisations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := randomWorld(t, func(e *Entry) { e.organisations = organisation.New(nil) })
		for _, id := range w.instanceIDs() {
			w.upstreams[id].held = false
			w.playDown(w.upstreams[id], true)
		}
		w.advance(3 * time.Second)
		for id, s := range w.entry.services {
			if s.clock != nil && s.clock.Active() > 0 {
				t.Fatalf("%d organisations seem to wait for %s, where %d requests wait", s.clock.Active(), id, s.waitingCount())
			}
		}
		if len(w.violations) > 0 {
			t.Fatal(w.violations)
		}
	})
}

// TestRefusalsWithinQueueLimit guards against a queue limit that refuses the last
// request to arrive where another organisation has filled the queue.
func TestRefusalsWithinQueueLimit(t *testing.T) {
	Convey("a full queue refuses the requests of the organisation that filled it", t, func() {
		p := (&fairPlay{work: map[string]time.Duration{"shop": 10 * time.Millisecond}, queueLimit: 8, callers: []fairCaller{
			{rate: 400, weight: 20, database: "shop"}, {rate: 15, weight: 20, database: "shop"},
		}}).play()
		t.Logf("in time %v of %v, refused %v", p.inTime, p.offered, p.refused)
		So(p.refused[1], ShouldBeZeroValue)
		So(p.inTime[1], ShouldBeGreaterThan, p.offered[1]*99/100)
		So(p.refused[0], ShouldBeGreaterThan, 0)
	})
}
