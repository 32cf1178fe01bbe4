package history

import (
	"fmt"
	"math"
	"sort"
	"time"
)

// RowID identifies a row across all services.
type RowID struct {
	Service string
	Key     string
}

// FinalState is the content of the tables after the run.
type FinalState struct {
	// Bookings is the number of rows of each booking.
	Bookings map[RowID]int
	Counters map[RowID]int64
	// Sum is the sum of all accounts after the run. ExpectedSum is their sum
	// before the run, which transfers must not change.
	Sum         int64
	ExpectedSum int64
}

// Verdict counts the violations in a run, by kind.
type Verdict struct {
	// LostWrites counts acknowledged writes that are missing after the run.
	LostWrites int
	// DuplicateWrites counts bookings that took effect more than once, and
	// increments of counters beyond the acknowledged and unknown ones.
	DuplicateWrites int
	// RefusedButPresent counts bookings that exist although all attempts at
	// them were refused or failed.
	RefusedButPresent int
	// StaleReads counts reads that returned a value older than what the
	// session had written or read before.
	StaleReads int
	// MaxAgeViolations counts browsing reads that returned a value older than
	// their MaxAge.
	MaxAgeViolations int
	// UnwrittenValues counts reads of values that no caller tried to write
	// before the end of the read. A write that was refused or failed counts as
	// an attempt.
	UnwrittenValues int
	// SumMismatch is set if transfers changed the sum of all accounts.
	SumMismatch bool
}

// IsClean reports whether there are no violations.
func (v Verdict) IsClean() bool {
	return v == Verdict{}
}

// Check compares the operations of a run with each other and with the final
// state, and returns the violations.
func Check(operations []Operation, final FinalState) Verdict {
	v := Verdict{SumMismatch: final.Sum != final.ExpectedSum}
	v.checkBookings(operations, final)
	v.checkCounters(operations, final)
	v.checkReads(operations, func(Operation) {})
	return v
}

// DescribeStaleReads returns a line of text for each stale read.
func DescribeStaleReads(operations []Operation) []string {
	var out []string
	v := Verdict{}
	v.checkReads(operations, func(o Operation) {
		out = append(out, fmt.Sprintf("stale: session %s read %d of %s %s from %v to %v, replica %v",
			o.Session, o.Value, o.Service, o.Key, o.Start, o.End, o.Replica))
	})
	return out
}

// checkBookings combines the attempts at each booking: the booking may exist if
// any of its attempts may have run.
func (v *Verdict) checkBookings(operations []Operation, final FinalState) {
	type bookingOutcome struct{ acknowledged, possible bool }
	bookings := map[RowID]bookingOutcome{}
	for _, o := range operations {
		if o.Kind != KindBooking {
			continue
		}
		outcome := bookings[RowID{o.Service, o.Key}]
		outcome.acknowledged = outcome.acknowledged || o.Outcome == OutcomeAcknowledged
		outcome.possible = outcome.possible || o.Outcome == OutcomeAcknowledged || o.Outcome == OutcomeUnknown
		bookings[RowID{o.Service, o.Key}] = outcome
	}
	for r, outcome := range bookings {
		n := final.Bookings[r]
		if outcome.acknowledged && n == 0 {
			v.LostWrites++
		}
		if n > 1 {
			v.DuplicateWrites++
		}
		if !outcome.possible && n > 0 {
			v.RefusedButPresent++
		}
	}
}

func (v *Verdict) checkCounters(operations []Operation, final FinalState) {
	acknowledged, unknown := map[RowID]int64{}, map[RowID]int64{}
	for _, o := range operations {
		if o.Kind != KindCounter {
			continue
		}
		switch o.Outcome {
		case OutcomeAcknowledged:
			acknowledged[RowID{o.Service, o.Key}]++
		case OutcomeUnknown:
			unknown[RowID{o.Service, o.Key}]++
		}
	}
	for r, n := range final.Counters {
		v.LostWrites += int(max(acknowledged[r]-n, 0))
		v.DuplicateWrites += int(max(n-acknowledged[r]-unknown[r], 0))
	}
}

// interval is the time from the start of a write to its answer. The write takes
// effect in between.
type interval struct{ start, end time.Duration }

// noEnd is the end of a write of unknown outcome, which may take effect at any
// time.
const noEnd = time.Duration(math.MaxInt64)

// registerWrites holds all writes to one register, whatever their outcome.
type registerWrites struct {
	// byValue holds the interval of each write by the value written. A write
	// of unknown outcome ends at noEnd. The initial value 0 counts as written
	// before the run.
	byValue map[int64]interval
	// acknowledged has a floor for each acknowledged write, from its end on.
	acknowledged visibilityFloors
}

