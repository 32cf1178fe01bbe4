package node

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/quorum"
	"github.com/kingcupknot/kingcupknot/registry"
	"github.com/kingcupknot/kingcupknot/wire"
)

// sitePlay plays the entries of several sites, one service and a control VM in
// virtual time. Upstreams have slots and run what they get in the order of arrival.
type sitePlay struct {
	// entriesPerSite holds the number of entries of each site.
	entriesPerSite []int
	// upstreams holds the site of each upstream. The first one is the primary.
	upstreams []int
	// withoutPrimary keeps reads away from the primary: no entry gets a lease.
	withoutPrimary bool
	// balanced sets BalanceSites.
	balanced bool
	// load is the number of requests in capacities of one upstream, by site, and
	// writes the part of them that are writes.
	load   func(site int, at time.Duration) float64
	writes float64
	// slow holds the factor by which an upstream's work is longer.
	slow func(upstream int, at time.Duration) float64
	// isDown reports whether an upstream refuses connections.
	isDown func(upstream int, at time.Duration) bool

	// isCounted reports whether requests that arrive at a time count; nil means
	// always.
	isCounted func(at time.Duration) bool
	// beforeTick is called before each tick, if not nil.
	beforeTick func(at time.Duration)

	now, startedAt catalog.Instant
	random         *rand.Rand
	control        *soloControl
	entries        []*playEntry
	byVM           map[catalog.VMID]*playEntry
	slots          [][]catalog.Instant
	due            map[catalog.Instant][]func()
	requests       map[catalog.RequestID]*playRequest
	lastRequest    catalog.RequestID
	// offered, inTime, lost and away count the requests of each site: all, those
	// done within their objective, those with an unknown outcome and the runs at
	// an upstream of another site.
	offered, inTime, lost, away []int
	// fractions holds the mean fraction of reads that leave each site, every
	// 100 ms.
	fractions [][]float64
	// remotePrimaryReads counts the reads at the primary of another site.
	remotePrimaryReads int
	logs               []Log
}

type playEntry struct {
	vm    catalog.VMID
	site  int
	entry *Entry
	conns map[catalog.ConnID]int
	runs  map[catalog.ConnID]catalog.RequestID
	timer catalog.Instant
}

type playRequest struct {
	site      int
	kind      RequestKind
	isCounted bool
	arrivedAt catalog.Instant
	// origin forwarded the request as originRequest, if not nil.
	origin        *playEntry
	originRequest catalog.RequestID
}

const (
	playTick      = 2 * time.Millisecond
	playSlots     = 5
	playWork      = 24 * time.Millisecond
	playObjective = 400 * time.Millisecond
	playTimeout   = time.Second
	playNetwork   = time.Millisecond
	playConnect   = 12 * time.Millisecond
)

func playInstance(n int) catalog.InstanceID { return catalog.InstanceID(rune('a' + n)) }

func playSite(n int) catalog.SiteID { return catalog.SiteID(fmt.Sprintf("s%d", n)) }

func (p *sitePlay) play(length time.Duration) {
	p.start()
	p.startedAt = p.now
	sites := len(p.entriesPerSite)
	p.offered, p.inTime, p.lost, p.away = make([]int, sites), make([]int, sites), make([]int, sites), make([]int, sites)
	p.fractions = make([][]float64, sites)
	for at := time.Duration(0); at < length; at += playTick {
		if p.beforeTick != nil {
			p.beforeTick(at)
		}
		p.advance(playTick)
		for site := range sites {
			rate := p.load(site, at) * playSlots / playWork.Seconds()
			for chance := rate * playTick.Seconds(); chance > 0; chance-- {
				if p.random.Float64() < chance {
					p.offer(site)
				}
			}
			if at%(100*time.Millisecond) == 0 {
				p.fractions[site] = append(p.fractions[site], p.fraction(site))
			}
		}
	}
	p.advance(playTimeout + 100*time.Millisecond)
}

func (p *sitePlay) start() {
	p.random = rand.New(rand.NewPCG(1, 3))
	p.byVM, p.due, p.requests = map[catalog.VMID]*playEntry{}, map[catalog.Instant][]func(){}, map[catalog.RequestID]*playRequest{}
	p.control = startSoloControl(quorum.PersistentState{})
	timings := catalog.HostedTimings(5 * time.Second)
	p.control.control.options.Timings, p.control.control.options.BalanceSites = timings, p.balanced
	p.control.advance(time.Second)
	p.now = p.control.now
	adopt := adoptCommand(1, playTimeout)
	adopt.Adopt.Configuration.Services[0].Limits = catalog.Limits{Connections: 200, Reserved: 2, Slots: playSlots}
	if r := p.control.runCommand(adopt); r.Code != ReplyOK {
		panic(r.Text)
	}
	for n, site := range p.upstreams {
		p.slots = append(p.slots, make([]catalog.Instant, playSlots))
		a := testAnnouncement(playInstance(n), catalog.RoleReplica, 1)
		a.Site, a.Slots = playSite(site), playSlots
		p.control.runCommand(Command{Announce: &Announce{Announcement: a}})
	}
	p.elect()
	for site, count := range p.entriesPerSite {
		for n := range count {
			vm := catalog.VMID(fmt.Sprintf("e%d-%02d", site, n))
			v := &playEntry{vm: vm, site: site, conns: map[catalog.ConnID]int{}, runs: map[catalog.ConnID]catalog.RequestID{}}
			v.entry = NewEntry(EntryOptions{
				VM: vm, Site: playSite(site), Incarnation: 1, Seed: p.random.Uint64(), Timings: timings,
				Control: []catalog.VMID{"c1"}, UpstreamsFromControl: true, BalanceSites: p.balanced,
			})
			p.entries, p.byVM[vm] = append(p.entries, v), v
			p.feed(v, TimerFired{})
		}
	}
	p.advance(3 * time.Second)
}

