package node

import (
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// defaultQueueLimit is the maximum number of requests that wait per service if
// QueueLimit is zero.
const defaultQueueLimit = 256

// placement collects what one pass over a service's queues has found so far.
type placement struct {
	// waitingForPrimary counts requests that wait for the primary, hasBooking
	// is set if one of them is a booking, and waitingForReplica counts reads
	// that wait for a replica.
	waitingForPrimary int
	hasBooking        bool
	waitingForReplica int
}

// placementStage says which requests are placed together.
type placementStage int

const (
	stageWithinShare placementStage = iota
	stageAboveShare
	stageLate
)

// dispatch starts waiting requests, and refuses those that can't meet their
// deadline or exceed the queue limit. Requests that can still meet their
// objective go first, the most urgent class first. Of these, the requests of
// organisations above their share come behind the others. After an outage all callers
// return at once: if they were served in the order of arrival, all of them would
// be late, and so would those that arrive later.
func (e *Entry) dispatch(s *entryService) {
	var p placement
	e.markAboveShare(s)
	for class := range s.waiting {
		e.placeClass(s, class, stageWithinShare, &p)
	}
	if s.clock != nil {
		for class := range s.waiting {
			e.placeClass(s, class, stageAboveShare, &p)
		}
	}
	e.updateOverload(s)
	for class := range s.waiting {
		e.placeClass(s, class, stageLate, &p)
	}
	e.shedExcess(s)
	e.advanceVirtualTime(s)
}

// placeClass places the waiting requests of a class that belong to a stage.
func (e *Entry) placeClass(s *entryService, class int, stage placementStage, p *placement) {
	kept := s.waiting[class][:0]
	for _, r := range s.waiting[class] {
		switch {
		case e.stageOf(r) != stage:
			kept = append(kept, r)
		case stage == stageLate && e.isOverloaded(s):
			e.refuse(r, overloadReason, s.retryDelay(r, overloadDelay))
			r.leaveQueue()
		case !e.placeRequest(s, r, p):
			kept = append(kept, r)
		default:
			r.leaveQueue()
		}
	}
	s.waiting[class] = kept
}

func (e *Entry) stageOf(r *entryRequest) placementStage {
	switch {
	case e.missesObjective(r):
		return stageLate
	case r.isAboveShare:
		return stageAboveShare
	default:
		return stageWithinShare
	}
}

// missesObjective reports whether the request would miss its objective. Half of
// the objective is reserved for what follows the queue: the transfer of the
// answer to the caller, and the other statements of the operation. Without this
// reserve, requests in the order of arrival would all be served just too late.
func (e *Entry) missesObjective(r *entryRequest) bool {
	run := min(r.service.serviceTime, r.Objective/4)
	return r.Objective > 0 && e.now.Sub(r.arrivedAt)+r.Waited+run > r.Objective/2
}

// overloadDelay is how long requests that could meet their objective must have
// been waiting before requests that missed theirs are refused at once. The
// backlog of an outage is served in less time.
const overloadDelay = time.Second

const overloadReason = "there is more work than can keep its objective"

// organisationOverloadDelay replaces overloadDelay where there are organisations,
// unless the primary took no work lately: the backlog of a change of primary is
// served. It is shorter because late requests also take places for connections. In a
// play of 16 owners at 80% of a primary, 87% of the requests were in time with it and
// 83% with 500 ms.
const organisationOverloadDelay = 300 * time.Millisecond

// updateOverload sets overloadedSince, the time since which requests that could
// meet their objective have been waiting. Where there are organisations, requests
// that can't meet it count as well while the primary takes work: each of many owners
// has few requests, so that it would often have only late ones waiting, run these,
// and thereby make the next ones late.
func (e *Entry) updateOverload(s *entryService) {
	hasWaiting := false
	countsLate := s.clock != nil && e.readyPrimary(s) != nil
	if !countsLate {
		s.primaryAbsentAt = e.now
	}
	s.hasTimely = false
	for _, q := range s.waiting {
		for _, r := range q {
			isTimely := r.Objective > 0 && !e.missesObjective(r)
			s.hasTimely = s.hasTimely || isTimely
			hasWaiting = hasWaiting || isTimely || r.Objective > 0 && countsLate
		}
	}
	switch {
	case !hasWaiting:
		s.overloadedSince = 0
	case s.overloadedSince == 0:
		s.overloadedSince = e.now
	}
}

func (e *Entry) isOverloaded(s *entryService) bool {
	delay := overloadDelay
	if s.clock != nil && e.now.Sub(s.primaryAbsentAt) > overloadDelay {
		delay = organisationOverloadDelay
	}
	return s.overloadedSince != 0 && e.now.Sub(s.overloadedSince) > delay
}

// placeRequest starts, forwards or refuses a request, and reports whether the
// request has left the queue.
func (e *Entry) placeRequest(s *entryService, r *entryRequest, p *placement) bool {
	if !s.accepted {
		e.refuse(r, "the service is not in the accepted configuration", time.Second)
		return true
	}
	if !e.now.Before(r.Deadline) {
		e.refuse(r, "no upstream was free before the deadline", s.retryDelay(r, s.serviceTime))
		return true
	}
	if e.mayForward(r) {
		if e.isAwaitingOwners() {
			return false
		}
		if e.forward(s, r) {
			return true
		}
		if e.draining {
			e.refuse(r, "this entry is stopping", minRetryAfter)
			return true
		}
		e.markInUse(r)
	}
	if r.isRead() {
		return e.placeRead(s, r, p)
	}
	return e.placeWrite(s, r, p)
}

// shedExcess refuses requests while more of them wait than the queue limit allows.
// It refuses the last one of the lowest class or, where there are organisations,
// the one of the organisation furthest above its share.
func (e *Entry) shedExcess(s *entryService) {
	limit := e.options.QueueLimit
	if limit == 0 {
		limit = defaultQueueLimit
	}
	for over := s.waitingCount() - limit; over > 0; over-- {
		class := s.classToShed()
		q := s.waiting[class]
		r := q[len(q)-1]
		s.waiting[class] = q[:len(q)-1]
		e.refuse(r, "too many requests wait for this service", s.retryDelay(r, s.estimatedWait(s.waitingCount())))
		r.leaveQueue()
	}
}

// estimatedWait returns the estimated time until a request starts that has n
// requests ahead of it.
func (s *entryService) estimatedWait(n int) time.Duration {
	slots := max(1, s.settings.Limits.Slots)
	if i := s.primaryInstance(); i != nil {
		slots = max(slots, i.slots())
	}
	return s.serviceTime * time.Duration(n+1) / time.Duration(slots)
}

// willMissDeadline reports whether a request with n requests ahead of it would
// miss its deadline. If not, it schedules a wake-up for the moment from which
// the request would miss it.
func (e *Entry) willMissDeadline(r *entryRequest, n int) bool {
	if wait := r.service.estimatedWait(n); e.now.Add(wait).Before(r.Deadline) {
		e.scheduleWake(r.Deadline.Add(-wait))
		return false
	}
	return true
}

// hasSlot reports whether the upstream may run one more request. Browsing leaves
// one slot free for bookings.
func (e *Entry) hasSlot(i *entryInstance, r *entryRequest) bool {
	n := e.concurrencyLimit(i)
	if r.slotClass() == ClassBrowse && n > max(1, e.unreservedLimit(i)) {
		n--
	}
	return i.running+i.claimedSlots(r) < n
}

// siteConcurrencyFactor is the number of statements per slot that the entries of
// one site run at an upstream.
const siteConcurrencyFactor = 2

// concurrencyLimit returns how many statements this entry may run at the
// upstream. With UpstreamsFromControl the entries of a site share what the site may
// run, so that a saturated upstream is shared by the callers of the sites and not
// by entries. It answers two loads: a primary that is asked for more than it can do
// by sites with different numbers of entries, and an entry that has all callers
// since the others are cut off or down, and must fill the slots alone.
func (e *Entry) concurrencyLimit(i *entryInstance) int {
	if e.options.UpstreamsFromControl {
		owners := e.sharingOwners(i.service)
		if e.organisations != nil {
			return e.organisationsLimit(i, owners)
		}
		if n, ok := e.sharedLimit(i, owners); ok {
			return n
		}
		return max((siteConcurrencyFactor*i.slots()+owners-1)/owners, 1)
	}
	return max(1, int(i.adaptiveLimit))
}

// adaptConcurrency raises the adaptive limit slowly while latency is low, and
// lowers it when latency is much higher than the best seen.
func (e *Entry) adaptConcurrency(i *entryInstance, latency time.Duration) {
	most := float64(i.slots())
	if i.bestLatency == 0 || latency < i.bestLatency {
		i.bestLatency = max(latency, 1)
	}
	i.bestLatency += i.bestLatency / 256
	if latency > slowLatencyFactor*i.bestLatency && latency > i.bestLatency+slowLatencyMargin {
		if e.now.Sub(i.limitCutAt) > latency {
			i.adaptiveLimit, i.limitCutAt = max(1, i.adaptiveLimit*limitDecreaseFactor), e.now
		}
		return
	}
	i.adaptiveLimit = min(most, i.adaptiveLimit+1/max(1, i.adaptiveLimit))
}

// retry puts a request back at the head of its queue and returns true. If the
// number of tries, the deadline or the retry budget is exhausted, it returns
// false.
func (e *Entry) retry(r *entryRequest, maxTries int) bool {
	s := r.service
	r.tries++
	if r.tries >= maxTries || !e.now.Before(r.Deadline) || s.retryTokens < 1 {
		return false
	}
	s.retryTokens--
	e.increment("retries")
	e.requeue(r)
	return true
}

func (e *Entry) requeue(r *entryRequest) {
	r.lastFailed, r.queuedAt, r.verifyFirst = r.instance, e.now, false
	e.enqueueAgain(r)
}

// isUsable reports whether new work may start at the upstream now.
func (e *Entry) isUsable(i *entryInstance) bool {
	return e.acceptsWork(i) && !e.now.Before(i.pausedUntil) && !e.isDrained(i)
}

// readyPrimary returns the primary if new work may start there, else nil.
func (e *Entry) readyPrimary(s *entryService) *entryInstance {
	if !e.canStartAtPrimary(s) {
		return nil
	}
	return e.availablePrimary(s)
}

// availablePrimary returns the primary if it accepts work, whether or not its
// lease allows new work to start. It returns nil if there is none.
func (e *Entry) availablePrimary(s *entryService) *entryInstance {
	i := s.primaryInstance()
	if i == nil || !e.isUsable(i) || i.role == catalog.RoleReplica {
		return nil
	}
	return i
}
