package node

import (
	"sort"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/organisation"
	"github.com/kingcupknot/kingcupknot/ratelimit"
	"github.com/kingcupknot/kingcupknot/wire"
)

// EntryOptions configures an Entry.
type EntryOptions struct {
	VM   catalog.VMID
	Site catalog.SiteID
	// Incarnation identifies this run of the process. Each later run has a
	// higher number.
	Incarnation uint64
	// Seed initializes the generator of random numbers, which adds jitter to
	// delays and spreads load.
	Seed    uint64
	Timings catalog.Timings
	// Control lists the control VMs.
	Control []catalog.VMID
	// Peers lists the other entries.
	Peers []catalog.VMID
	// SitePeers lists the other entries of the same site, which share the
	// observation of upstreams with this one.
	SitePeers []catalog.VMID
	// Observers is the number of entries of a site that observe a service; 0
	// means all.
	Observers int
	// UpstreamsFromControl is set if entries get the list of upstreams from
	// control alone, and upstreams verify by themselves that they have reached
	// the position a read requires.
	UpstreamsFromControl bool
	// ReadFromPrimary sends all reads to the primary.
	ReadFromPrimary bool
	// BalanceSites makes sites share a saturated primary by their demand, and a
	// controlled fraction of reads leave a site that does not keep their
	// objective. It takes effect with UpstreamsFromControl.
	BalanceSites bool
	// EqualShares makes every entry request the same number of an upstream's
	// connections.
	EqualShares bool
	// QueueLimit is the maximum number of requests that wait per service; 0
	// means defaultQueueLimit.
	QueueLimit int
	// Settings and Version are the configuration that this process saved last.
	// It takes effect once control or an entry of the same site has confirmed
	// or replaced it.
	Settings []catalog.Service
	Version  catalog.Version
}

// Entry is the reducer of one entry VM. It decides where requests run, when a
// write is acknowledged and which upstream connections are open.
type Entry struct {
	options EntryOptions
	now     catalog.Instant
	started bool
	// steps counts the events processed; randomState is the state of the random
	// number generator.
	steps       uint64
	randomState uint64
	effects     []Effect
	// counterEffects holds, for each counter name, the effect that adds one to
	// the counter.
	counterEffects map[string]Effect
	// provenBuffer and likelyBuffer hold the lists returned by candidates and
	// replicasForFloor, so that a read allocates no memory for them.
	provenBuffer, likelyBuffer []*entryInstance
	siteOrder                  siteOrder

	version catalog.Version
	// routes are sorted by key. transactionIdle is how long a transaction may
	// stay idle.
	routes          []catalog.Route
	transactionIdle time.Duration
	// organisations is nil if callers need no key.
	organisations *organisation.Directory
	limits        entryLimits
	// upstreamsMark identifies the newest list of upstreams received from
	// control.
	upstreamsMark wire.UpstreamsMark
	refusals      refusals
	// seeds are the control VMs listed in this VM's own settings.
	seeds []catalog.VMID
	// ready is the readiness last reported to the shell, unreadySince is when
	// it last became false, and released is set once the shell was asked to
	// release the callers.
	ready        bool
	unreadySince catalog.Instant
	released     bool
	// drained lists the upstreams at which operators forbid new work.
	drained  []catalog.InstanceID
	services map[catalog.ServiceID]*entryService
	// serviceIDs holds the keys of services in ascending order.
	serviceIDs []catalog.ServiceID
	conns      map[catalog.ConnID]*entryConn
	nextConn   catalog.ConnID
	requests   map[catalog.RequestID]*entryRequest

	report   entryReports
	schedule entrySchedule
	catchUp  entryCatchUp
	// timerAt is the instant of the pending timer, zero if there is none.
	timerAt catalog.Instant
	// wakeAt collects the earliest deadline during a step, zero if there is
	// none.
	wakeAt catalog.Instant
	// draining is set during a planned stop, which ends at drainDeadline at the
	// latest.
	draining      bool
	drainDeadline catalog.Instant
	stopped       bool
	// siteVMs are the entries of the own site, including this one, in ascending
	// order.
	siteVMs []catalog.VMID
	owners  entryOwners
	// leaseValid and connLimit are fields so that tests can disable these two
	// rules.
	leaseValid leaseCheckFunc
	connLimit  connLimitFunc
}

// leaseCheckFunc and connLimitFunc are the types of two rules that tests
// replace to prove that the invariant checks detect a violation.
type (
	leaseCheckFunc func(s *entryService, epoch catalog.Epoch, now catalog.Instant) bool
	connLimitFunc  func(i *entryInstance, now catalog.Instant) int
)

// NewEntry returns an entry with the given configuration and no information
// about its upstreams.
func NewEntry(o EntryOptions) *Entry {
	e := &Entry{
		options:        o,
		randomState:    o.Seed,
		version:        o.Version,
		services:       map[catalog.ServiceID]*entryService{},
		conns:          map[catalog.ConnID]*entryConn{},
		requests:       map[catalog.RequestID]*entryRequest{},
		counterEffects: map[string]Effect{},
		leaseValid:     leaseValid,
		connLimit:      connLimit,
	}
	e.options.BalanceSites = o.BalanceSites && o.UpstreamsFromControl
	e.options.Control = sortedVMs(o.Control)
	e.seeds = e.options.Control
	e.options.Peers = sortedVMs(o.Peers)
	e.siteVMs = sortedVMs(append([]catalog.VMID{o.VM}, o.SitePeers...))
	e.report = newEntryReports(o.Incarnation)
	e.catchUp = newEntryCatchUp(o, e.siteVMs, e.options.Peers)
	for _, c := range o.Settings {
		e.configureService(c)
	}
	return e
}