// elect makes the first upstream the primary.
func (p *sitePlay) elect() {
	c := p.control.control
	c.propose(registry.Change{Elect: &registry.ElectPrimary{Service: "orders", Epoch: c.state.Primary("orders").Epoch + 1, Instance: "a"}}, 0)
	p.control.execute(c.effects)
	if !p.withoutPrimary {
		c.propose(registry.Change{Ready: &registry.PrimaryReady{Service: "orders", Epoch: c.state.Primary("orders").Epoch, Term: 1}}, 0)
		p.control.execute(c.effects)
	}
	c.failovers = map[catalog.ServiceID]*failover{}
}

func (p *sitePlay) at() time.Duration { return p.now.Sub(p.startedAt) }

func (p *sitePlay) advance(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); {
		p.now = p.now.Add(playTick)
		p.control.now = p.now
		p.control.step(TimerFired{})
		p.deliver()
		for _, f := range p.due[p.now] {
			f()
		}
		delete(p.due, p.now)
		for _, v := range p.entries {
			if v.timer != 0 && !v.timer.After(p.now) {
				v.timer = 0
				p.feed(v, TimerFired{})
			}
		}
		p.deliver()
	}
}

// deliver delivers what control has sent.
func (p *sitePlay) deliver() {
	sent := p.control.sentMessages
	p.control.sentMessages = nil
	for _, m := range sent {
		if v := p.byVM[m.To]; v != nil {
			p.later(playNetwork, func() { p.feed(v, MessageReceived{From: "c1", Message: m.Message}) })
		}
	}
}

// later runs f after a duration, rounded up to the next tick.
func (p *sitePlay) later(d time.Duration, f func()) {
	ticks := max((d+playTick-1)/playTick, 1)
	at := p.now.Add(ticks * playTick)
	p.due[at] = append(p.due[at], f)
}

func (p *sitePlay) feed(v *playEntry, in Input) {
	for _, x := range v.entry.Step(Event{Now: p.now, Input: in}) {
		p.execute(v, x)
	}
}

func (p *sitePlay) offer(site int) {
	isCounted := p.isCounted == nil || p.isCounted(p.at())
	if isCounted {
		p.offered[site]++
	}
	first := 0
	for _, count := range p.entriesPerSite[:site] {
		first += count
	}
	v := p.entries[first+p.random.IntN(p.entriesPerSite[site])]
	r := &playRequest{site: site, isCounted: isCounted, arrivedAt: p.now}
	if p.random.Float64() < p.writes {
		r.kind = KindWrite
	}
	p.submit(v, r)
}

func (p *sitePlay) submit(v *playEntry, r *playRequest) {
	p.lastRequest++
	p.requests[p.lastRequest] = r
	p.feed(v, RequestArrived{
		Request: p.lastRequest, Service: "orders", Database: "shop", Kind: r.kind, Objective: playObjective,
		Deadline: r.arrivedAt.Add(playTimeout), Waited: p.now.Sub(r.arrivedAt), Forwarded: r.origin != nil,
		Floor: catalog.Position{Term: 1, Offset: 1000},
	})
}

func (p *sitePlay) execute(v *playEntry, x Effect) {
	switch e := x.(type) {
	case SetTimer:
		v.timer = e.At
	case SendMessage:
		p.later(playNetwork, func() { p.control.step(MessageReceived{From: v.vm, Message: e.Message}) })
	case OpenConn:
		n := int(e.Instance[0] - 'a')
		if p.isDown != nil && p.isDown(n, p.at()) {
			p.later(playNetwork, func() { p.feed(v, ConnLost{Conn: e.Conn, Evidence: wire.EvidenceRefused}) })
			return
		}
		v.conns[e.Conn] = n
		p.later(playConnect, func() { p.feed(v, ConnOpened{Conn: e.Conn}) })
	case CloseConn:
		p.closeConn(v, e.Conn, wire.EvidenceNone)
	case Probe:
		p.later(playNetwork, func() {
			p.feed(v, ProbeDone{Conn: e.Conn, Evidence: wire.EvidenceAlive, Position: catalog.Position{Term: 1, Offset: 1000}, SentAt: p.now})
		})
	case RunRequest:
		p.run(v, e)
	case ForwardRequest:
		r := *p.requests[e.Request]
		r.origin, r.originRequest = v, e.Request
		p.later(playNetwork, func() { p.submit(p.byVM[e.To], &r) })
	case AnswerRequest:
		p.finish(e)
	case Log:
		if e.Part == "balance" {
			p.logs = append(p.logs, e)
		}
	}
}

