package measure

import (
	"sort"
	"time"

	"github.com/kingcupknot/kingcupknot/history"
)

const (
	// gapWindow is the longest time from a fault to the start of its gap.
	gapWindow = 2 * time.Second
	// goodputInterval is the length of the intervals in which goodput is counted.
	goodputInterval = 100 * time.Millisecond
	// goodputBaselineWindow is the time before a fault over which the baseline
	// goodput is counted.
	goodputBaselineWindow = time.Second
	// recoveredGoodputShare is the share of the baseline goodput that counts as
	// recovered.
	recoveredGoodputShare = 0.95
	// recoveryTimeout is the longest time after a fault in which goodput may
	// recover.
	recoveryTimeout = 10 * time.Second
)

// Mark is the time of a fault or a planned change of primary.
type Mark struct {
	At time.Time
	// Figure is the name of the figure that the mark belongs to.
	Figure  string
	Service string
}

// LongestWriteGap returns the longest time between the ends of two consecutive
// acknowledged writes of the mark's service. The first of the two is the last
// write before the mark or ended within gapWindow after it. It returns false if
// no acknowledged write follows the mark.
func LongestWriteGap(operations []Operation, m Mark) (time.Duration, bool) {
	var ends []time.Time
	for _, o := range operations {
		if o.Service == m.Service && o.Kind.IsWrite() && o.Outcome == history.OutcomeAcknowledged {
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

// CountUnacknowledged counts the operations of the mark's service that ended
// within a second after the mark and were not acknowledged, refusals included.
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

// RecoveryTime returns the time from a mark to the end of the first interval in
// which the goodput of the mark's service has recovered. It returns 0 if goodput
// did not drop in the first two intervals after the mark, and false if goodput did
// not recover within recoveryTimeout or before the last acknowledged operation.
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
