package measure

import (
	"sort"
	"time"

	"github.com/kingcupknot/kingcupknot/history"
)

// ReplicaReadShare returns how many of the reads that a replica could have answered were
// answered by one, and how many there were. A router that knows all can send a
// read to a replica if the session's last write ended at least the lag before
// the read began. For browsing it always can, as long as the lag is below the
// accepted age.
func ReplicaReadShare(operations []Operation, lag time.Duration, kind history.Kind) (served, possible int) {
	sorted := append([]Operation{}, operations...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].StartedAt.Before(sorted[j].StartedAt) })
	lastWriteEnds := map[string]time.Time{}
	firstStart := time.Time{}
	for _, o := range sorted {
		if firstStart.IsZero() {
			firstStart = o.StartedAt
		}
		if o.Kind.Writes() {
			lastWriteEnds[o.Session] = o.EndedAt
			continue
		}
		if o.Kind != kind || o.Outcome != history.OutcomeAcknowledged {
			continue
		}
		// The rows were set up before the first operation, which counts as
		// the session's write until it has written.
		last, ok := lastWriteEnds[o.Session]
		if !ok {
			last = firstStart
		}
		if kind != history.KindBrowse && o.StartedAt.Before(last.Add(lag)) {
			continue
		}
		possible++
		if o.Replica {
			served++
		}
	}
	return served, possible
}

// LatencyQuantile returns the latency of a share of the operations that were
// acknowledged, or else refused, of the given kinds.
func LatencyQuantile(operations []Operation, q float64, outcome history.Outcome, kinds ...history.Kind) (time.Duration, int) {
	var latencies []time.Duration
	for _, o := range operations {
		for _, k := range kinds {
			if o.Kind == k && o.Outcome == outcome {
				latencies = append(latencies, o.EndedAt.Sub(o.StartedAt))
			}
		}
	}
	return quantile(latencies, q), len(latencies)
}

func quantile(latencies []time.Duration, q float64) time.Duration {
	if len(latencies) == 0 {
		return 0
	}
	sort.Slice(latencies, func(i, j int) bool { return latencies[i] < latencies[j] })
	return latencies[min(len(latencies)-1, int(q*float64(len(latencies))))]
}

// MedianLatency returns the middle one of some latencies.
func MedianLatency(latencies []time.Duration) time.Duration {
	return quantile(latencies, 0.5)
}
