package node

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// scarcityPlay plays a service whose replicas are all far behind: the entries of
// several sites send their callers' reads to one primary. Each site has the same
// load, whatever the number of its entries.
type scarcityPlay struct {
	// entriesPerSite holds the number of entries of each site.
	entriesPerSite []int
	// load is the offered work in capacities of the primary.
	load float64
	// lostPercent is the proportion of answers that are lost.
	lostPercent int

	now       catalog.Instant
	entries   []*listedEntry
	sites     []int
	slots     upstreamSlots
	ends      map[scarceRun]catalog.Instant
	runs      map[scarceRun]RunRequest
	arrivedAt map[scarceRun]catalog.Instant
	sent      int
	// offered and inTime count the reads of each site.
	offered, inTime []int
}

// scarceRun identifies a read of one entry.
type scarceRun struct {
	entry   int
	request catalog.RequestID
}

const (
	scarceSlots     = 3
	scarceWork      = 24 * time.Millisecond
	scarceObjective = 400 * time.Millisecond
	scarceTimeout   = time.Second
)

func (p *scarcityPlay) start() {
	p.slots = make(upstreamSlots, scarceSlots)
	p.ends, p.runs, p.arrivedAt = map[scarceRun]catalog.Instant{}, map[scarceRun]RunRequest{}, map[scarceRun]catalog.Instant{}
	p.offered, p.inTime = make([]int, len(p.entriesPerSite)), make([]int, len(p.entriesPerSite))
	for site, count := range p.entriesPerSite {
		var vms []catalog.VMID
		for n := range count {
			vms = append(vms, catalog.VMID(fmt.Sprintf("e%d-%d", site, n)))
		}
		for range count {
			w := newListedEntry()
			w.granted = 2 * scarceSlots
			w.answer.Entries, w.answer.SiteCount = vms, len(p.entriesPerSite)
			w.entry.options.VM = vms[len(p.entries)%count]
			w.entry.randomState += uint64(len(p.entries))
			for n := range w.answer.Upstreams {
				w.answer.Upstreams[n].Slots = scarceSlots
				w.answer.Upstreams[n].Sequence++
			}
			w.answer.UpstreamsMark.Revision++
			w.advance(time.Second)
			p.entries, p.sites, p.now = append(p.entries, w), append(p.sites, site), w.now
		}
	}
}

// play offers reads for some seconds.
func (p *scarcityPlay) play(seconds int) {
	const tick = 10 * time.Millisecond
	p.start()
	next, due := catalog.RequestID(100), make([]float64, len(p.entriesPerSite))
	for end := p.now.Add(time.Duration(seconds) * time.Second); p.now.Before(end); {
		p.now = p.now.Add(tick)
		for n, w := range p.entries {
			w.now = p.now
			w.step(TimerFired{})
			p.finishDue(n)
		}
		for site, count := range p.entriesPerSite {
			rate := p.load * scarceSlots / scarceWork.Seconds() / float64(len(p.entriesPerSite))
			for due[site] += rate * tick.Seconds(); due[site] >= 1; due[site]-- {
				next++
				n := slices.Index(p.sites, site) + p.offered[site]%count
				p.offered[site]++
				p.arrivedAt[scarceRun{n, next}] = p.now
				p.entries[n].step(RequestArrived{
					Request: next, Service: "orders", Database: "shop", Kind: KindRead, Objective: scarceObjective,
					Deadline: p.now.Add(scarceTimeout), Floor: catalog.Position{Term: 1, Offset: 1000},
				})
			}
		}
		for n := range p.entries {
			p.collect(n)
		}
	}
}

// finishDue ends the runs of an entry that are due.
func (p *scarcityPlay) finishDue(n int) {
	w := p.entries[n]
	for _, id := range slices.SortedFunc(maps.Keys(p.ends), func(a, b scarceRun) int { return int(a.request) - int(b.request) }) {
		if id.entry != n || p.ends[id].After(p.now) {
			continue
		}
		run := p.runs[id]
		delete(p.ends, id)
		done := RequestDone{Request: id.request, Conn: run.Conn, Outcome: OutcomeCompleted, PositionQueriedAt: p.now, Reusable: true, Position: catalog.Position{Term: 1, Offset: 1000}}
		if w.conns[run.Conn] != "a" {
			done.Outcome, done.Position = OutcomeBehind, catalog.Position{Term: 1, Offset: 10}
		}
		w.step(done)
	}
}

