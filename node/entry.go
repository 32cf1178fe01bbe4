package node

import (
	"sort"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// EntryOptions are what an entry knows at its start.
type EntryOptions struct {
	VM   catalog.VMID
	Site catalog.SiteID
	// Incarnation numbers the starts of the process.
	Incarnation uint64
	// Seed feeds the jitter of back-off.
	Seed    uint64
	Timings catalog.Timings
	// Control lists the control VMs.
	Control []catalog.VMID
	// Peers lists the other entries.
	Peers []catalog.VMID
	// SitePeers lists the other entries of the same site; they share the
	// work of observing.
	SitePeers []catalog.VMID
	// Observers is how many entries of a site observe a service, 0 for all.
	Observers int
	// UpstreamsFromControl is set where control tells the entries of upstreams, and
	// upstreams check the position that a read asks for by themselves.
	UpstreamsFromControl bool
	// ReadFromPrimary sends all reads to the primary.
	ReadFromPrimary bool
	// EqualShares asks for the same share of an upstream at every entry.
	EqualShares bool
	// QueueLimit is the most requests that wait per service.
	QueueLimit int
	// Settings and Version are the last accepted configuration known. It comes
	// into force once control or a neighbour has confirmed or replaced it.
	Settings []catalog.Service
	Version  catalog.Version
}

// Entry decides for one entry VM where requests run, when a write may be
// acknowledged and which upstream connections are held.
type Entry struct {
	options EntryOptions
	now     catalog.Instant
	started bool
	// steps counts the events taken.
	steps   uint64
	random  uint64
	effects []Effect
	// counts holds the effects that add one to a counter, by name.
	counts map[string]Effect
	// shown and likely are reused by candidates.
	shown, likely []*entryInstance

	version catalog.Version
	// routes are sorted by key, idle is the bound of a resting transaction.
	routes []catalog.Route
	idle   time.Duration
	// upstreamsAt marks the list of upstreams that control told.
	upstreamsAt wire.UpstreamsMark
	// seeds are the control VMs of the own settings.
	seeds []catalog.VMID
	// ready is what the shell was told last, unreadySince when it ceased to be
	// so, and released is set once the callers were asked to go elsewhere.
	ready        bool
	unreadySince catalog.Instant
	released     bool
	// drained lists the upstreams that operators keep new work from.
	drained  []catalog.InstanceID
	services map[catalog.ServiceID]*entryService
	// order holds the keys of services, ascending.
	order    []catalog.ServiceID
	conns    map[catalog.ConnID]*entryConn
	nextConn catalog.ConnID
	requests map[catalog.RequestID]*entryRequest

	report   entryReports
	schedule entrySchedule
	catchUp  entryCatchUp
	// timerAt is the instant last asked for, zero if none is pending.
	timerAt catalog.Instant
	// wakeAt collects the earliest deadline during a step, zero if none.
	wakeAt     catalog.Instant
	leaving    bool
	leaveBy    catalog.Instant
	stopped    bool
	siteVMs    []catalog.VMID
	owners     entryOwners
	leaseHolds entryLeaseCheck
	allowed    entryAllowance
}

// entryLeaseCheck and entryAllowance are the two rules that tests turn off to
// show that the checks of the invariants notice.
type (
	entryLeaseCheck func(s *entryService, epoch catalog.Epoch, now catalog.Instant) bool
	entryAllowance  func(i *entryInstance, now catalog.Instant) int
)

// NewEntry returns an entry that knows the given configuration and nothing of
// its upstreams.
func NewEntry(o EntryOptions) *Entry {
	e := &Entry{
		options:    o,
		random:     o.Seed,
		version:    o.Version,
		services:   map[catalog.ServiceID]*entryService{},
		conns:      map[catalog.ConnID]*entryConn{},
		requests:   map[catalog.RequestID]*entryRequest{},
		counts:     map[string]Effect{},
		leaseHolds: leaseValid,
		allowed:    allowance,
	}
	e.options.Control = sortedVMs(o.Control)
	e.seeds = e.options.Control
	e.options.Peers = sortedVMs(o.Peers)
	e.siteVMs = sortedVMs(append([]catalog.VMID{o.VM}, o.SitePeers...))
	e.report = newEntryReports(o.Incarnation)
	e.catchUp = newEntryCatchUp(o, e.siteVMs, e.options.Peers)
	for _, c := range o.Settings {
		e.configure(c)
	}
	return e
}

func sortedVMs(vms []catalog.VMID) []catalog.VMID {
	out := append([]catalog.VMID{}, vms...)
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// Step takes one event and returns what the shell must do.
func (e *Entry) Step(ev Event) []Effect {
	e.effects = nil
	e.now = ev.Now
	e.steps++
	if !e.started {
		e.started = true
		e.report.answeredAt = ev.Now
		e.report.next = ev.Now
	}
	if !e.timerAt.After(e.now) {
		e.timerAt = 0
	}
	e.take(ev.Input)
	e.settle()
	return e.effects
}

func (e *Entry) take(in Input) {
	switch v := in.(type) {
	case MessageReceived:
		e.takePeer(v)
	case AnnouncementReceived:
		e.takeAnnouncement(v.Announcement, true)
	case DrainRequested:
		e.takeDrain()
	case RequestArrived:
		e.takeRequest(v)
	case RequestCanceled:
		e.takeWithdrawn(v)
	case RequestDone:
		e.takeDone(v)
	case ForwardDone:
		e.takeForwarded(v)
	case ForwardedTransactionEnded:
		delete(e.owners.away, v.Request)
	case TransactionAbandoned:
		e.takeDropped(v)
	case ConnOpened:
		e.takeOpened(v)
	case ConnLost:
		e.takeLost(v)
	case ConnReusable:
		e.takeSettled(v)
	case ProbeDone:
		e.takeProbe(v)
	case SeedsChanged:
		e.seeds = sortedVMs(v.Control)
	}
}

func (e *Entry) takePeer(v MessageReceived) {
	m := v.Message
	switch {
	case m.Answer != nil:
		e.takeAnswer(v.From, *m.Answer)
	case m.Revoke != nil:
		e.takeRevoke(v.From, *m.Revoke)
	case m.Announcement != nil:
		e.takeAnnouncement(*m.Announcement, false)
	case m.SettingsAsk != nil:
		e.answerSettings(v.From, *m.SettingsAsk)
	case m.Settings != nil:
		e.takePeerSettings(v.From, *m.Settings)
	}
}

// settle brings what an event or a deadline concerns up to date with the clock: what ran out is given
// up first, then waiting work is placed, then connections, probes, reports.
func (e *Entry) settle() {
	for _, s := range e.due() {
		e.wakeAt = 0
		e.settleService(s)
		e.wakeService(s, e.wakeAt)
	}
	e.wakeAt = e.firstWake()
	e.settleCatchUp()
	e.settleDrain()
	e.settleReport()
	e.askOthers()
	e.settleReadiness()
	e.settleTimer()
}

// settleService may skip a service until its next event or deadline, so what
// hangs on time in it must ask for a wake.
func (e *Entry) settleService(s *entryService) {
	if e.options.UpstreamsFromControl {
		s.isObserved = e.isOwner(s)
	}
	e.subscribe(s)
	e.settleLease(s)
	e.forget(s)
	for _, i := range s.instances {
		e.trim(i)
		e.giveUp(i)
		i.short = 0
	}
	e.settleReplication(s)
	e.dispatch(s)
	for _, i := range s.instances {
		e.settleProbe(i)
		e.settleConns(i)
		if i.pausedUntil.After(e.now) {
			e.wake(i.pausedUntil)
		}
	}
	if len(s.running) > 0 || s.waitingCount() > 0 {
		e.wake(e.now.Add(e.options.Timings.ReportInterval))
	}
}

// wake asks for a step at or soon after an instant.
func (e *Entry) wake(at catalog.Instant) {
	if e.wakeAt == 0 || at.Before(e.wakeAt) {
		e.wakeAt = at
	}
}

func (e *Entry) settleTimer() {
	if e.wakeAt == 0 || e.stopped {
		return
	}
	at := e.wakeAt
	if !at.After(e.now) {
		at = e.now.Add(timerFloor)
	}
	if at == e.timerAt {
		return
	}
	e.timerAt = at
	e.emit(SetTimer{At: at})
}

func (e *Entry) emit(x Effect) {
	if e.effects == nil {
		e.effects = make([]Effect, 0, effectsUsual)
	}
	e.effects = append(e.effects, x)
}

// count adds one to a counter. Effects are never changed, so one for each name
// is enough.
func (e *Entry) count(name string) {
	x := e.counts[name]
	if x == nil {
		x = Count{Name: name, Delta: 1}
		e.counts[name] = x
	}
	e.emit(x)
}

func (e *Entry) span(name string, r *entryRequest, from catalog.Instant) {
	e.emit(Span{Name: name, Request: r.Request, Service: r.Service, Start: from, End: e.now})
}

// draw returns the next number of the seeded sequence (splitmix64).
func (e *Entry) draw() uint64 {
	e.random += 0x9e3779b97f4a7c15
	z := e.random
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}
