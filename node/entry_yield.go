package node

import (
	"maps"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// A read that no replica can serve may run at the primary, which has work that
// only it can do. If the replicas fall behind, all reads of a service go to the
// primary at once, from entries that do not know each other's load. So each entry
// measures how long its own requests wait for the primary and run there. The longer
// that is relative to the read's objective, the fewer reads the entry sends there;
// the entry refuses the others at once. Writes and reads that must run at the
// primary are exempt. The load that this answers is that of a service whose
// replicas are all far behind, so that its primary is asked for up to two and a
// half times of what it can run.

// yieldObjectiveDivisor divides the objective of a read; the result is the time
// that the read may be expected to take at the primary before some reads yield.
// Reads then still wait so little that those which can't be served are refused
// long before they miss their objective.
const yieldObjectiveDivisor = 4

// recordWait adds the time for which a request waited at this entry before it was
// sent to the upstream to the moving average.
func (i *entryInstance) recordWait(wait time.Duration, now catalog.Instant) {
	old := i.expectedWait(now)
	i.wait, i.waitAt = old+(wait-old)/4, now
}

// expectedWait returns how long a request is expected to wait at this entry for
// the upstream. The entry limits how many statements it runs there, so under
// overload the requests wait here and not at the upstream.
func (i *entryInstance) expectedWait(now catalog.Instant) time.Duration {
	return decayedLatency(i.wait, i.waitAt, now)
}

// shouldYield reports whether a read should not run at the primary, which is
// left to the work that only it can do.
func (e *Entry) shouldYield(r *entryRequest, i *entryInstance) bool {
	if r.primaryOnly || r.Objective <= 0 {
		return false
	}
	expected := i.expectedWait(e.now) + i.expectedLatency(e.now)
	budget := r.service.baselines.latencyBudget(r.Database, r.Objective/yieldObjectiveDivisor)
	if expected <= budget {
		return false
	}
	// If all reads yielded, this entry would no longer measure the primary's
	// latency, so some reads still run there. Their proportion is the square of
	// budget over expectation: at four times the load that the primary can serve,
	// a read then takes twice the budget, which is half of the objective.
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
		isUnrouted := func(database string, _ time.Duration) bool { return !known[database] }
		maps.DeleteFunc(s.baselines.latencies, isUnrouted)
		maps.DeleteFunc(s.costs, isUnrouted)
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