// collect starts the runs that an entry asks for, and counts its answers.
func (p *scarcityPlay) collect(n int) {
	w := p.entries[n]
	effects := w.effects
	w.effects = nil
	for _, x := range effects {
		switch v := x.(type) {
		case RunRequest:
			p.run(n, v)
		case ForwardRequest:
			panic("the entry does not own the service")
		case CloseConn:
			p.lose(n, v.Conn)
		case AnswerRequest:
			took := p.now.Sub(p.arrivedAt[scarceRun{n, v.Request}])
			if v.Verdict == VerdictDone && took <= scarceObjective {
				p.inTime[p.sites[n]]++
			}
		}
	}
}

func (p *scarcityPlay) run(n int, v RunRequest) {
	id := scarceRun{n, v.Request}
	p.runs[id] = v
	if p.entries[n].conns[v.Conn] != "a" {
		p.ends[id] = p.now.Add(time.Millisecond)
		return
	}
	p.ends[id] = p.slots.run(p.now, scarceWork)
	if p.sent++; p.sent*p.lostPercent/100 != (p.sent-1)*p.lostPercent/100 {
		p.ends[id] = p.arrivedAt[id].Add(scarceTimeout)
	}
}

// lose ends the run on a connection that the entry has closed.
func (p *scarcityPlay) lose(n int, conn catalog.ConnID) {
	for id, run := range p.runs {
		if _, isRunning := p.ends[id]; isRunning && id.entry == n && run.Conn == conn {
			delete(p.ends, id)
			p.entries[n].step(RequestDone{Request: id.request, Conn: conn, Outcome: OutcomeLost, PositionQueriedAt: p.now})
			return
		}
	}
}

func (p *scarcityPlay) served() int {
	n := 0
	for _, served := range p.inTime {
		n += served
	}
	return n
}

// TestScarcePrimaryIsSharedByCallers guards against a saturated primary that is
// shared by entry: the callers of a site with one entry then get a third of what
// those of a site with three entries get.
func TestScarcePrimaryIsSharedByCallers(t *testing.T) {
	for _, load := range []float64{1.7, 2.5} {
		Convey(fmt.Sprintf("at %.0f%% of the primary, callers of sites with 3, 2 and 1 entries have the same chance within 20%%", 100*load), t, func() {
			p := &scarcityPlay{entriesPerSite: []int{3, 2, 1}, load: load}
			p.play(20)
			t.Logf("offered %v, in time %v", p.offered, p.inTime)
			least, most := 1.0, 0.0
			for site, offered := range p.offered {
				share := float64(p.inTime[site]) / float64(offered)
				least, most = min(least, share), max(most, share)
			}
			So(most, ShouldBeLessThan, 1.2*least)
			capacity := 20 * scarceSlots / scarceWork.Seconds()
			So(float64(p.served()), ShouldBeGreaterThan, 0.85*capacity)
		})
	}
}

// TestLostAnswersLeaveThePrimaryBusy guards against places at a scarce primary
// that are held for answers which never come.
func TestLostAnswersLeaveThePrimaryBusy(t *testing.T) {
	Convey("with 3% of the answers lost a saturated primary serves 90% of what it serves without", t, func() {
		all, lossy := &scarcityPlay{entriesPerSite: []int{3, 2, 1}, load: 1.7}, &scarcityPlay{entriesPerSite: []int{3, 2, 1}, load: 1.7, lostPercent: 3}
		all.play(20)
		lossy.play(20)
		t.Logf("%d without, %d with losses", all.served(), lossy.served())
		So(float64(lossy.served()), ShouldBeGreaterThan, 0.9*float64(all.served()))
	})
}