func sortedVMs(vms []catalog.VMID) []catalog.VMID {
	out := append([]catalog.VMID{}, vms...)
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// Step processes one event and returns the effects that the shell must carry
// out, in order.
func (e *Entry) Step(ev Event) []Effect {
	if v, ok := ev.Input.(CommandReceived); ok {
		return e.answerQuery(ev.Now, v)
	}
	e.effects = nil
	e.now = ev.Now
	e.steps++
	if !e.started {
		e.started = true
		e.report.answeredSentAt = ev.Now
		e.report.nextAt = ev.Now
		e.limits.admission = ratelimit.NewAdmission(e.options.Timings.ReportInterval, ev.Now)
	}
	if !e.timerAt.After(e.now) {
		e.timerAt = 0
	}
	e.handleInput(ev.Input)
	e.reconcile()
	return e.effects
}

func (e *Entry) handleInput(in Input) {
	switch v := in.(type) {
	case MessageReceived:
		e.handlePeerMessage(v)
	case AnnouncementReceived:
		e.handleAnnouncement(v.Announcement, true)
	case DrainRequested:
		e.handleDrain()
	case RequestArrived:
		e.handleRequest(v)
	case RequestCanceled:
		e.handleRequestCanceled(v)
	case RequestDone:
		e.handleRequestDone(v)
	case ForwardDone:
		e.handleForwardDone(v)
	case ForwardedTransactionEnded:
		delete(e.owners.remoteTransactions, v.Request)
	case TransactionAbandoned:
		e.handleTransactionAbandoned(v)
	case ConnOpened:
		e.handleConnOpened(v)
	case ConnLost:
		e.handleConnLost(v)
	case ConnReusable:
		e.handleConnReusable(v)
	case ProbeDone:
		e.handleProbeDone(v)
	case SeedsChanged:
		e.seeds = sortedVMs(v.Control)
	}
}

func (e *Entry) handlePeerMessage(v MessageReceived) {
	m := v.Message
	switch {
	case m.Answer != nil:
		e.handleAnswer(v.From, *m.Answer)
	case m.Revoke != nil:
		e.handleRevoke(v.From, *m.Revoke)
	case m.Announcement != nil:
		e.handleAnnouncement(*m.Announcement, false)
	case m.SettingsRequest != nil:
		e.handleSettingsRequest(v.From, *m.SettingsRequest)
	case m.Settings != nil:
		e.handlePeerSettings(v.From, *m.Settings)
	}
}

// reconcile brings the state up to date after an event or a deadline. For each
// service affected it first ends work that has expired, then starts waiting
// requests, and then opens and closes connections and sends probes. Reports and
// readiness follow.
func (e *Entry) reconcile() {
	for _, s := range e.dueServices() {
		e.wakeAt = 0
		e.reconcileService(s)
		e.scheduleServiceWake(s, e.wakeAt)
	}
	e.wakeAt = e.earliestWake()
	e.reconcileCatchUp()
	e.reconcileDrain()
	e.sendDueReport()
	e.searchOthers()
	e.updateReadiness()
	e.updateTimer()
}

// reconcileService brings one service up to date. It is skipped until the
// service's next event or deadline, so every decision in it that depends on
// time must schedule a wake.
func (e *Entry) reconcileService(s *entryService) {
	if e.options.UpstreamsFromControl {
		s.isObserved = e.isOwner(s)
	}
	e.updateSubscription(s)
	e.reconcileLease(s)
	e.dropExpiredInstances(s)
	for _, i := range s.instances {
		e.trimConns(i)
		e.closeStuckConns(i)
		i.resetShortfall()
	}
	e.reconcileReplication(s)
	e.endFailedSpill(s)
	e.dispatch(s)
	for _, i := range s.instances {
		e.probeIfDue(i)
		e.reconcileConns(i)
		if i.pausedUntil.After(e.now) {
			e.scheduleWake(i.pausedUntil)
		}
	}
	if len(s.running) > 0 || s.waitingCount() > 0 {
		e.scheduleWake(e.now.Add(e.options.Timings.ReportInterval))
	}
}

// scheduleWake requests a step at the given instant or soon after.
func (e *Entry) scheduleWake(at catalog.Instant) {
	if e.wakeAt == 0 || at.Before(e.wakeAt) {
		e.wakeAt = at
	}
}

func (e *Entry) updateTimer() {
	if e.wakeAt == 0 || e.stopped {
		return
	}
	at := e.wakeAt
	if !at.After(e.now) {
		at = e.now.Add(minTimerDelay)
	}
	if at == e.timerAt {
		return
	}
	e.timerAt = at
	e.emit(SetTimer{At: at})
}

func (e *Entry) emit(x Effect) {
	if e.effects == nil {
		e.effects = make([]Effect, 0, typicalEffects)
	}
	e.effects = append(e.effects, x)
}

// increment adds one to a counter. Effects are immutable, so one effect for
// each counter name is enough.
func (e *Entry) increment(name string) {
	x := e.counterEffects[name]
	if x == nil {
		x = Count{Name: name, Delta: 1}
		e.counterEffects[name] = x
	}
	e.emit(x)
}

func (e *Entry) emitSpan(name string, r *entryRequest, from catalog.Instant) {
	e.emit(Span{Name: name, Request: r.Request, Service: r.Service, Start: from, End: e.now})
}

// nextRandom returns the next number of the seeded sequence (splitmix64).
func (e *Entry) nextRandom() uint64 {
	e.randomState += 0x9e3779b97f4a7c15
	z := e.randomState
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}
