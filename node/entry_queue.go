package node

import (
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// queueDefault is the most requests that wait per service if none is set.
const queueDefault = 256

// placement is what one pass over a service's queues has seen so far.
type placement struct {
	// waitingForPrimary counts requests that wait for the waitingForPrimary, booking is set if
	// one of them is a booking, replica counts reads that wait for a replica.
	waitingForPrimary int
	hasBooking        bool
	waitingForReplica int
}

// dispatch places waiting requests and refuses what can't make its deadline or
// finds the queue full. Those that can still keep their objective go first, the
// most urgent class first. After an outage everybody comes at once: in the order
// of arrival all of them would be late, and those that come meanwhile too.
func (e *Entry) dispatch(s *entryService) {
	var p placement
	for class := range s.waiting {
		e.placeClass(s, class, false, &p)
	}
	e.updateOverload(s)
	for class := range s.waiting {
		e.placeClass(s, class, true, &p)
	}
	e.shedExcess(s)
}

// placeClass places the waiting requests of a class that are late, or those that
// are not.
func (e *Entry) placeClass(s *entryService, class int, late bool, p *placement) {
	kept := s.waiting[class][:0]
	for _, r := range s.waiting[class] {
		switch {
		case e.missesObjective(r) != late:
			kept = append(kept, r)
		case late && e.isOverloaded(s):
			e.refuse(r, "there is more work than can keep its objective", overloadDelay)
		case !e.place(s, r, p):
			kept = append(kept, r)
		}
	}
	s.waiting[class] = kept
}

// missesObjective reports whether the request would miss its objective, of which half is
// left to what comes behind this wait: the way to the caller, and the other
// statements of its operation. In the order of arrival all that wait would
// otherwise be served just when it is too late.
func (e *Entry) missesObjective(r *entryRequest) bool {
	run := min(r.service.serviceTime, r.Objective/4)
	return r.Objective > 0 && e.now.Sub(r.arrivedAt)+r.Waited+run > r.Objective/2
}

// overloadDelay is for how long there must be more work than can keep its objective
// until what has missed it is refused at once. The backlog of an outage is
// served sooner.
const overloadDelay = time.Second

// updateOverload notes since when requests wait that could keep their objective.
func (e *Entry) updateOverload(s *entryService) {
	hasWaiting := false
	for _, q := range s.waiting {
		for _, r := range q {
			hasWaiting = hasWaiting || r.Objective > 0 && !e.missesObjective(r)
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
	return s.overloadedSince != 0 && e.now.Sub(s.overloadedSince) > overloadDelay
}

// place reports whether the request left the queue, be it started or refused.
func (e *Entry) place(s *entryService, r *entryRequest, p *placement) bool {
	if !s.accepted {
		e.refuse(r, "the service is not in the accepted configuration", time.Second)
		return true
	}
	if !e.now.Before(r.Deadline) {
		e.refuse(r, "no upstream was free before the deadline", s.serviceTime)
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

// shedExcess refuses the last requests of the lowest class while too many wait.
func (e *Entry) shedExcess(s *entryService) {
	most := e.options.QueueLimit
	if most == 0 {
		most = queueDefault
	}
	for over := s.waitingCount() - most; over > 0; over-- {
		for class := len(s.waiting) - 1; class >= 0; class-- {
			q := s.waiting[class]
			if len(q) == 0 {
				continue
			}
			r := q[len(q)-1]
			s.waiting[class] = q[:len(q)-1]
			e.refuse(r, "too many requests wait for this service", s.estimatedWait(s.waitingCount()))
			break
		}
	}
}

// estimatedWait estimates how long n requests ahead take.
func (s *entryService) estimatedWait(n int) time.Duration {
	slots := max(1, s.settings.Limits.Slots)
	if i := s.primaryInstance(); i != nil {
		slots = max(slots, i.slots())
	}
	return s.serviceTime * time.Duration(n+1) / time.Duration(slots)
}

// willMissDeadline reports whether a request with n ahead of it would miss its
// deadline.
func (e *Entry) willMissDeadline(r *entryRequest, n int) bool {
	if wait := r.service.estimatedWait(n); e.now.Add(wait).Before(r.Deadline) {
		e.scheduleWake(r.Deadline.Add(-wait))
		return false
	}
	return true
}

// hasSlot reports whether the upstream may run one more request of a class.
// Browsing leaves one place free so that bookings find room.
func (i *entryInstance) hasSlot(class Class) bool {
	n := max(1, int(i.concurrencyLimit))
	if class == ClassBrowse && n > 1 {
		n--
	}
	return i.running+i.connShortfall < n
}

// adaptConcurrency lets the running limit grow slowly while answers are quick and cuts it
// when they take much longer than the quickest seen.
func (e *Entry) adaptConcurrency(i *entryInstance, latency time.Duration) {
	most := float64(i.slots())
	if i.bestLatency == 0 || latency < i.bestLatency {
		i.bestLatency = max(latency, 1)
	}
	i.bestLatency += i.bestLatency / 256
	if latency > slowFactor*i.bestLatency && latency > i.bestLatency+slowSlack {
		if e.now.Sub(i.limitCutAt) > latency {
			i.concurrencyLimit, i.limitCutAt = max(1, i.concurrencyLimit*limitDecrease), e.now
		}
		return
	}
	i.concurrencyLimit = min(most, i.concurrencyLimit+1/max(1, i.concurrencyLimit))
}

// retry puts a request that may run again back at the head of its queue. It
// reports false when its tries, its deadline or the retry budget are used up.
func (e *Entry) retry(r *entryRequest, most int) bool {
	s := r.service
	r.tries++
	if r.tries >= most || !e.now.Before(r.Deadline) || s.tokens < 1 {
		return false
	}
	s.tokens--
	e.increment("retries")
	e.requeue(r)
	return true
}

func (e *Entry) requeue(r *entryRequest) {
	s := r.service
	r.lastFailed, r.queuedAt, r.verifyFirst = r.instance, e.now, false
	s.waiting[r.Class] = append([]*entryRequest{r}, s.waiting[r.Class]...)
}

// isUsable reports whether new work may start at the upstream now.
func (e *Entry) isUsable(i *entryInstance) bool {
	return e.acceptsWork(i) && !e.now.Before(i.pausedUntil) && !e.isDrained(i)
}

// readyPrimary returns the primary if new work may start there.
func (e *Entry) readyPrimary(s *entryService) *entryInstance {
	if !e.canStartAtPrimary(s) {
		return nil
	}
	return e.availablePrimary(s)
}

// availablePrimary returns the primary if it takes work as far as is known.
func (e *Entry) availablePrimary(s *entryService) *entryInstance {
	i := s.primaryInstance()
	if i == nil || !e.isUsable(i) || i.role == catalog.RoleReplica {
		return nil
	}
	return i
}
