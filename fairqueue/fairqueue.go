// Package fairqueue assigns the tags of start-time fair queueing. Requests of
// several flows that wait for one resource start in the order of their tags, so
// that each flow gets a share of the resource by its weight and the share that a
// flow leaves unused goes to the others.
package fairqueue

import "slices"

// minSweep is the number of flows from which idle flows are dropped.
const minSweep = 64

// A flow counts as in use from its first request, also if none was started: the
// share of a flow that leaves nothing to others would otherwise be the whole. It
// counts until its use, which is at least presence then, has decayed to minUse. That
// takes many half-lives, so that flows with few requests count as well.
const (
	presence = 1e-6
	minUse   = 1e-20
)

// Tag is the place of a request in virtual time. Requests start in the ascending
// order of Start; Length is the cost of the request divided by the weight of its
// flow.
type Tag struct {
	Start, Length float64
}

// Request is what the tag of a request depends on.
type Request struct {
	// Cost is how much of the resource the request is expected to take. It must not
	// be negative.
	Cost float64
	// Weight is the weight of the flow, which must be positive.
	Weight float64
	// Allowance is the cost by which the flow may run ahead of its share before its
	// requests start behind those of others. Without it, a flow with a low weight
	// would wait long for the second of two requests in a row.
	Allowance float64
}

// Clock holds the virtual time of a resource and the flows that use it. The zero
// value is ready for use. The number of flows held is at most twice the number of
// those that wait, were used recently or have a finish tag ahead of the virtual
// time, plus a constant.
type Clock[K comparable] struct {
	// virtual never decreases.
	virtual float64
	// started is the highest start tag of a request that was started.
	started float64
	flows   map[K]*flow[K]
	// order holds the same flows in the order in which they were first seen, so that
	// sums don't depend on the order of the map.
	order []*flow[K]
	// sweepAt is the number of flows at which idle flows are dropped next.
	sweepAt int
	// active counts the flows with waiting requests, and activeWeight is the sum of
	// their weights.
	active       int
	activeWeight float64
	// used is the sum of the use of all flows, and usedWeight the sum of the weights
	// of those with any.
	used, usedWeight float64
}

// flow is the state of one flow.
type flow[K comparable] struct {
	key K
	// finish is the virtual time at which the flow has used no more than its share,
	// if all its requests are started that were not withdrawn.
	finish  float64
	weight  float64
	waiting int
	// used is the cost of the requests that were started, reduced by its age, and
	// zero if the flow does not count as in use.
	used float64
}

// Add returns the tag of a request that begins to wait, and charges its cost to
// the flow.
func (c *Clock[K]) Add(key K, r Request) Tag {
	t := c.charge(key, r)
	c.Return(key, r.Weight)
	return t
}

// Run charges a flow for a request that starts without having waited.
func (c *Clock[K]) Run(key K, r Request) {
	c.charge(key, r)
	c.use(c.flows[key], r.Cost)
}

func (c *Clock[K]) charge(key K, r Request) Tag {
	f := c.flow(key, r.Weight)
	t := Tag{Start: max(c.virtual, f.finish-r.Allowance/r.Weight), Length: r.Cost / r.Weight}
	f.finish = max(c.virtual, f.finish) + t.Length
	c.use(f, max(presence-f.used, 0))
	return t
}

// use adds a cost to the use of a flow, which then counts as in use.
func (c *Clock[K]) use(f *flow[K], cost float64) {
	if f.used == 0 {
		c.usedWeight += f.weight
	}
	f.used += cost
	c.used += cost
}

// Return records that a request which was charged before waits again.
func (c *Clock[K]) Return(key K, weight float64) {
	f := c.flow(key, weight)
	if f.waiting++; f.waiting == 1 {
		c.active++
		c.activeWeight += f.weight
	}
}

// flow returns the state of a flow with the given weight, for which it makes room.
func (c *Clock[K]) flow(key K, weight float64) *flow[K] {
	f := c.flows[key]
	if f == nil {
		c.dropIdle()
		f = &flow[K]{key: key}
		c.flows[key], c.order = f, append(c.order, f)
	}
	if f.waiting > 0 {
		c.activeWeight += weight - f.weight
	}
	if f.used > 0 {
		c.usedWeight += weight - f.weight
	}
	f.weight = weight
	return f
}

