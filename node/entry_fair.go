package node

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/fairqueue"
)

// If callers belong to organisations, the requests of a class that wait for a
// service start in the order of start-time fair queueing: an organisation that
// sends more than its share waits behind the others, and its requests are the
// last in the queue and so the first to be refused. The load that this answers is
// that of an organisation which sends several times its usual load to a service
// that can't run it. Without organisations requests start in the order of arrival.

// defaultWeight is the weight of callers without a configured rate.
const defaultWeight = 1

// allowedRequests is how many requests an organisation may have beyond its share
// before they wait behind those of others. A small organisation sends a few requests
// in a row and then none for seconds.
const allowedRequests = 2

// organisationClock is the virtual time of a service with the organisations that
// use it.
type organisationClock = fairqueue.Clock[catalog.OrganisationID]

// enqueue lets a request wait in its class.
func (e *Entry) enqueue(r *entryRequest) {
	s := r.service
	if e.organisations == nil {
		s.waiting[r.Class] = append(s.waiting[r.Class], r)
		return
	}
	e.tagRequest(r)
	q := s.waiting[r.Class]
	n := len(q)
	if n > 0 && q[n-1].tag.Start > r.tag.Start {
		n = sort.Search(n, func(n int) bool { return q[n].tag.Start > r.tag.Start })
	}
	s.waiting[r.Class] = slices.Insert(q, n, r)
}

// enqueueAgain lets a request that has left the queue wait ahead of the requests
// that have not. Where there are organisations it waits in the place of its tag,
// which it keeps if it was started.
func (e *Entry) enqueueAgain(r *entryRequest) {
	s := r.service
	q := s.waiting[r.Class]
	n := 0
	if e.organisations != nil {
		e.tagRequest(r)
		n = sort.Search(len(q), func(n int) bool { return q[n].tag.Start >= r.tag.Start })
	}
	s.waiting[r.Class] = slices.Insert(q, n, r)
}

// tagRequest gives a request that begins to wait its tag, unless it has one.
func (e *Entry) tagRequest(r *entryRequest) {
	clock := r.service.organisationClock()
	if r.hasTag {
		clock.Return(r.Organisation, e.weight(r.Organisation))
	} else {
		r.tag, r.hasTag = clock.Add(r.Organisation, e.fairRequest(r)), true
	}
	r.waitsByTag = true
}

// chargeOrganisation charges a request that does not wait, since it belongs to an
// open transaction, to its organisation.
func (e *Entry) chargeOrganisation(r *entryRequest) {
	if e.organisations != nil {
		r.service.organisationClock().Run(r.Organisation, e.fairRequest(r))
	}
}

func (s *entryService) organisationClock() *organisationClock {
	if s.clock == nil {
		s.clock = &organisationClock{}
	}
	return s.clock
}

func (e *Entry) fairRequest(r *entryRequest) fairqueue.Request {
	cost := r.expectedCost()
	return fairqueue.Request{Cost: cost, Weight: e.weight(r.Organisation), Allowance: r.allowance()}
}

// allowance returns the cost by which the request's organisation may run ahead of its
// share. It includes one opening, which a small organisation needs for many of its
// requests.
func (r *entryRequest) allowance() float64 {
	out := allowedRequests * r.expectedCost()
	if i := r.service.primaryInstance(); i != nil && r.Organisation != "" {
		out += i.place.openingCost()
	}
	return out
}

// chargeOpening charges an organisation for a connection that is opened for it, since
// opening it occupies a slot of the upstream.
func (e *Entry) chargeOpening(i *entryInstance, id catalog.OrganisationID) {
	if e.organisations == nil || id == "" {
		return
	}
	cost := i.place.openingCost()
	i.service.organisationClock().Run(id, fairqueue.Request{Cost: cost, Weight: e.weight(id), Allowance: cost})
}

// expectedCost returns the time in seconds that the request is expected to occupy
// a slot.
func (r *entryRequest) expectedCost() float64 {
	if cost := r.service.costs[r.Database]; cost > 0 {
		return cost.Seconds()
	}
	return r.service.serviceTime.Seconds()
}

// recordCost adjusts the expected cost of the requests to a database to the latency
// of one of them. While requests wait here, the upstream is saturated: latencies
// then consist mostly of waiting, which all databases have in common, and only
// lower the cost.
func (e *Entry) recordCost(r *entryRequest, latency time.Duration) {
	s := r.service
	if e.organisations == nil || r.Database == "" {
		return
	}
	if s.costs == nil {
		s.costs = map[string]time.Duration{}
	}
	cost, ok := s.costs[r.Database]
	switch {
	case !ok:
		cost = latency
	case latency < cost:
		cost += (latency - cost) / baselineDivisorBelow
	case s.waitingCount() == 0:
		cost += min(latency-cost, cost) / baselineDivisorAbove
	}
	s.costs[r.Database] = max(cost, 1)
}

