package node

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// behindPlay plays reads at an entry whose primary runs two reads at a time, and
// whose replicas apply the log so late that they cover no read.
type behindPlay struct {
	*listedEntry
	// runsUntil holds the reads that run, with the time of their end.
	runsUntil map[catalog.RequestID]catalog.Instant
	runs      map[catalog.RequestID]RunRequest
	arrivedAt map[catalog.RequestID]catalog.Instant
	// offset is the log offset of the primary. tries counts the reads that were
	// sent to a replica in vain.
	offset   catalog.Offset
	tries    int
	served   []time.Duration
	refused  []time.Duration
	replicas catalog.Position
	slots    upstreamSlots
	// work returns how long a read runs at the primary. answered is called with
	// every answer.
	work     func(catalog.RequestID) time.Duration
	answered func(id catalog.RequestID, verdict Verdict, took time.Duration)
}

const (
	behindObjective = 400 * time.Millisecond
	behindWork      = 24 * time.Millisecond
	behindReply     = 5 * time.Millisecond
)

func newBehindPlay() *behindPlay {
	p := &behindPlay{
		listedEntry: newListedEntry(), runsUntil: map[catalog.RequestID]catalog.Instant{}, runs: map[catalog.RequestID]RunRequest{},
		arrivedAt: map[catalog.RequestID]catalog.Instant{}, offset: 1000, replicas: catalog.Position{Term: 1, Offset: 10},
		work:     func(catalog.RequestID) time.Duration { return behindWork },
		answered: func(catalog.RequestID, Verdict, time.Duration) {}, slots: make(upstreamSlots, 2),
	}
	return p
}

// finishDue ends the runs that are due: those at replicas as behind, those at
// the primary as completed.
func (p *behindPlay) finishDue() {
	var due []catalog.RequestID
	for id, until := range p.runsUntil {
		if !until.After(p.now) {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	for _, id := range due {
		run := p.runs[id]
		delete(p.runsUntil, id)
		done := RequestDone{Request: id, Conn: run.Conn, PositionQueriedAt: p.now, Reusable: true, Position: catalog.Position{Term: 1, Offset: p.offset}}
		if p.conns[run.Conn] != "a" {
			p.tries++
			done.Outcome, done.Position = OutcomeBehind, p.replicas
		}
		p.step(done)
	}
}

// collect starts the runs that the entry asks for, and records its answers.
func (p *behindPlay) collect() {
	for _, x := range p.effects {
		switch v := x.(type) {
		case RunRequest:
			p.runs[v.Request], p.runsUntil[v.Request] = v, p.now.Add(behindReply)
			if p.conns[v.Conn] == "a" {
				p.runsUntil[v.Request] = p.slots.run(p.now, p.work(v.Request))
			}
		case AnswerRequest:
			took := p.now.Sub(p.arrivedAt[v.Request])
			p.answered(v.Request, v.Verdict, took)
			if v.Verdict == VerdictDone {
				p.served = append(p.served, took)
			} else {
				p.refused = append(p.refused, took)
			}
		}
	}
	p.effects = nil
}

// submit sends a read of a session that has just written.
func (p *behindPlay) submit(id catalog.RequestID, database string, objective time.Duration) {
	p.offset++
	p.arrivedAt[id] = p.now
	p.step(RequestArrived{
		Request: id, Service: "orders", Database: database, Kind: KindRead, Objective: objective,
		Deadline: p.now.Add(time.Second), Floor: catalog.Position{Term: 1, Offset: p.offset},
	})
}

// play offers reads of a session that has just written, at the given share of
// the capacity of two connections to the primary.
func (p *behindPlay) play(load float64, seconds int) (offered int) {
	const tick = 2 * time.Millisecond
	rate, due := load*2/behindWork.Seconds(), 0.0
	next := catalog.RequestID(0)
	for end := p.now.Add(time.Duration(seconds) * time.Second); p.now.Before(end); {
		p.now = p.now.Add(tick)
		p.step(TimerFired{})
		p.finishDue()
		for due += rate * tick.Seconds(); due >= 1; due-- {
			next++
			offered++
			p.submit(next, "shop", behindObjective)
		}
		p.collect()
	}
	return offered
}

// TestReadsBehindHopelessReplicas plays reads that only the primary can serve
// while its replicas are far behind for long. It guards against reads that are
// sent to these replicas first, one after the other, and against reads that wait
// for them instead of being refused.
func TestReadsBehindHopelessReplicas(t *testing.T) {
	const seconds = 10
	within := func(list []time.Duration, limit time.Duration) (n int) {
		for _, took := range list {
			if took <= limit {
				n++
			}
		}
		return n
	}
	Convey("below the primary's capacity callers are served in time, and few reads try the replicas", t, func() {
		p := newBehindPlay()
		offered := p.play(0.7, seconds)
		So(within(p.served, behindObjective), ShouldBeGreaterThan, offered*95/100)
		// Two replicas, each tried once per longest delay, and before the delay
		// has grown.
		So(p.tries, ShouldBeLessThanOrEqualTo, 2*(seconds*int(time.Second)/int(maxBehindRetryDelay)+2*hopelessBehindCount))
	})
	Convey("above it most reads are served in time, and the others are refused within the objective", t, func() {
		p := newBehindPlay()
		offered := p.play(1.3, seconds)
		// The primary can serve 1/1.3 of the reads.
		So(within(p.served, behindObjective), ShouldBeGreaterThan, offered*65/100)
		So(within(p.refused, behindObjective), ShouldBeGreaterThan, len(p.refused)*95/100)
	})
	Convey("a replica that has caught up is used again within the longest delay", t, func() {
		p := newBehindPlay()
		p.play(0.7, seconds)
		p.replicas = catalog.Position{Term: 1, Offset: 1 << 40}
		before := p.tries
		p.play(0.7, 2)
		So(p.tries-before, ShouldBeGreaterThan, 0)
	})
}