// Start records that a waiting request was started.
func (c *Clock[K]) Start(key K, t Tag) {
	c.started = max(c.started, t.Start)
	if f := c.flows[key]; f != nil {
		c.use(f, t.Length*f.weight)
		c.leave(f)
	}
}

// Withdraw records that a waiting request left without being started. Its cost is
// given back also if later requests of the flow wait: otherwise a flow most of
// whose requests are refused would be charged for them, get ever later tags, and
// have even more of them refused.
func (c *Clock[K]) Withdraw(key K, t Tag) {
	if f := c.flows[key]; f != nil {
		f.finish -= t.Length
		c.leave(f)
	}
}

func (c *Clock[K]) leave(f *flow[K]) {
	if f.waiting--; f.waiting == 0 {
		c.active--
		c.activeWeight -= f.weight
	}
	if c.active == 0 {
		// Discards what rounding has left of the sum.
		c.activeWeight = 0
	}
}

// Advance moves the virtual time to the highest tag that was started, but not
// beyond lowestWaiting, the lowest tag of the waiting requests that may start now.
// Without that bound, a request that starts out of order, because it is more
// urgent than others, would move the virtual time past those that wait.
func (c *Clock[K]) Advance(lowestWaiting float64) {
	c.virtual = max(c.virtual, min(c.started, lowestWaiting))
}

// Waiting returns how many requests of a flow wait, and the share of the resource
// that the flow is entitled to among those that have waiting requests.
func (c *Clock[K]) Waiting(key K) (n int, share float64) {
	f := c.flows[key]
	if f == nil || f.waiting == 0 {
		return 0, 1
	}
	return f.waiting, min(f.weight/c.activeWeight, 1)
}

// Decay multiplies the use of all flows by a factor between 0 and 1.
func (c *Clock[K]) Decay(factor float64) {
	c.used, c.usedWeight = 0, 0
	for _, f := range c.order {
		if f.used *= factor; f.used < minUse {
			f.used = 0
			continue
		}
		c.used += f.used
		c.usedWeight += f.weight
	}
}

// IsAboveShare reports whether a flow has used more than the given multiple of its
// share by weight among the flows in use, plus the allowance.
func (c *Clock[K]) IsAboveShare(key K, multiple, allowance float64) bool {
	f := c.flows[key]
	return f != nil && f.used > allowance+multiple*f.weight*c.used/c.usedWeight
}

// UsedPart returns the part of the use of all flows that is a flow's, or the part by
// weight that it is entitled to among the flows in use if that is larger.
func (c *Clock[K]) UsedPart(key K) float64 {
	f := c.flows[key]
	if f == nil || f.used == 0 {
		return 1
	}
	return min(max(f.used/c.used, f.weight/c.usedWeight), 1)
}

// EntitledPart returns the part by weight that a flow of the given weight is entitled
// to among the flows in use, with itself counted as one of them.
func (c *Clock[K]) EntitledPart(key K, weight float64) float64 {
	sum := c.usedWeight
	if f := c.flows[key]; f == nil || f.used == 0 {
		sum += weight
	}
	return min(weight/sum, 1)
}

// Active returns the number of flows with waiting requests.
func (c *Clock[K]) Active() int { return c.active }

// dropIdle makes room for one more flow. It drops the flows without waiting
// requests or recent use whose finish tag is not ahead of the virtual time, since
// their next tag does not depend on it.
func (c *Clock[K]) dropIdle() {
	if c.flows == nil {
		c.flows, c.sweepAt = map[K]*flow[K]{}, minSweep
	}
	if len(c.flows) < c.sweepAt {
		return
	}
	c.order = slices.DeleteFunc(c.order, func(f *flow[K]) bool {
		isIdle := f.waiting == 0 && f.used == 0 && f.finish <= c.virtual
		if isIdle {
			delete(c.flows, f.key)
		}
		return isIdle
	})
	c.sweepAt = max(2*len(c.flows), minSweep)
}
