package node

import (
	"slices"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// placeRead starts a read at a replica that is proven to be fresh enough, else
// at a likely one that is asked for its position first, else at the leased
// primary.
func (e *Entry) placeRead(s *entryService, r *entryRequest, p *placement) bool {
	if !r.floorKnown {
		return e.awaitFloor(s, r, p)
	}
	if e.options.UpstreamsFromControl {
		return e.placeFloorRead(s, r, p)
	}
	r.awaitsReplica = false
	proven, likely := e.candidates(s, r)
	for _, i := range proven {
		if e.startRead(r, i, false) {
			return true
		}
	}
	if len(proven) == 0 {
		for _, i := range likely {
			if e.startRead(r, i, true) {
				return true
			}
		}
	}
	if len(proven) > 0 && p.waitingForReplica < e.totalLimit(proven) && !e.willMissDeadline(r, p.waitingForReplica) {
		p.waitingForReplica++
		return false
	}
	if e.startAtPrimary(s, r, p) {
		return true
	}
	if len(proven) > 0 {
		return e.awaitReplica(s, r, p)
	}
	return e.awaitCoverage(s, r, p)
}

// awaitFloor lets a read with an unknown floor wait until the primary has
// reported its position.
func (e *Entry) awaitFloor(s *entryService, r *entryRequest, p *placement) bool {
	i := s.primaryInstance()
	if i == nil || !e.acceptsWork(i) || !e.leaseValid(s, s.primary.Epoch, e.now) {
		return e.awaitPrimary(s, r, p)
	}
	if e.willMissDeadline(r, 0) {
		e.refuse(r, "the primary's position did not come in time", s.serviceTime)
		return true
	}
	return false
}

// totalLimit returns how many statements this entry may run at the upstreams.
func (e *Entry) totalLimit(is []*entryInstance) int {
	n := 0
	for _, i := range is {
		n += e.concurrencyLimit(i)
	}
	return n
}

// candidates returns the replicas that are proven to satisfy a read and those
// that are likely to, the best first. The next call reuses both lists.
func (e *Entry) candidates(s *entryService, r *entryRequest) (proven, likely []*entryInstance) {
	proven, likely = e.provenBuffer[:0], e.likelyBuffer[:0]
	for _, i := range s.instances {
		if r.primaryOnly || !e.isServingReplica(s, i) || !e.isFreshEnough(i, r.MaxAge) {
			continue
		}
		if s.primary.Forks.Covers(i.position, r.Floor) {
			proven = append(proven, i)
		} else if r.verifyCount < maxVerifyTries && i != r.lastFailed && e.likelyCovers(s, i, r.Floor) {
			likely = append(likely, i)
		}
	}
	e.provenBuffer, e.likelyBuffer = proven, likely
	sortByLoad(proven, r)
	sortByLoad(likely, r)
	return proven, likely
}

func sortByLoad(is []*entryInstance, r *entryRequest) {
	slices.SortStableFunc(is, func(a, b *entryInstance) int { return a.loadRank(r) - b.loadRank(r) })
}

// loadRank orders candidates: one that has just failed the request is last; the
// others are sorted by running requests and, for equal numbers, with the own
// site first.
func (i *entryInstance) loadRank(r *entryRequest) int {
	n := 2 * (i.running + i.connShortfall)
	if !i.inOwnSite {
		n++
	}
	if i == r.lastFailed {
		n += 1 << 20
	}
	return n
}

// isServingReplica reports whether the upstream accepts new work and has itself
// reported that it is a replica on the current primary's history.
func (e *Entry) isServingReplica(s *entryService, i *entryInstance) bool {
	return i.id != s.primary.Instance && i.positionKnown && i.role == catalog.RoleReplica &&
		i.evidence == wire.EvidenceAlive && e.isUsable(i) && e.isOnHistory(s, i)
}

// isOnHistory reports whether the upstream's position is part of the current
// primary's history.
func (e *Entry) isOnHistory(s *entryService, i *entryInstance) bool {
	return i.position.Term <= s.primary.Term && s.primary.Forks.Includes(i.position)
}

// isFreshEnough reports whether a replica's data is known to be no older than
// age, where zero allows any age. MaxDrift is subtracted from the age to allow
// for the time until the read runs.
func (e *Entry) isFreshEnough(i *entryInstance, age time.Duration) bool {
	if age == 0 {
		return true
	}
	return i.freshnessKnown && e.now.Sub(i.freshAsOf) <= age-e.options.Timings.MaxDrift
}

// likelyCovers estimates whether a replica has reached a position by now. It
// assumes that the replica's lag has not changed since it last reported its
// position.
func (e *Entry) likelyCovers(s *entryService, i *entryInstance, floor catalog.Position) bool {
	if !i.freshnessKnown || i.position.Term != floor.Term {
		return false
	}
	lag := i.positionQueriedAt.Sub(i.freshAsOf)
	for _, x := range s.primaryPositions {
		if !x.position.Less(floor) {
			return !e.now.Before(x.sentAt.Add(lag))
		}
	}
	return false
}

func (e *Entry) startRead(r *entryRequest, i *entryInstance, verify bool) bool {
	if !e.hasSlot(i, r) {
		return false
	}
	c := e.pickConn(i, r)
	if c == nil {
		return false
	}
	r.verifyFirst = verify
	e.startRequest(r, c)
	e.dropLack(r)
	return true
}

// startAtPrimary starts a read at the leased primary if a slot is free, also
// while the lease is being drained. Browsing does not use the primary while
// bookings wait there.
func (e *Entry) startAtPrimary(s *entryService, r *entryRequest, p *placement) bool {
	i := e.readyPrimary(s)
	if i == nil && r.Kind == KindRead && e.leaseValid(s, s.primary.Epoch, e.now) {
		i = e.availablePrimary(s)
	}
	if i == nil || i == r.lastFailed && len(s.instances) > 1 && r.tries > 1 {
		return false
	}
	if r.Class == ClassBrowse && p.hasBooking {
		return false
	}
	return e.startRead(r, i, false)
}

// awaitReplica lets a read wait for a slot at a replica that satisfies it.
func (e *Entry) awaitReplica(s *entryService, r *entryRequest, p *placement) bool {
	return e.awaitQueue(s, r, &p.waitingForReplica)
}

// awaitCoverage lets a read wait until a replica is proven to satisfy it or the
// primary has a slot. If the primary is not ready, no newer position can be
// proven, so awaitPrimary decides whether the read waits or is refused.
func (e *Entry) awaitCoverage(s *entryService, r *entryRequest, p *placement) bool {
	r.awaitsReplica = true
	if e.readyPrimary(s) == nil {
		return e.awaitPrimary(s, r, p)
	}
	return e.awaitSlot(s, r, p)
}

func (e *Entry) finishRead(r *entryRequest, c *entryConn, v RequestDone) {
	canRepeat := !v.AnswerStarted && !v.CallerDisconnected
	switch v.Outcome {
	case OutcomeCompleted:
		if r.atPrimary && canRepeat && !e.leaseValid(r.service, r.epoch, e.now) {
			e.retryStaleRead(r, c)
			return
		}
		if canRepeat && e.mayShowUnreplicated(r, v) {
			r.doneAt, r.reachedPosition = e.now, v.Position
			r.service.replicating = append(r.service.replicating, r)
			return
		}
		e.answerDone(r)
	case OutcomeBehind:
		r.verifyCount++
		e.requeue(r)
	case OutcomeLost, OutcomeFailed:
		if !canRepeat || !e.retry(r, maxReadTries) {
			e.answerUnknown(r, "the connection broke before the answer arrived")
		}
	default:
		r.primaryOnly = r.primaryOnly || v.Outcome == OutcomeReadOnly
		if v.CallerDisconnected || !e.retry(r, maxReadTries) {
			e.refuse(r, "the upstream took no statements", r.service.serviceTime)
		}
	}
}

// mayShowUnreplicated reports whether the answer of a read at the primary may
// contain a write that has not reached a majority yet and that a failover could
// therefore undo. Such an answer is held back until a majority has reached the
// primary's position.
func (e *Entry) mayShowUnreplicated(r *entryRequest, v RequestDone) bool {
	return r.Kind == KindRead && r.atPrimary && r.service.settings.Ack == catalog.AckReplicated && !v.Position.IsZero()
}

// finishHeldRead answers or retries a read whose answer is held back, and
// reports whether the read has stopped waiting for a majority. The wait is
// limited to the length of a lease, so that reads continue if most of the group
// is lost.
func (e *Entry) finishHeldRead(s *entryService, r *entryRequest) bool {
	if !e.leaseValid(s, r.epoch, e.now) {
		if !e.retry(r, maxReadTries) {
			e.answerUnknown(r, "the primary's lease ended before the answer was given")
		}
		return true
	}
	until := min(r.Deadline, r.doneAt.Add(e.options.Timings.LeaseLength))
	if e.now.Before(until) && e.countHolders(s, r) < s.settings.Instances/2 {
		e.scheduleWake(until)
		return false
	}
	e.emitSpan("replication-wait", r, r.doneAt)
	e.answerDone(r)
	return true
}

// retryStaleRead runs a read again if its answer came from a primary that may
// have been replaced.
func (e *Entry) retryStaleRead(r *entryRequest, c *entryConn) {
	if c != nil && c.inTransaction {
		e.closeConn(c)
	}
	if !e.retry(r, maxReadTries) {
		e.answerUnknown(r, "the primary's lease ended before the answer arrived")
	}
}
