package fairqueue

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// waitingRequest is a request in a simulated queue. allowed is how much work of
// each flow may start before it.
type waitingRequest struct {
	flow    int
	cost    float64
	tag     Tag
	allowed []float64
}

// queue simulates a resource that runs one request at a time.
type queue struct {
	clock   Clock[int]
	weights []float64
	// allowance is that of each flow.
	allowance float64
	waiting   []waitingRequest
	// withdrawn is the work of each flow that was withdrawn. A flow may use what it
	// gets back at once, besides its later requests that wait.
	withdrawn []float64
}

func newQueue(weights []float64) *queue {
	return &queue{weights: weights, withdrawn: make([]float64, len(weights))}
}

const maxCost = 8.0

func (q *queue) add(flow int, cost float64) {
	r := waitingRequest{flow: flow, cost: cost, tag: q.clock.Add(flow, Request{Cost: cost, Weight: q.weights[flow], Allowance: q.allowance})}
	for n, w := range q.weights {
		r.allowed = append(r.allowed, w*(r.tag.Start-q.clock.virtual)+maxCost+q.allowance+q.withdrawn[n]+1e-6)
	}
	q.waiting = append(q.waiting, r)
}

// start starts the request with the lowest tag.
func (q *queue) start() waitingRequest {
	best := 0
	for n := range q.waiting {
		if q.waiting[n].tag.Start < q.waiting[best].tag.Start {
			best = n
		}
	}
	r := q.remove(best)
	q.clock.Start(r.flow, r.tag)
	q.advance()
	for n := range q.waiting {
		q.waiting[n].allowed[r.flow] -= r.cost
	}
	return r
}

// startUrgent starts a request out of order.
func (q *queue) startUrgent(n int) {
	r := q.remove(n)
	q.clock.Start(r.flow, r.tag)
	q.advance()
}

// withdraw ends a request that was not started.
func (q *queue) withdraw(n int) {
	r := q.remove(n)
	q.clock.Withdraw(r.flow, r.tag)
	q.withdrawn[r.flow] += r.cost
	q.advance()
	for n := range q.waiting {
		q.waiting[n].allowed[r.flow] += r.cost
	}
}

func (q *queue) remove(n int) waitingRequest {
	r := q.waiting[n]
	q.waiting = append(q.waiting[:n], q.waiting[n+1:]...)
	return r
}

func (q *queue) advance() {
	lowest := math.Inf(1)
	for _, r := range q.waiting {
		lowest = min(lowest, r.tag.Start)
	}
	q.clock.Advance(lowest)
}

// TestNoFlowStarves guards against a request that waits while another flow gets
// more than its weight allows, whatever is added, started and withdrawn.
func TestNoFlowStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue(rapid.SliceOfN(rapid.Float64Range(0.1, 50), 2, 6).Draw(t, "weights"))
		q.allowance = rapid.Float64Range(0, 3*maxCost).Draw(t, "allowance")
		lastVerb := rapid.SampledFrom([]int{5, 6}).Draw(t, "last verb")
		for range rapid.IntRange(10, 200).Draw(t, "steps") {
			switch verb := rapid.IntRange(0, lastVerb).Draw(t, "verb"); {
			case verb < 4 || len(q.waiting) == 0:
				q.add(rapid.IntRange(0, len(q.weights)-1).Draw(t, "flow"), rapid.Float64Range(0.1, maxCost).Draw(t, "cost"))
			case verb < 5:
				q.start()
			case verb < 6:
				q.startUrgent(rapid.IntRange(0, len(q.waiting)-1).Draw(t, "which"))
			default:
				q.withdraw(rapid.IntRange(0, len(q.waiting)-1).Draw(t, "which"))
			}
			for _, r := range q.waiting {
				if r.tag.Start < q.clock.virtual {
					t.Fatal("the virtual time has passed a waiting request, so later ones start with it")
				}
				for flow, left := range r.allowed {
					if left < 0 && flow != r.flow {
						t.Fatalf("a request of flow %d waits while flow %d got %g more than its share", r.flow, flow, -left)
					}
				}
			}
		}
	})
}

// TestShares guards against shares of flows that always have waiting requests
// which differ from their weights, and against a flow that is charged for requests
// that were withdrawn.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue(rapid.SliceOfN(rapid.Float64Range(1, 10), 2, 5).Draw(t, "weights"))
		costs := rapid.SliceOfN(rapid.Float64Range(0.5, maxCost), len(q.weights), len(q.weights)).Draw(t, "costs")
		work := make([]float64, len(q.weights))
		for range 2000 {
			for flow := range q.weights {
				for q.waitingOf(flow) < 3 {
					q.add(flow, costs[flow])
				}
			}
			r := q.start()
			work[r.flow] += r.cost
			// The last flow adds and withdraws many more requests than others.
			for range 3 {
				q.add(len(q.weights)-1, costs[len(q.weights)-1])
				q.withdraw(len(q.waiting) - 1)
			}
		}
		for flow := range work {
			got, want := work[flow]/work[0], q.weights[flow]/q.weights[0]
			if math.Abs(got-want) > 0.2*want {
				t.Fatalf("flow %d got %g times the work of flow 0, not %g", flow, got, want)
			}
		}
	})
}

func (q *queue) waitingOf(flow int) int {
	n, _ := q.clock.Waiting(flow)
	return n
}

// TestIdleFlowsAreDropped guards against memory that grows with every flow that
// was ever seen.
func TestIdleFlowsAreDropped(t *testing.T) {
	c := &Clock[int]{}
	for flow := range 100_000 {
		tag := c.Add(flow, Request{Cost: 1, Weight: 1})
		c.Start(flow, tag)
		c.Advance(math.Inf(1))
		c.Start(-1, c.Add(-1, Request{Cost: 2, Weight: 1}))
		c.Decay(0.5)
	}
	if n := len(c.flows); n > 2*minSweep {
		t.Errorf("%d flows are held", n)
	}
	if c.active != 0 || c.activeWeight != 0 {
		t.Errorf("%d flows with weight %g seem to wait", c.active, c.activeWeight)
	}
}

// TestParts guards against a flow that seems entitled to nothing or to everything,
// before or after its first request.
func TestParts(t *testing.T) {
	var c Clock[string]
	if own, used := c.EntitledPart("a", 1), c.UsedPart("a"); own != 1 || used != 1 {
		t.Errorf("the only flow is entitled to %v and has used %v", own, used)
	}
	c.Run("a", Request{Cost: 9, Weight: 1})
	c.Run("b", Request{Cost: 1, Weight: 3})
	for _, x := range []struct{ got, want float64 }{
		{c.UsedPart("a"), 0.9}, {c.UsedPart("b"), 0.75}, {c.EntitledPart("b", 3), 0.75}, {c.EntitledPart("c", 4), 0.5},
	} {
		if math.Abs(x.got-x.want) > 1e-6 {
			t.Errorf("the part is %v instead of %v", x.got, x.want)
		}
	}
}