// weight returns the weight of an organisation's share, which is its configured
// rate.
func (e *Entry) weight(id catalog.OrganisationID) float64 {
	if o, ok := e.organisations.ByID(id); ok && o.Rate > 0 {
		return o.Rate
	}
	return defaultWeight
}

// leaveQueue records that a request has left the queue. If the request was not
// started, its cost is given back to its organisation.
func (r *entryRequest) leaveQueue() {
	if !r.waitsByTag {
		return
	}
	r.waitsByTag = false
	if r.connID != 0 {
		r.service.clock.Start(r.Organisation, r.tag)
		return
	}
	r.service.clock.Withdraw(r.Organisation, r.tag)
	r.hasTag = false
}

// Use of a service by organisations is counted over the last second or so: in
// intervals of useDecayInterval it is multiplied by useDecay. Requests of an
// organisation that has used more than aboveShareFactor times its share go behind
// the less urgent ones of other organisations: if classes always went first, the
// urgent part of one organisation's excess would displace all other work.
const (
	useDecayInterval = 250 * time.Millisecond
	useDecay         = 0.84
	aboveShareFactor = 1.2
)

// markAboveShare marks the waiting requests of organisations that have used more
// than their share, if more than one organisation waits.
func (e *Entry) markAboveShare(s *entryService) {
	if s.clock == nil {
		return
	}
	if n := e.now.Sub(s.useDecayedAt) / useDecayInterval; n > 0 {
		s.clock.Decay(math.Pow(useDecay, float64(n)))
		s.useDecayedAt = s.useDecayedAt.Add(n * useDecayInterval)
	}
	isContended := s.clock.Active() > 1
	for _, q := range s.waiting {
		for _, r := range q {
			r.isAboveShare = r.waitsByTag && isContended && s.clock.IsAboveShare(r.Organisation, aboveShareFactor, r.allowance())
		}
	}
}

// slotClass returns the class by which a request gets a slot. A request of an
// organisation above its share leaves the slot free that browsing leaves free:
// otherwise it would take each slot that browsing of the others may not use.
func (r *entryRequest) slotClass() Class {
	if r.isAboveShare {
		return ClassBrowse
	}
	return r.Class
}

// classToShed returns the class whose last request is refused if too many wait. It
// is the lowest class or, where there are organisations, the one whose last request
// has the highest tag. At least one request must be waiting.
func (s *entryService) classToShed() int {
	out := -1
	for class := len(s.waiting) - 1; class >= 0; class-- {
		q := s.waiting[class]
		if len(q) == 0 {
			continue
		}
		if out < 0 || q[len(q)-1].tag.Start > s.waiting[out][len(s.waiting[out])-1].tag.Start {
			out = class
		}
	}
	return out
}

// exceedsShare reports whether a request of an organisation with n requests ahead
// of it would be refused later because it misses its objective. Since those ahead
// have lower tags or are more urgent, the request belongs to an organisation above
// its share; it is refused at once, so that its caller does not wait in vain.
// Without running requests the length of the wait is unknown. Requests of others that
// arrive later also go ahead of it, so it waits as long as the upstream takes at the
// part of it that the organisation has used lately.
func (e *Entry) exceedsShare(s *entryService, r *entryRequest, n int) bool {
	if !r.waitsByTag || r.Objective <= 0 || len(s.running) == 0 || !e.isOverloaded(s) {
		return false
	}
	wait := float64(s.estimatedWait(n))
	if r.isAboveShare {
		wait /= s.clock.UsedPart(r.Organisation)
	}
	return e.now.Sub(r.arrivedAt)+r.Waited+time.Duration(wait) > r.Objective/2
}

// advanceVirtualTime moves the virtual time of the service to the tag of the
// request started last. Requests that miss their objective don't hold it back,
// because they start behind those that can meet it.
func (e *Entry) advanceVirtualTime(s *entryService) {
	if s.clock == nil {
		return
	}
	lowest := math.Inf(1)
	for _, q := range s.waiting {
		for _, r := range q {
			if r.waitsByTag && !e.missesObjective(r) {
				lowest = r.tag.Start
				break
			}
		}
	}
	s.clock.Advance(lowest)
}

// retryDelay returns after what time a request that is refused may be repeated: the
// given delay or, if it is longer, the time in which the other waiting requests of
// its organisation are served. They are served at the rate of the organisation's
// share, since those of other organisations go ahead of them.
func (s *entryService) retryDelay(r *entryRequest, delay time.Duration) time.Duration {
	if !r.waitsByTag {
		return delay
	}
	own, share := s.clock.Waiting(r.Organisation)
	return max(delay, time.Duration(float64(s.estimatedWait(own-1))/share))
}
