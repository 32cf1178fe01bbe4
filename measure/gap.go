package measure

import (
	"sort"
	"time"

	"github.com/kingcupknot/kingcupknot/history"
)

const (
	// gapWindow bounds how long after a fault the gap that it makes begins.
	gapWindow = 2 * time.Second
	// goodputInterval is the width of the intervals that goodput is counted in.
	goodputInterval = 100 * time.Millisecond
	// goodputBaselineWindow is how long before a fault the usual goodput is taken.
	goodputBaselineWindow = time.Second
	// recoveredGoodputShare is the share of the usual goodput that counts as recovered.
	recoveredGoodputShare = 0.95
	// recoveryTimeout is how long recovery is waited for.
	recoveryTimeout = 10 * time.Second
)

// Mark is the instant of a fault or a planned change.
type Mark struct {
	At time.Time
	// Figure names the figure that the mark belongs to.
	Figure  string
	Service string
}

// LongestWriteGap returns the longest time between two acknowledged writes of the mark's
// service of which the first ended within a window after the mark, or is the
// last before it. It reports false if no write follows.
func LongestWriteGap(operations []Operation, m Mark) (time.Duration, bool) {
	var ends []time.Time
	for _, o := range operations {
		if o.Service == m.Service && o.Kind.Writes() && o.Outcome == history.OutcomeAcknowledged {
			ends = append(ends, o.EndedAt)
		}
	}
	sort.Slice(ends, func(i, j int) bool { return ends[i].Before(ends[j]) })
	longest, found := time.Duration(0), false
	for n := 1; n < len(ends); n++ {
		if ends[n].Before(m.At) || ends[n-1].After(m.At.Add(gapWindow)) {
			continue
		}
		longest, found = max(longest, ends[n].Sub(ends[n-1])), true
	}
	return longest, found
}

// CountUnacknowledged counts the operations of a service that ended otherwise than
// acknowledged within a second after a mark, refusals included.
func CountUnacknowledged(operations []Operation, m Mark) int {
	n := 0
	for _, o := range operations {
		if o.Service == m.Service && o.Outcome != history.OutcomeAcknowledged &&
			o.EndedAt.After(m.At) && o.EndedAt.Before(m.At.Add(time.Second)) {
			n++
		}
	}
	return n
}

// RecoveryTime returns how long after a mark the goodput of its service was back,
// to the end of the first interval that it was back in.
func RecoveryTime(operations []Operation, m Mark) (time.Duration, bool) {
	baselineCount := 0
	countsPerInterval := make([]int, recoveryTimeout/goodputInterval)
	lastAcknowledged := time.Duration(0)
	for _, o := range operations {
		if o.Service != m.Service || o.Outcome != history.OutcomeAcknowledged {
			continue
		}
		d := o.EndedAt.Sub(m.At)
		lastAcknowledged = max(lastAcknowledged, d)
		if d < 0 && d >= -goodputBaselineWindow {
			baselineCount++
		}
		if d >= 0 && d < recoveryTimeout {
			countsPerInterval[d/goodputInterval]++
		}
	}
	threshold := recoveredGoodputShare * float64(baselineCount) * float64(goodputInterval) / float64(goodputBaselineWindow)
	hasDipped := false
	for n, count := range countsPerInterval {
		end := time.Duration(n+1) * goodputInterval
		if end > lastAcknowledged {
			break
		}
		if float64(count) < threshold && !hasDipped {
			hasDipped = true
			continue
		}
		if hasDipped && float64(count) >= threshold {
			return end, true
		}
		if !hasDipped && n > 0 {
			return 0, true
		}
	}
	return 0, false
}
