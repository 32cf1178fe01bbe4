package node

import (
	"slices"
	"sort"
	"time"

	"github.com/kingcupknot/kingcupknot/balance"
	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// Durations and limits of an entry's decisions. Up to maxSkippedProbes
// consecutive probes are skipped if answers to requests report the upstream's
// position.
const (
	minTimerDelay        = time.Millisecond
	urgentReportInterval = 5 * time.Millisecond
	// urgentReportRate bounds urgent reports, in bytes per second, and
	// urgentReportBurst is the time of that rate that they may use at once. The
	// links of entries carry 175 kB/s or more. Answers to reports renew the leases,
	// so they must not wait behind urgent reports.
	urgentReportRate      = 16 << 10
	urgentReportBurst     = 250 * time.Millisecond
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
	slowLatencyFactor     = 4
	slowLatencyMargin     = 5 * time.Millisecond
	limitDecreaseFactor   = 0.9
	initialServiceTime    = 2 * time.Millisecond
	// typicalEffects is the usual maximum number of effects of a step that
	// handles a request.
	typicalEffects = 8
)

// entryService is the state of one service at the entry.
type entryService struct {
	id catalog.ServiceID
	// entryVM is the VM of this entry.
	entryVM  catalog.VMID
	settings catalog.Service
	// accepted is set while the service is part of the accepted configuration.
	accepted bool
	// primary is the primary of the highest epoch known. Invariant: its epoch
	// never decreases.
	primary catalog.Primary
	// leaseEpoch and leaseUntil are the epoch and the end of the newest lease.
	leaseEpoch catalog.Epoch
	leaseUntil catalog.Instant
	// fencedEpoch is the highest epoch that was fenced. Invariant: it never
	// decreases, and no write of that epoch or a lower one is acknowledged
	// afterwards.
	fencedEpoch catalog.Epoch
	// drainingEpoch is the epoch in which no new work starts while running work
	// completes, zero if there is none. drainRequesters are the control VMs to
	// notify when that epoch is fenced.
	drainingEpoch   catalog.Epoch
	drainRequesters []catalog.VMID
	// noLeaseSince is when the lease was lost, when this state was created, or
	// when the entry subscribed to the service without a lease, whichever is
	// latest. It is zero while a lease is valid.
	noLeaseSince catalog.Instant
	// failoverGap is the shortest time without a lease across a change of
	// primary, zero before the first such change.
	failoverGap time.Duration
	// lastLeaseEpoch is the epoch of the last valid lease since the entry
	// subscribed to the service, zero if there was none.
	lastLeaseEpoch catalog.Epoch

	// instances are sorted by id.
	instances []*entryInstance
	waiting   [ClassCount][]*entryRequest
	// costs holds, by database, the time that a request occupies a slot. It is nil
	// without organisations.
	costs map[string]time.Duration
	// clock orders the waiting requests where there are organisations. It is nil
	// until the first such request waits.
	clock *organisationClock
	// useDecayedAt is when the use counted by clock was last reduced.
	useDecayedAt catalog.Instant
	// replicating are the writes, and the reads at the primary, whose answers
	// wait for a majority.
	replicating []*entryRequest
	// running are the requests at upstreams, in the order in which they
	// started.
	running []*entryRequest
	// primaryPositions are positions that leased primaries reported, the oldest
	// first.
	primaryPositions []positionSample
	// usedAt is when this entry last got a request of the service to run.
	usedAt  catalog.Instant
	wasUsed bool
	// retryTokens is the retry budget: the number of retries allowed now.
	retryTokens float64
	// baselines holds the latency of reads at an upstream that is not busy.
	baselines readBaselines
	// serviceTime is the moving average of the time that a request takes at an
	// upstream.
	serviceTime time.Duration
	// overloadedSince is the time since which requests that could meet their
	// objective have been waiting, zero if none wait.
	overloadedSince catalog.Instant
	// waitingTags are the lowest tags of the organisations with waiting requests, as
	// of the step waitingTagsStep.
	waitingTags     map[catalog.OrganisationID]float64
	waitingTagsStep uint64
	// hasTimely is set if requests waited in the last step that could meet their
	// objective.
	hasTimely bool
	// primaryAbsentAt is when requests waited last while the primary took no work.
	primaryAbsentAt catalog.Instant

	balance entryBalance

	// owners are the entries of the site ranked for the service. The first ones
	// own it.
	owners []catalog.VMID
	// rankedMark is the mark of the entries for which owners was ranked by hashing
	// alone, zero if it was not.
	rankedMark uint64
	// parts are the owners' parts of the work of organisations.
	parts ownerParts
	// isObserved is set if this entry is one of the service's observers.
	isObserved bool
	// isSubscribed is set while the entry observes the service or has callers
	// of it, isReported while reports cover the service.
	isSubscribed bool
	isReported   bool
	// isDirty is set while the service is selected to be reconciled in this
	// step.
	isDirty bool
	// wakeAt is when the service must be reconciled next, and heapIndex its
	// index in the heap plus one; both are zero if it has no deadline.
	wakeAt    catalog.Instant
	heapIndex int
}

// positionSample records that the primary had reached position when it answered
// a query sent at sentAt.
type positionSample struct {
	sentAt   catalog.Instant
	position catalog.Position
}

// entryInstance is the state of one upstream at the entry.
type entryInstance struct {
	id           catalog.InstanceID
	service      *entryService
	site         catalog.SiteID
	inOwnSite    bool
	announcement catalog.Announcement
	announcedAt  catalog.Instant
	// directAnnouncement is the last announcement that the upstream itself sent
	// to this entry. announcementPending is set until control has answered a
	// report that contained this announcement, and announcementSequence is the
	// sequence of the first such report.
	directAnnouncement   catalog.Announcement
	announcementPending  bool
	announcementSequence uint64
	// announcementQueuedAt is when an announcement was last queued for the
	// reports.
	announcementQueuedAt catalog.Instant
	relayedAt            catalog.Instant
	wasRelayed           bool
	// isLeaving is set once the upstream has announced that it is leaving.
	// Invariant: it stays set for that incarnation.
	isLeaving bool

	aliveAt  catalog.Instant
	wasAlive bool
	// preference orders upstreams of equal cost, differently at each entry.
	preference uint64
	// latency is the moving average of the latency of requests to the upstream,
	// as of latencyAt.
	latency   time.Duration
	latencyAt catalog.Instant
	// wait is the moving average of the time for which requests waited at this
	// entry before they were sent to the upstream, as of waitAt.
	wait   time.Duration
	waitAt catalog.Instant
	// readLatency is the latency of reads, used with BalanceSites.
	readLatency balance.Latency
	// busySince is when this entry last started a request at the upstream while
	// no other request of this entry ran there.
	busySince catalog.Instant
	// failingSince is when the first of the present consecutive failures was
	// recorded.
	failingSince catalog.Instant
	evidence     wire.Evidence
	evidenceAt   catalog.Instant
	// confirmRefusal is set if one more attempt to connect has to confirm that
	// the primary refuses connections.
	confirmRefusal bool
	role           catalog.Role
	position       catalog.Position
	// received is how much of the log the upstream has received; a replica may
	// not have applied all of it yet.
	received catalog.Position
	// positionQueriedAt is when the query was sent that returned role and
	// position.
	positionQueriedAt catalog.Instant
	// behindCount counts the reads in a row that found a replica behind the
	// position that they require.
	behindCount   int
	positionKnown bool
	// freshAsOf is the instant of the newest sample in primaryPositions that
	// position covers.
	freshAsOf      catalog.Instant
	freshnessKnown bool

	// grants are the grants that have not expired, the newest last. Invariant:
	// connections decreases and until increases along the list.
	grants []instanceGrant
	// conns are sorted by id and include opening and closing ones.
	conns     []*entryConn
	backoff   time.Duration
	openAfter catalog.Instant
	// connShortfall is the number of requests that found no connection in this
	// step.
	connShortfall int
	place         connsPlace
	// demand is the highest number of connections that requests needed at the
	// same time in the current demand window, which ends at demandWindowEnd,
	// and in the previous one.
	demand          [2]int
	demandWindowEnd catalog.Instant
	// neededAtReport is the number of connections that requests needed when the
	// last report was built.
	neededAtReport int
	// reportedEvidence, reportedRole, reportedAt and reportedIn describe the
	// last observation of the upstream that was reported: its content, its time
	// and the sequence of the report.
	reportedEvidence wire.Evidence
	reportedRole     catalog.Role
	// reportedAliveAt is aliveAt as of that report.
	reportedAliveAt catalog.Instant
	reportedAt      catalog.Instant
	reportedIn      uint64

	nextProbe catalog.Instant
	// probeConn is the connection of the probe in flight, zero if there is
	// none.
	probeConn catalog.ConnID
	probedAt  catalog.Instant
	probeStep uint64
	running   int
	// adaptiveLimit is how many statements this entry may run at the upstream,
	// without UpstreamsFromControl. bestLatency is the lowest recent latency.
	adaptiveLimit float64
	bestLatency   time.Duration
	// limitCutAt is when adaptiveLimit was last reduced.
	limitCutAt catalog.Instant
	// pausedUntil is the time before which no new work starts at the upstream,
	// because the upstream answered that it is not ready.
	pausedUntil catalog.Instant
}

// instanceGrant is control's permission to hold connections to an upstream,
// which expires at until.
type instanceGrant struct {
	connections int
	until       catalog.Instant
}

// service returns the state of a service, which it creates if necessary and
// marks dirty, so that the caller may change it.
func (e *Entry) service(id catalog.ServiceID) *entryService {
	if s := e.services[id]; s != nil {
		e.markDirty(s)
		return s
	}
	s := &entryService{id: id, entryVM: e.options.VM, retryTokens: maxRetryTokens, serviceTime: initialServiceTime, noLeaseSince: e.now}
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
	i := &entryInstance{id: id, service: s, preference: rendezvousWeight(s.entryVM, catalog.ServiceID(id))}
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

// removeRequest removes a request from a list in place.
func removeRequest(rs []*entryRequest, r *entryRequest) []*entryRequest {
	if n := slices.Index(rs, r); n >= 0 {
		return slices.Delete(rs, n, n+1)
	}
	return rs
}
