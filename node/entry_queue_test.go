package node

import (
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// offeredLoad describes the requests sent to an upstream with two slots.
type offeredLoad struct {
	// backlog requests have already waited for 300 ms at the start. After that,
	// one request arrives per interval, arrivals in total.
	backlog, arrivals int
	interval          time.Duration
	objective         time.Duration
	// work returns the time that a request occupies a slot.
	work func(catalog.RequestID) time.Duration
}

func constantWork(catalog.RequestID) time.Duration { return loadWork }

// mixedWork returns many short times and some that are five times as long, 20 ms
// on the mean.
func mixedWork(id catalog.RequestID) time.Duration {
	if id%4 == 0 {
		return 5 * loadWork
	}
	return loadWork
}

// loadResult counts how requests ended.
type loadResult struct {
	// inTime, late and refused count the backlog in [0] and the later requests
	// in [1]. refusedLate counts those of the refused requests that were refused
	// after their objective.
	inTime, late, refused, refusedLate [2]int
}

const (
	loadStep         = 5 * time.Millisecond
	loadWork         = 10 * time.Millisecond
	callerTimeout    = time.Second
	backlogWaited    = 300 * time.Millisecond
	loadObjective    = 200 * time.Millisecond
	loadFirstRequest = 100
)

// loadRunner sends a load to an entry in virtual time.
type loadRunner struct {
	*listedEntry
	load    offeredLoad
	out     loadResult
	next    catalog.RequestID
	arrived map[catalog.RequestID]catalog.Instant
	ends    map[catalog.RequestID]catalog.Instant
	runs    map[catalog.RequestID]RunRequest
	slots   upstreamSlots
}

// upstreamSlots models an upstream that runs a fixed number of statements at a
// time and queues the others in the order of arrival: it holds when each slot will
// have run what was sent to it.
type upstreamSlots []catalog.Instant

// run returns when a statement ends that is sent now.
func (s upstreamSlots) run(now catalog.Instant, work time.Duration) catalog.Instant {
	slot := 0
	for n := range s {
		if s[n].Before(s[slot]) {
			slot = n
		}
	}
	s[slot] = max(s[slot], now).Add(work)
	return s[slot]
}

func (p *loadRunner) submit(waited time.Duration) {
	p.next++
	p.arrived[p.next] = p.now.Add(-waited)
	p.step(RequestArrived{
		Request: p.next, Service: "orders", Kind: KindWrite, Objective: p.load.objective, Waited: waited,
		Deadline: p.now.Add(callerTimeout - waited),
	})
}

// collect processes the effects of the entry.
func (p *loadRunner) collect() {
	for _, x := range p.effects {
		switch v := x.(type) {
		case RunRequest:
			p.runs[v.Request], p.ends[v.Request] = v, p.slots.run(p.now, p.load.work(v.Request))
		case AnswerRequest:
			p.countAnswer(v)
		}
	}
	p.effects = nil
}

func (p *loadRunner) countAnswer(v AnswerRequest) {
	group := 0
	if int(v.Request) > loadFirstRequest+p.load.backlog {
		group = 1
	}
	isInTime := p.now.Sub(p.arrived[v.Request]) <= loadObjective
	switch {
	case v.Verdict != VerdictDone:
		p.out.refused[group]++
		if !isInTime {
			p.out.refusedLate[group]++
		}
	case isInTime:
		p.out.inTime[group]++
	default:
		p.out.late[group]++
	}
}

// finish completes the requests whose work is done.
func (p *loadRunner) finish() {
	for _, id := range slices.Sorted(maps.Keys(p.ends)) {
		if p.ends[id].After(p.now) {
			continue
		}
		delete(p.ends, id)
		p.step(RequestDone{
			Request: id, Conn: p.runs[id].Conn, Outcome: OutcomeCompleted,
			Position: catalog.Position{Term: 1, Offset: 1}, PositionQueriedAt: p.now, Reusable: true,
		})
	}
}

func runLoad(l offeredLoad) loadResult {
	p := &loadRunner{
		listedEntry: newListedEntry(), load: l, slots: make(upstreamSlots, 2), next: loadFirstRequest, arrived: map[catalog.RequestID]catalog.Instant{},
		ends: map[catalog.RequestID]catalog.Instant{}, runs: map[catalog.RequestID]RunRequest{},
	}
	// Open the first connection beforehand, so that its delay does not affect
	// the result.
	p.run(RequestArrived{Request: 1, Kind: KindWrite})
	p.advance(100 * time.Millisecond)
	p.runs[1], p.ends[1] = mustRun(p.running(1)), p.now
	p.finish()
	p.effects = nil
	for range l.backlog {
		p.submit(backlogWaited)
	}
	p.collect()
	start, submitted := p.now, 0
	for end := start.Add(l.interval*time.Duration(l.arrivals) + 2*callerTimeout); p.now.Before(end); {
		for ; submitted < l.arrivals && !start.Add(l.interval*time.Duration(submitted)).After(p.now); submitted++ {
			p.submit(0)
		}
		p.advance(loadStep)
		p.finish()
		p.collect()
	}
	return p.out
}

func mustRun(run RunRequest, ok bool) RunRequest {
	if !ok {
		panic("the request does not run")
	}
	return run
}

// TestBacklogAfterAnOutage guards against requests that miss their objective
// after an outage has ended: if the backlog is served in the order of arrival,
// requests that arrive later are late too.
func TestBacklogAfterAnOutage(t *testing.T) {
	outage := offeredLoad{backlog: 120, arrivals: 100, interval: 10 * time.Millisecond, objective: 200 * time.Millisecond, work: constantWork}
	Convey("requests that arrive after an outage are served in time, and its backlog is served late rather than refused", t, func() {
		// The capacity is twice the arrival rate, so all later requests can be
		// in time.
		p := runLoad(outage)
		So(p.inTime[1], ShouldEqual, 100)
		So(p.late[0], ShouldBeGreaterThan, 50)
		So(p.late[0]+p.refused[0], ShouldEqual, 120)
	})
	Convey("without an objective, a tenth of the requests that arrive after it are late too", t, func() {
		outage.objective = 0
		p := runLoad(outage)
		So(p.inTime[1], ShouldBeLessThan, 90)
	})
}

// TestSustainedOverload guards against serving every request too late when more
// arrive than the upstream can run.
func TestSustainedOverload(t *testing.T) {
	// The upstream runs 200 requests per second, and 260 arrive.
	overload := offeredLoad{arrivals: 1300, interval: time.Second / 260, objective: 200 * time.Millisecond, work: constantWork}
	Convey("as many as possible are served in time, and the others are refused soon", t, func() {
		p := runLoad(overload)
		So(p.inTime[1]+p.late[1]+p.refused[1], ShouldEqual, overload.arrivals)
		So(p.inTime[1], ShouldBeGreaterThan, overload.arrivals*6/10)
		So(p.refusedLate[1], ShouldBeLessThan, p.refused[1]/2)
	})
	Convey("in the order of arrival most requests are late", t, func() {
		overload.objective = 0
		p := runLoad(overload)
		So(p.inTime[1], ShouldBeLessThan, overload.arrivals/2)
	})
}

// TestSingleEntryFillsSlots guards against an entry that can't fill the slots of
// an upstream alone, as it must when the other entries are cut off and all callers
// come to it. A limit that follows the latency takes the variance of the work for
// congestion and falls to one statement at a time.
func TestSingleEntryFillsSlots(t *testing.T) {
	// The upstream runs 100 requests per second, and 85 arrive.
	busy := offeredLoad{arrivals: 850, interval: time.Second / 85, objective: 400 * time.Millisecond, work: mixedWork}
	Convey("an entry alone serves 85% of an upstream's capacity in time", t, func() {
		p := runLoad(busy)
		So(p.inTime[1], ShouldBeGreaterThan, busy.arrivals*97/100)
	})
}
