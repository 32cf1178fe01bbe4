package node

import (
	"slices"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// placeRead runs a read at a replica that is shown to be new enough, else at
// one that likely is and is asked first, else at the leased primary.
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
	if len(proven) > 0 && p.waitingForReplica < totalSlots(proven) && !e.willMissDeadline(r, p.waitingForReplica) {
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

// awaitFloor keeps a read of an unknown floor until the primary was asked.
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

func totalSlots(is []*entryInstance) int {
	n := 0
	for _, i := range is {
		n += max(1, int(i.concurrencyLimit))
	}
	return n
}

// candidates returns the replicas shown to satisfy a read and those that
// likely do, the best first. The next call reuses both lists.
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

// loadRank orders candidates: a failed one last, then by running requests, and at
// equal numbers the own site first.
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

// isServingReplica reports whether the upstream is known first-hand to be a replica
// of the group's living history, and takes new work.
func (e *Entry) isServingReplica(s *entryService, i *entryInstance) bool {
	return i.id != s.primary.Instance && i.positionKnown && i.role == catalog.RoleReplica &&
		i.evidence == wire.EvidenceAlive && e.isUsable(i) && e.isOnHistory(s, i)
}

// isOnHistory reports whether all that the upstream holds is part of the history
// of the current primary.
func (e *Entry) isOnHistory(s *entryService, i *entryInstance) bool {
	if i.position.Term > s.primary.Term {
		return false
	}
	for _, k := range s.primary.Forks {
		if k.Term > i.position.Term && i.position.Offset > k.At {
			return false
		}
	}
	return true
}

// isFreshEnough reports whether a replica is shown to be no older than an age. Drift
// allows for the time until the read runs.
func (e *Entry) isFreshEnough(i *entryInstance, age time.Duration) bool {
	if age == 0 {
		return true
	}
	return i.freshnessKnown && e.now.Sub(i.freshAsOf) <= age-e.options.Timings.Drift
}

// likelyCovers estimates by the replica's lag when it was last asked whether
// it has reached a position by now.
func (e *Entry) likelyCovers(s *entryService, i *entryInstance, floor catalog.Position) bool {
	if !i.freshnessKnown || i.position.Term != floor.Term {
		return false
	}
	lag := i.positionAskedAt.Sub(i.freshAsOf)
	for _, x := range s.primaryPositions {
		if !x.position.Less(floor) {
			return !e.now.Before(x.sentAt.Add(lag))
		}
	}
	return false
}

func (e *Entry) startRead(r *entryRequest, i *entryInstance, verify bool) bool {
	if !i.hasSlot(r.Class) {
		return false
	}
	c := e.pickConn(i)
	if c == nil {
		return false
	}
	r.verifyFirst = verify
	e.startRequest(r, c)
	return true
}

// startAtPrimary runs a read at the leased primary if it has a free slot, also
// while the lease is being drained.
// Browsing leaves it alone while bookings wait there.
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

// awaitReplica lets a read wait for a place at a replica that satisfies it.
func (e *Entry) awaitReplica(s *entryService, r *entryRequest, p *placement) bool {
	return e.awaitQueue(s, r, &p.waitingForReplica)
}

// awaitCoverage lets a read wait for the next probes or for the primary. Without
// the primary nothing newer can be shown, so a cut-off entry refuses at once.
func (e *Entry) awaitCoverage(s *entryService, r *entryRequest, p *placement) bool {
	r.awaitsReplica = true
	if e.readyPrimary(s) == nil {
		return e.awaitPrimary(s, r, p)
	}
	return e.awaitSlot(s, r, p)
}

func (e *Entry) finishRead(r *entryRequest, c *entryConn, v RequestDone) {
	canRepeat := !v.CallerSaw && !v.CallerGone
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
		if v.CallerGone || !e.retry(r, maxReadTries) {
			e.refuse(r, "the upstream took no statements", r.service.serviceTime)
		}
	}
}

// mayShowUnreplicated reports whether a read at the primary may show a write that
// no majority holds yet, so that a failover could take it back. Its answer is
// held back until a majority has caught up with what the primary had.
func (e *Entry) mayShowUnreplicated(r *entryRequest, v RequestDone) bool {
	return r.Kind == KindRead && r.atPrimary && r.service.settings.Ack == catalog.AckReplicated && !v.Position.Zero()
}

// finishHeldRead ends a read whose answer is held back. It waits for a majority no
// longer than a lease: with most of the group gone, reading goes on.
func (e *Entry) finishHeldRead(s *entryService, r *entryRequest) bool {
	if !e.leaseValid(s, r.epoch, e.now) {
		if !e.retry(r, maxReadTries) {
			e.answerUnknown(r, "the primary's lease ended before the answer was given")
		}
		return true
	}
	until := min(r.Deadline, r.doneAt.Add(e.options.Timings.Lease))
	if e.now.Before(until) && e.countHolders(s, r) < s.settings.Instances/2 {
		e.scheduleWake(until)
		return false
	}
	e.emitSpan("replication-wait", r, r.doneAt)
	e.answerDone(r)
	return true
}

// retryStaleRead runs a read again whose answer came from a primary that may have
// been replaced.
func (e *Entry) retryStaleRead(r *entryRequest, c *entryConn) {
	if c != nil && c.inTransaction {
		e.closeConn(c)
	}
	if !e.retry(r, maxReadTries) {
		e.answerUnknown(r, "the primary's lease ended before the answer arrived")
	}
}