// closeConn ends a connection and the request that runs on it.
func (p *sitePlay) closeConn(v *playEntry, c catalog.ConnID, evidence wire.Evidence) {
	id, isRunning := v.runs[c]
	delete(v.runs, c)
	delete(v.conns, c)
	p.later(playNetwork, func() {
		if isRunning {
			p.feed(v, RequestDone{Request: id, Conn: c, Outcome: OutcomeLost, PositionQueriedAt: p.now})
		}
		p.feed(v, ConnLost{Conn: c, Evidence: evidence})
	})
}

// run runs a request in the first free slot of its upstream.
func (p *sitePlay) run(v *playEntry, e RunRequest) {
	n := v.conns[e.Conn]
	v.runs[e.Conn] = e.Request
	delay := time.Duration(0)
	if p.upstreams[n] != v.site {
		delay = playNetwork
		p.away[v.site]++
		if r := p.requests[e.Request]; n == 0 && r.kind == KindRead {
			p.remotePrimaryReads++
		}
	}
	slow := 1.0
	if p.slow != nil {
		slow = p.slow(n, p.at())
	}
	slot := 0
	for k, free := range p.slots[n] {
		if free < p.slots[n][slot] {
			slot = k
		}
	}
	work := time.Duration(float64(playWork) * slow * (0.5 + p.random.Float64()))
	p.slots[n][slot] = max(p.slots[n][slot], p.now).Add(work)
	p.later(p.slots[n][slot].Sub(p.now)+2*delay, func() {
		if v.runs[e.Conn] != e.Request {
			return
		}
		delete(v.runs, e.Conn)
		p.feed(v, RequestDone{
			Request: e.Request, Conn: e.Conn, Outcome: OutcomeCompleted, PositionQueriedAt: p.now,
			Reusable: true, Position: catalog.Position{Term: 1, Offset: 1000},
		})
	})
}

// cut breaks all connections to an upstream.
func (p *sitePlay) cut(upstream int) {
	for _, v := range p.entries {
		for c := range v.entry.nextConn + 1 {
			if n, isOpen := v.conns[c]; isOpen && n == upstream {
				p.closeConn(v, c, wire.EvidenceRefused)
			}
		}
	}
}

func (p *sitePlay) finish(a AnswerRequest) {
	r := p.requests[a.Request]
	delete(p.requests, a.Request)
	took := p.now.Sub(r.arrivedAt)
	switch {
	case a.Verdict == VerdictDone && took <= playObjective && r.isCounted:
		p.inTime[r.site]++
	case a.Verdict == VerdictUnknown:
		p.lost[r.site]++
	}
	if r.origin != nil {
		delete(p.requests, r.originRequest)
		p.later(playNetwork, func() { p.feed(r.origin, ForwardDone{Request: r.originRequest, Outcome: ForwardAnswered}) })
	}
}

// fraction returns the mean fraction of reads that leave a site, over the entries
// that own the service.
func (p *sitePlay) fraction(site int) float64 {
	sum, owners := 0.0, 0.0
	for _, v := range p.entries {
		if s := v.entry.services["orders"]; v.site == site && s != nil && v.entry.isOwner(s) {
			sum, owners = sum+s.balance.spill.Fraction(), owners+1
		}
	}
	return sum / max(owners, 1)
}

// fastest returns the largest change of a site's fraction within a second, from
// the given time on.
func (p *sitePlay) fastest(from time.Duration) (most float64) {
	for _, f := range p.fractions {
		for n := int(from / (100 * time.Millisecond)); n+10 < len(f); n++ {
			most = max(most, f[n+10]-f[n], f[n]-f[n+10])
		}
	}
	return most
}

func sumOf(counts []int) (sum int) {
	for _, n := range counts {
		sum += n
	}
	return sum
}

func (p *sitePlay) log(t *testing.T, name string) {
	t.Helper()
	last := make([]float64, len(p.fractions))
	for site, f := range p.fractions {
		last[site] = f[len(f)-1]
	}
	t.Logf("%s: offered %v, in time %v (%.3f), lost %v, away %v, fractions %.2f, fastest %.3f, %d lines of log",
		name, p.offered, p.inTime, float64(sumOf(p.inTime))/float64(sumOf(p.offered)), p.lost, p.away, last, p.fastest(10*time.Second), len(p.logs))
}

func constantSites(loads ...float64) func(int, time.Duration) float64 {
	return func(site int, _ time.Duration) float64 { return loads[site] }
}
