package node

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// A read that no replica can serve may run at the primary, which has work that
// only it can do. If the replicas fall behind, all reads of a service go to the
// primary at once, from entries that do not know each other's load. So each
// entry measures the latency of its own requests at the primary. The higher
// that latency is relative to the read's objective, the fewer reads the entry
// sends there; the entry refuses the others at once. Writes and reads that must
// run at the primary are exempt.

// latencyHalfLife is the time after which a measured latency counts half, so
// that an entry that has sent nothing to an upstream for a while tries the
// upstream again.
const latencyHalfLife = 400 * time.Millisecond

// failedLatency is the latency recorded for a request that failed at the
// upstream. It approximates the cost of a retry to the caller.
const failedLatency = 500 * time.Millisecond

// recordLatency adds the latency of a request to the moving average.
func (i *entryInstance) recordLatency(latency time.Duration, now catalog.Instant) {
	old := i.expectedLatency(now)
	i.latency, i.latencyAt = old+(latency-old)/4, now
}

// expectedLatency returns the latency that a request is expected to have at the
// upstream.
func (i *entryInstance) expectedLatency(now catalog.Instant) time.Duration {
	halves := float64(now.Sub(i.latencyAt)) / float64(latencyHalfLife)
	return time.Duration(float64(i.latency) / (1 + halves))
}

// shouldYield reports whether a read should not run at the primary, which is
// left to the work that only it can do.
func (e *Entry) shouldYield(r *entryRequest, i *entryInstance) bool {
	if r.primaryOnly || r.Objective <= 0 {
		return false
	}
	expected, budget := i.expectedLatency(e.now), r.service.baselines.latencyBudget(r.Database, r.Objective/2)
	if expected <= budget {
		return false
	}
	// If all reads yielded, this entry would no longer measure the primary's
	// latency, so some reads still run there. Their proportion is the square of
	// budget over latency: at four times the load that the primary can serve,
	// the latency then settles at twice the budget, which is the objective.
	return max(e.randomBelow(expected), e.randomBelow(expected)) >= budget
}

// readBaselines holds the latency of reads at an upstream that is not busy, for
// each database of a service. If the primary can't serve all reads, more
// callers are served if the reads with the highest baseline yield first.
type readBaselines struct {
	// latencies are low quantiles of the latency of reads, by database; mean is
	// the average baseline over all reads.
	latencies map[string]time.Duration
	mean      time.Duration
}

// Divisors of the step towards a latency below and above the quantile. Their
// ratio sets the quantile: one latency in nine lies below it, where waiting for
// other requests has little effect.
const (
	baselineDivisorBelow = 4
	baselineDivisorAbove = 32
)

// record adjusts the baseline of a database to the latency of one read.
func (w *readBaselines) record(database string, latency time.Duration) {
	if w.latencies == nil {
		w.latencies = map[string]time.Duration{}
	}
	baseline, ok := w.latencies[database]
	switch {
	case !ok:
		baseline = latency
	case latency < baseline:
		baseline += (latency - baseline) / baselineDivisorBelow
	default:
		baseline += min(latency-baseline, baseline) / baselineDivisorAbove
	}
	w.latencies[database] = max(baseline, 1)
	if w.mean == 0 {
		w.mean = w.latencies[database]
	}
	w.mean += (w.latencies[database] - w.mean) / baselineDivisorAbove
}

// dropUnroutedBaselines removes the baselines of databases that no longer have
// a route.
func (e *Entry) dropUnroutedBaselines() {
	known := map[string]bool{}
	for _, r := range e.routes {
		known[r.Database] = true
	}
	for _, s := range e.services {
		maps.DeleteFunc(s.baselines.latencies, func(database string, _ time.Duration) bool { return !known[database] })
	}
}

// maxBudgetFactor and minBudgetFactor limit how far the latency budget of a
// database may differ from that of a read with an average baseline.
const (
	maxBudgetFactor = 2.0
	minBudgetFactor = 0.25
)

// latencyBudget returns the expected latency above which reads of a database
// yield. averageBudget is the budget of a read with an average baseline.
func (w *readBaselines) latencyBudget(database string, averageBudget time.Duration) time.Duration {
	baseline := w.latencies[database]
	if baseline == 0 || w.mean == 0 {
		return averageBudget
	}
	ratio := float64(w.mean) / float64(baseline)
	return time.Duration(float64(averageBudget) * min(max(ratio*ratio, minBudgetFactor), maxBudgetFactor))
}

// randomBelow returns a random duration that is at least zero and less than
// bound.
func (e *Entry) randomBelow(bound time.Duration) time.Duration {
	return time.Duration(e.nextRandom() % uint64(bound))
}

const (
	// minLatency is the lowest latency used for the cost, so that an upstream
	// without recent requests does not seem to cost nothing.
	minLatency = 5 * time.Millisecond
	// remoteCostFactor multiplies the cost of an upstream in another site. The
	// network between sites adds little latency, but its traffic is charged
	// for.
	remoteCostFactor = 2
)

// cost estimates how long a read would take at the upstream, weighted by the
// upstream's site. Entries do not know each other's load, so the estimate uses
// the latency that this entry has measured.
func (e *Entry) cost(i *entryInstance, r *entryRequest) time.Duration {
	n := time.Duration(i.running + i.connShortfall + 1)
	c := n * max(i.expectedLatency(e.now), minLatency)
	if !i.inOwnSite {
		c *= remoteCostFactor
	}
	if i == r.lastFailed {
		c += failedCost
	}
	return c
}

// failedCost ranks an upstream that has just failed the request behind all
// others.
const failedCost = time.Hour

// sortByCost sorts replicas by cost. Replicas of equal cost are ordered
// differently at each entry.
func (e *Entry) sortByCost(is []*entryInstance, r *entryRequest) {
	slices.SortStableFunc(is, func(a, b *entryInstance) int {
		if n := cmp.Compare(e.cost(a, r), e.cost(b, r)); n != 0 {
			return n
		}
		return cmp.Compare(a.preference, b.preference)
	})
}

// preferredReplica returns the replica that this entry would read from if all
// had the same load. A connection to it stays open; connections to the others
// are opened on demand, because an upstream does not accept a connection from
// every entry.
func (e *Entry) preferredReplica(s *entryService) *entryInstance {
	var best *entryInstance
	for _, i := range s.instances {
		if i.id == s.primary.Instance || !e.acceptsWork(i) || e.isFailing(i) {
			continue
		}
		if best == nil || i.inOwnSite && !best.inOwnSite || i.inOwnSite == best.inOwnSite && i.preference < best.preference {
			best = i
		}
	}
	return best
}
