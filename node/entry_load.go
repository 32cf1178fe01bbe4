package node

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// A read that no replica can serve may run at the primary, which has work that
// only it can do. When replicas fall behind, all reads of a service come there
// at once, from entries that do not see each other. Each entry goes by the time
// that its own requests take at the primary: the longer that is against the
// latency that the read should keep, the fewer reads it sends, and the others
// are refused at once. Writes and reads that must run at the primary are not
// held back by this.

// latencyHalfLife is how long it takes until an upstream's time counts for half, so
// that an entry that sent nothing for a while tries again.
const latencyHalfLife = 400 * time.Millisecond

// failedLatency is what a request counts that the upstream failed: about what it
// costs a caller to come again.
const failedLatency = 500 * time.Millisecond

// recordLatency learns from the time that a request took.
func (i *entryInstance) recordLatency(latency time.Duration, now catalog.Instant) {
	old := i.expectedLatency(now)
	i.latency, i.latencyAt = old+(latency-old)/4, now
}

// expectedLatency is the time that a request is expectedLatency to take at the upstream.
func (i *entryInstance) expectedLatency(now catalog.Instant) time.Duration {
	halves := float64(now.Sub(i.latencyAt)) / float64(latencyHalfLife)
	return time.Duration(float64(i.latency) / (1 + halves))
}

// shouldYield reports whether a read leaves the primary to the work that only it can
// do.
func (e *Entry) shouldYield(r *entryRequest, i *entryInstance) bool {
	if r.primaryOnly || r.Objective <= 0 {
		return false
	}
	expected, budget := i.expectedLatency(e.now), r.service.baselines.latencyBudget(r.Database, r.Objective/2)
	if expected <= budget {
		return false
	}
	// Of reads that all yield the primary hears nothing, so some go on: the
	// square of the ratio, so that at four times the load that the primary can
	// take the time settles at twice the room, which is the objective.
	return max(e.randomBelow(expected), e.randomBelow(expected)) >= budget
}

// readBaselines is what the reads under each name of a service's databases take at an
// upstream that is not busy. Where not all can be served, more callers are if
// those with the longest work yield first.
type readBaselines struct {
	// latencies are low quantiles of the time that reads took, by database, mean
	// that of all reads.
	latencies map[string]time.Duration
	mean      time.Duration
}

// Weights of a time below the quantile and above it, which lies where as many
// times are below as the ratio of these says: at a ninth, where waiting for
// others hardly shows.
const (
	baselineDivisorBelow = 4
	baselineDivisorAbove = 32
)

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

// dropUnroutedBaselines drops what was learned of databases that no route names any more.
func (e *Entry) dropUnroutedBaselines() {
	known := map[string]bool{}
	for _, r := range e.routes {
		known[r.Database] = true
	}
	for _, s := range e.services {
		maps.DeleteFunc(s.baselines.latencies, func(database string, _ time.Duration) bool { return !known[database] })
	}
}

// maxBudgetFactor and minBudgetFactor bound how much more or less time reads may take for
// being shorter or longer than others.
const (
	maxBudgetFactor = 2.0
	minBudgetFactor = 0.25
)

// latencyBudget is the time that reads of a database may be expected to take before they
// yield, given that of reads with the usual work.
func (w *readBaselines) latencyBudget(database string, average time.Duration) time.Duration {
	baseline := w.latencies[database]
	if baseline == 0 || w.mean == 0 {
		return average
	}
	ratio := float64(w.mean) / float64(baseline)
	return time.Duration(float64(average) * min(max(ratio*ratio, minBudgetFactor), maxBudgetFactor))
}

// randomBelow returns a random time below a bound.
func (e *Entry) randomBelow(most time.Duration) time.Duration {
	return time.Duration(e.nextRandom() % uint64(most))
}

// Entries do not see each other's work, so a replica's load shows in the time
// that it takes. A read goes where it is expected to end first.
const (
	// minLatency keeps an upstream that was not used lately from looking free
	// of cost.
	minLatency = 5 * time.Millisecond
	// remoteCostFactor is how much longer an upstream of another site may take to be
	// chosen all the same; the way there costs little time but is paid for.
	remoteCostFactor = 2
)

// cost is the time after which a read is expected to end at the upstream,
// weighed by where it is.
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

// failedCost puts an upstream that has just failed a request behind all others.
const failedCost = time.Hour

// sortByCost orders replicas by cost, and those alike differently at each entry.
func (e *Entry) sortByCost(is []*entryInstance, r *entryRequest) {
	slices.SortStableFunc(is, func(a, b *entryInstance) int {
		if n := cmp.Compare(e.cost(a, r), e.cost(b, r)); n != 0 {
			return n
		}
		return cmp.Compare(a.preference, b.preference)
	})
}

// preferredReplica is the replica that this entry would read from if all were alike. A
// connection to it is kept open; others are opened when they are needed, since
// a connection of each entry to each upstream is more than they admit.
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
