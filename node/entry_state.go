package node

import (
	"slices"
	"sort"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// Lengths of time and bounds of the entry's decisions. Positions that ride on
// answers spare up to maxSkippedProbes probes in a row.
const (
	minTimerDelay         = time.Millisecond
	urgentReportInterval  = 5 * time.Millisecond
	relayInterval         = time.Second
	healthyRepeatInterval = time.Second
	maxSkippedProbes      = 5
	connIdleTimeout       = 10 * time.Second
	serviceIdleTimeout    = time.Minute
	demandWindow          = 500 * time.Millisecond
	majorityProbeInterval = 3 * time.Millisecond
	catchUpProbeInterval  = 10 * time.Millisecond
	initialBackoff        = 20 * time.Millisecond
	maxBackoff            = 2 * time.Second
	maxPrimaryOutage      = 8 * time.Second
	minRetryAfter         = 50 * time.Millisecond
	maxRetryAfter         = 5 * time.Second
	maxReadTries          = 3
	maxVerifyTries        = 2
	maxWriteTries         = 5
	maxPrimaryPositions   = 128
	maxRetryTokens        = 10.0
	retryTokensPerRequest = 0.1
	slowFactor            = 4
	slowSlack             = 5 * time.Millisecond
	limitDecrease         = 0.9
	initialServiceTime    = 2 * time.Millisecond
	// typicalEffects is how many effects a step of a request has at most, as a
	// rule.
	typicalEffects = 8
)

// entryService is what the entry knows of one service.
type entryService struct {
	id catalog.ServiceID
	// entry is the VM of this entry.
	entry    catalog.VMID
	settings catalog.Service
	// accepted is set while the service is in the accepted configuration.
	accepted bool
	// primary is the choice of the highest epoch known. Invariant: its epoch
	// never goes back.
	primary catalog.Primary
	// leaseEpoch and leaseUntil are the newest lease.
	leaseEpoch catalog.Epoch
	leaseUntil catalog.Instant
	// fencedEpoch is the highest epoch that was fenced. Invariant: no write of it
	// or of a lower one is acknowledged any more.
	fencedEpoch catalog.Epoch
	// drainingEpoch is the epoch whose work is let end, zero if none; drainFor
	// waits for the fence.
	drainingEpoch   catalog.Epoch
	drainRequesters []catalog.VMID
	// noLeaseSince is when the lease was last lost, zero while it holds.
	noLeaseSince catalog.Instant
	// failoverGap is the shortest time without a lease at a change of primary.
	failoverGap time.Duration
	// lastLeaseEpoch is the epoch of the last lease that was used.
	lastLeaseEpoch catalog.Epoch

	// instances ascend by id.
	instances []*entryInstance
	waiting   [Classes][]*entryRequest
	// replicating are writes, and reads at the primary, whose answers wait for
	// a majority.
	replicating []*entryRequest
	// running are the requests at upstreams, in the order of their start.
	running []*entryRequest
	// primaryPositions holds positions of leased primaries, oldest first.
	primaryPositions []positionSample
	// usedAt is when a caller last asked for the service.
	usedAt  catalog.Instant
	wasUsed bool
	// tokens is the retry budget.
	tokens float64
	// baselines is what reads take at an upstream that is not busy.
	baselines readBaselines
	// serviceTime is the smoothed time that a request takes at an upstream.
	serviceTime time.Duration
	// overloadedSince is since when requests wait that could keep their objective,
	// zero if none does.
	overloadedSince catalog.Instant

	// owners are the entries of the site by their rank for the service, of which
	// the first ones hold its connections.
	owners []catalog.VMID
	// isObserved is set if this entry is one of the service's observers.
	isObserved bool
	// isSubscribed is set while the entry observes the service or has callers
	// of it, isListed while reports speak of it.
	isSubscribed bool
	isReported   bool
	// isDirty is set while the service waits for being settled in this step.
	isDirty bool
	// wakeAt is when it must be settled next, and wakeSlot its place in the
	// heap, counted from one; zero if it has no deadline.
	wakeAt    catalog.Instant
	heapIndex int
}

// positionSample says that the primary had reached Position when it was asked.
type positionSample struct {
	sentAt   catalog.Instant
	position catalog.Position
}

// entryInstance is what the entry knows of one upstream.
type entryInstance struct {
	id           catalog.InstanceID
	service      *entryService
	site         catalog.SiteID
	inOwnSite    bool
	announcement catalog.Announcement
	announcedAt  catalog.Instant
	// directAnnouncement is the last announcement heard first-hand; pending is set until
	// a report with it was answered, includedIn the first report with it.
	directAnnouncement   catalog.Announcement
	announcementPending  bool
	announcementSequence uint64
	// announcementQueuedAt is when an announcement was last given to the reports.
	announcementQueuedAt catalog.Instant
	relayedAt            catalog.Instant
	wasRelayed           bool
	// isLeaving is set once the upstream has said that it is leaving. Invariant:
	// it stays set for that life.
	isLeaving bool

	aliveAt  catalog.Instant
	wasAlive bool
	// preference orders upstreams that are alike, each entry in its own way.
	preference uint64
	// latency is the smoothed time that requests latency there, of tookAt.
	latency   time.Duration
	latencyAt catalog.Instant
	// busySince is when work began there after it had none.
	busySince catalog.Instant
	// failingSince is when the upstream was first refused or silent, if it is.
	failingSince   catalog.Instant
	evidence       wire.Evidence
	evidenceAt     catalog.Instant
	confirmRefusal bool
	role           catalog.Role
	position       catalog.Position
	// received is how far it holds the log, which it may not show yet.
	received catalog.Position
	// positionAskedAt is when the question that gave role and position was sent.
	positionAskedAt catalog.Instant
	positionKnown   bool
	// freshAsOf is the newest instant of the ring that the position covers.
	freshAsOf      catalog.Instant
	freshnessKnown bool

	// grants are those that have not run out, the newest last. Invariant:
	// connections descend and until ascends.
	grants []instanceGrant
	// conns ascend by id and hold opening and closing ones too.
	conns     []*entryConn
	backoff   time.Duration
	openAfter catalog.Instant
	// connShortfall counts requests that found no connection in this step.
	connShortfall   int
	demand          [2]int
	demandWindowEnd catalog.Instant
	reportedWanted  int
	// reportedEvidence, toldRole, toldAt and toldIn are of the last report that had an
	// observation of the upstream.
	reportedEvidence wire.Evidence
	reportedRole     catalog.Role
	reportedAt       catalog.Instant
	reportedIn       uint64

	nextProbe catalog.Instant
	// probeConn carries the probe in flight, zero if none is.
	probeConn        catalog.ConnID
	probedAt         catalog.Instant
	probeStep        uint64
	running          int
	concurrencyLimit float64
	bestLatency      time.Duration
	limitCutAt       catalog.Instant
	// pausedUntil keeps new work away after it said it takes none.
	pausedUntil catalog.Instant
}

// instanceGrant allows connections to an upstream until it runs out.
type instanceGrant struct {
	connections int
	until       catalog.Instant
}

type connState uint8

const (
	connOpening connState = iota
	connIdle
	connBusy
	connHeld
	connProbing
	// connAwaitingLateAnswer waits for an answer that nobody wants any more.
	connAwaitingLateAnswer
	connClosing
)

// entryConn is one upstream connection. Invariant: at most one request or
// probe uses it at a time.
type entryConn struct {
	id       catalog.ConnID
	instance *entryInstance
	state    connState
	request  *entryRequest
	// inTransaction is set while a caller's transaction holds it, writes if
	// the transaction may write, epoch is that of its start.
	inTransaction bool
	mayWrite      bool
	atPrimary     bool
	epoch         catalog.Epoch
	// closeWhenFree is set if it must be closed as soon as it is free.
	closeWhenFree bool
	idleSince     catalog.Instant
}

// entryRequest is a request that was not answered yet.
type entryRequest struct {
	RequestArrived
	service     *entryService
	arrivedAt   catalog.Instant
	arrivalStep uint64
	queuedAt    catalog.Instant
	startedAt   catalog.Instant
	instance    *entryInstance
	connID      catalog.ConnID
	epoch       catalog.Epoch
	atPrimary   bool
	verifyFirst bool
	// floorKnown is set once Floor is what the read must cover.
	floorKnown  bool
	tries       int
	verifyCount int
	// mayHaveRun is set once the request may have run somewhere.
	mayHaveRun bool
	// awaitsReplica is set while the read waits for a replica to be shown new enough.
	awaitsReplica bool
	// mayWrite is set if the request may end a transaction that mayWrite.
	mayWrite bool
	// requiredPosition is the position that a replica is asked to have reached.
	requiredPosition catalog.Position
	// yieldDecided is set once it was decided whether the read yields, that is
	// leaves the primary to other work.
	yieldDecided, yields bool
	// primaryOnly is set for a read that a replica refused as a write.
	primaryOnly bool
	// forwardedTo is the entry that runs it, empty if none does; forwards
	// counts the entries asked. isLocal is set once this entry runs it itself.
	forwardedTo  catalog.VMID
	forwardCount int
	runsLocally  bool
	// lastFailed is the instance that failed it last.
	lastFailed *entryInstance
	// reachedPosition is the position of a write that waits for replicas.
	reachedPosition catalog.Position
	doneAt          catalog.Instant
}

func (r *entryRequest) isRead() bool {
	return r.Kind == KindRead || r.Kind == KindBeginRead
}

// service returns what is known of a service, for a change of it.
func (e *Entry) service(id catalog.ServiceID) *entryService {
	if s := e.services[id]; s != nil {
		e.markDirty(s)
		return s
	}
	s := &entryService{id: id, entry: e.options.VM, tokens: maxRetryTokens, serviceTime: initialServiceTime, noLeaseSince: e.now}
	s.isObserved = e.isObserverOf(id)
	e.services[id] = s
	e.markDirty(s)
	n := sort.Search(len(e.serviceIDs), func(i int) bool { return e.serviceIDs[i] >= id })
	e.serviceIDs = append(e.serviceIDs, "")
	copy(e.serviceIDs[n+1:], e.serviceIDs[n:])
	e.serviceIDs[n] = id
	return s
}

func (s *entryService) instance(id catalog.InstanceID) *entryInstance {
	for _, i := range s.instances {
		if i.id == id {
			return i
		}
	}
	return nil
}

func (s *entryService) addInstance(id catalog.InstanceID) *entryInstance {
	i := &entryInstance{id: id, service: s, preference: rendezvousWeight(s.entry, catalog.ServiceID(id))}
	s.instances = append(s.instances, i)
	sort.Slice(s.instances, func(a, b int) bool { return s.instances[a].id < s.instances[b].id })
	return i
}

func (s *entryService) primaryInstance() *entryInstance {
	if s.primary.Instance == "" {
		return nil
	}
	return s.instance(s.primary.Instance)
}

func (s *entryService) waitingCount() int {
	n := 0
	for _, q := range s.waiting {
		n += len(q)
	}
	return n
}

// removeRequest takes a request off a list, in place.
func removeRequest(rs []*entryRequest, r *entryRequest) []*entryRequest {
	if n := slices.Index(rs, r); n >= 0 {
		return slices.Delete(rs, n, n+1)
	}
	return rs
}
