package measure

import (
	"sort"
	"time"

	"github.com/kingcupknot/kingcupknot/history"
)

// Share returns how many of the reads that a replica could have answered were
// answered by one, and how many there were. A router that knows all can send a
// read to a replica if the session's last write ended at least the lag before
// the read began. For browsing it always can, as long as the lag is below the
// accepted age.
func ReplicaReadShare(operations []Operation, lag time.Duration, kind history.Kind) (served, possible int) {
	sorted := append([]Operation{}, operations...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].StartedAt.Before(sorted[j].StartedAt) })
	wrote := map[string]time.Time{}
	began := time.Time{}
	for _, o := range sorted {
		if began.IsZero() {
			began = o.StartedAt
		}
		if o.Kind.IsWrite() {
			wrote[o.Session] = o.EndedAt
			continue
		}
		if o.Kind != kind || o.Outcome != history.OutcomeAcknowledged {
			continue
		}
		// The rows were set up before the first operation, which counts as
		// the session's write until it has written.
		last, ok := wrote[o.Session]
		if !ok {
			last = began
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

// Quantile returns the latency of a share of the operations that were
// acknowledged, or else refused, of the given kinds.
func Quantile(operations []Operation, q float64, outcome history.Outcome, kinds ...history.Kind) (time.Duration, int) {
	var took []time.Duration
	for _, o := range operations {
		for _, k := range kinds {
			if o.Kind == k && o.Outcome == outcome {
				took = append(took, o.EndedAt.Sub(o.StartedAt))
			}
		}
	}
	return quantile(took, q), len(took)
}

func quantile(took []time.Duration, q float64) time.Duration {
	if len(took) == 0 {
		return 0
	}
	sort.Slice(took, func(i, j int) bool { return took[i] < took[j] })
	return took[min(len(took)-1, int(q*float64(len(took))))]
}

// Median returns the middle one of some latencies.
func Median(took []time.Duration) time.Duration {
	return quantile(took, 0.5)
}
