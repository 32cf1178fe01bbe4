package measure

import (
	"sort"
	"time"

	"github.com/kingcupknot/kingcupknot/history"
)

const (
	// gapWindow bounds how long after a fault the gap that it makes begins.
	gapWindow = 2 * time.Second
	// goodputStep is the width of the intervals that goodput is counted in.
	goodputStep = 100 * time.Millisecond
	// goodputBefore is how long before a fault the usual goodput is taken.
	goodputBefore = time.Second
	// goodputBack is the share of the usual goodput that counts as recovered.
	goodputBack = 0.95
	// goodputBound is how long recovery is waited for.
	goodputBound = 10 * time.Second
)

// Mark is the instant of a fault or a planned change.
type Mark struct {
	At time.Time
	// Row names the figure that the mark belongs to.
	Row     string
	Service string
}

// Gap returns the longest time between two acknowledged writes of the mark's
// service of which the first ended within a window after the mark, or is the
// last before it. It reports false if no write follows.
func Gap(operations []Operation, m Mark) (time.Duration, bool) {
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

// NotDone counts the operations of a service that ended otherwise than
// acknowledged within a second after a mark, refusals included.
func NotDone(operations []Operation, m Mark) int {
	n := 0
	for _, o := range operations {
		if o.Service == m.Service && o.Outcome != history.OutcomeAcknowledged &&
			o.EndedAt.After(m.At) && o.EndedAt.Before(m.At.Add(time.Second)) {
			n++
		}
	}
	return n
}

// Recovery returns how long after a mark the goodput of its service was back,
// to the end of the first interval that it was back in.
func Recovery(operations []Operation, m Mark) (time.Duration, bool) {
	usual := 0
	after := make([]int, goodputBound/goodputStep)
	last := time.Duration(0)
	for _, o := range operations {
		if o.Service != m.Service || o.Outcome != history.OutcomeAcknowledged {
			continue
		}
		d := o.EndedAt.Sub(m.At)
		last = max(last, d)
		if d < 0 && d >= -goodputBefore {
			usual++
		}
		if d >= 0 && d < goodputBound {
			after[d/goodputStep]++
		}
	}
	want := goodputBack * float64(usual) * float64(goodputStep) / float64(goodputBefore)
	dipped := false
	for n, got := range after {
		end := time.Duration(n+1) * goodputStep
		if end > last {
			break
		}
		if float64(got) < want && !dipped {
			dipped = true
			continue
		}
		if dipped && float64(got) >= want {
			return end, true
		}
		if !dipped && n > 0 {
			return 0, true
		}
	}
	return 0, false
}