func collectRegisterWrites(operations []Operation) map[RowID]*registerWrites {
	out := map[RowID]*registerWrites{}
	for _, o := range operations {
		if o.Kind != KindRegisterWrite {
			continue
		}
		r := RowID{o.Service, o.Key}
		if out[r] == nil {
			out[r] = &registerWrites{byValue: map[int64]interval{0: {}}}
		}
		w := interval{o.Start, o.End}
		switch o.Outcome {
		case OutcomeAcknowledged:
			out[r].acknowledged.add(o.End, o.Start)
		case OutcomeUnknown:
			w.end = noEnd
		}
		out[r].byValue[o.Value] = w
	}
	for _, w := range out {
		w.acknowledged.accumulate()
	}
	return out
}

// visibilityFloors gives, for any time, the newest write that a read must show
// from then on. A write that ended before the newest one started is superseded.
// Writes and reads of a session may overlap: two of them are ordered only if
// one ended before the other started.
type visibilityFloors struct{ floors []visibilityFloor }

// visibilityFloor says that reads that start after from must show the write that
// started at writeStart, or a newer one.
type visibilityFloor struct{ from, writeStart time.Duration }

func (m *visibilityFloors) add(from, writeStart time.Duration) {
	m.floors = append(m.floors, visibilityFloor{from, writeStart})
}

// accumulate sorts the floors by time and raises each to the newest write of
// all floors up to it. It must be called before the floors are queried.
func (m *visibilityFloors) accumulate() {
	sort.Slice(m.floors, func(i, j int) bool { return m.floors[i].from < m.floors[j].from })
	for i := 1; i < len(m.floors); i++ {
		m.floors[i].writeStart = max(m.floors[i].writeStart, m.floors[i-1].writeStart)
	}
}

// writeStartAt returns the start of the newest write that a read must show at
// the time, and whether there is one.
func (m *visibilityFloors) writeStartAt(at time.Duration) (time.Duration, bool) {
	n := sort.Search(len(m.floors), func(i int) bool { return m.floors[i].from > at })
	if n == 0 {
		return 0, false
	}
	return m.floors[n-1].writeStart, true
}

// isSuperseded reports whether the write ended before the start of the newest
// write that a read must show at the time.
func (m *visibilityFloors) isSuperseded(write interval, at time.Duration) bool {
	newestStart, ok := m.writeStartAt(at)
	return ok && write.end < newestStart
}

// sessionRow identifies a register together with a session that reads it.
type sessionRow struct {
	session string
	row     RowID
}

// collectReadFloors returns, for each session and register, the floors that the
// session's earlier reads set: from the end of a read on, later reads must not
// show an older write.
func collectReadFloors(operations []Operation, writes map[RowID]*registerWrites) map[sessionRow]*visibilityFloors {
	out := map[sessionRow]*visibilityFloors{}
	for _, o := range operations {
		if o.Kind != KindRegisterRead || o.Outcome != OutcomeAcknowledged || writes[RowID{o.Service, o.Key}] == nil {
			continue
		}
		s := sessionRow{o.Session, RowID{o.Service, o.Key}}
		if out[s] == nil {
			out[s] = &visibilityFloors{}
		}
		out[s].add(o.End, writes[s.row].byValue[o.Value].start)
	}
	for _, m := range out {
		m.accumulate()
	}
	return out
}

// checkReads counts the violations of acknowledged reads and calls onStale for
// each stale one.
func (v *Verdict) checkReads(operations []Operation, onStale func(Operation)) {
	writes := collectRegisterWrites(operations)
	readFloors := collectReadFloors(operations, writes)
	for _, o := range operations {
		if o.Kind.IsWrite() || o.Outcome != OutcomeAcknowledged {
			continue
		}
		row := RowID{o.Service, o.Key}
		w := writes[row]
		if w == nil {
			w = &registerWrites{byValue: map[int64]interval{0: {}}}
		}
		shownWrite, ok := w.byValue[o.Value]
		switch {
		case !ok || shownWrite.start > o.End:
			v.UnwrittenValues++
		case o.Kind == KindBrowse:
			if w.acknowledged.isSuperseded(shownWrite, o.Start-o.MaxAge) {
				v.MaxAgeViolations++
			}
		case w.acknowledged.isSuperseded(shownWrite, o.Start) || readFloors[sessionRow{o.Session, row}] != nil && readFloors[sessionRow{o.Session, row}].isSuperseded(shownWrite, o.Start):
			v.StaleReads++
			onStale(o)
		}
	}
}

// LongestWriteGap returns the longest time between the ends of two successive
// acknowledged writes to one service. It ignores writes that ended in the first
// second of the run.
func LongestWriteGap(operations []Operation) time.Duration {
	ends := map[string][]time.Duration{}
	for _, o := range operations {
		if o.Kind.IsWrite() && o.Outcome == OutcomeAcknowledged && o.End >= time.Second {
			ends[o.Service] = append(ends[o.Service], o.End)
		}
	}
	longest := time.Duration(0)
	for _, e := range ends {
		sort.Slice(e, func(i, j int) bool { return e[i] < e[j] })
		for i := 1; i < len(e); i++ {
			longest = max(longest, e[i]-e[i-1])
		}
	}
	return longest
}
