package measure

import (
	"sort"
	"time"

	"github.com/kingcupknot/kingcupknot/history"
)

// ReplicaReadShare counts the reads of a kind that a replica could have served,
// and how many of them a replica did serve. A router with full knowledge could
// send a read to a replica if the session's last write ended at least the
// replication lag before the read started. It could send every browsing read to a
// replica, as long as the lag is below the age that browsing accepts.
func ReplicaReadShare(operations []Operation, lag time.Duration, kind history.Kind) (served, possible int) {
	sorted := append([]Operation{}, operations...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].StartedAt.Before(sorted[j].StartedAt) })
	lastWriteEnds := map[string]time.Time{}
	firstStart := time.Time{}
	for _, o := range sorted {
		if firstStart.IsZero() {
			firstStart = o.StartedAt
		}
		if o.Kind.IsWrite() {
			lastWriteEnds[o.Session] = o.EndedAt
			continue
		}
		if o.Kind != kind || o.Outcome != history.OutcomeAcknowledged {
			continue
		}
		// The rows were written before the first operation. For a session
		// without a write so far, the start of the first operation counts as
		// the end of its last write.
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

// LatencyQuantile returns the quantile q of the latencies of the operations with
// the given outcome and kinds, and the number of these operations. The latency is 0
// if there are none.
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

// MedianLatency returns the median of latencies, or 0 if there are none. It sorts
// them in place.
func MedianLatency(latencies []time.Duration) time.Duration {
	return quantile(latencies, 0.5)
}
