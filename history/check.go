package history

import (
	"fmt"
	"math"
	"sort"
	"time"
)

// RowID names one row over all services.
type RowID struct {
	Service string
	Key     string
}

// FinalState is what was read back after the run.
type FinalState struct {
	// Bookings counts how often each booking is there.
	Bookings map[RowID]int
	Counters map[RowID]int64
	// Sum and WantSum are those of all accounts.
	Sum         int64
	ExpectedSum int64
}

// Verdict counts the violations.
type Verdict struct {
	// LostWrites counts acknowledged writes that are not there.
	LostWrites int
	// DuplicateWrites counts writes that took effect more than once.
	DuplicateWrites int
	// RefusedButPresent counts bookings that are there though refused.
	RefusedButPresent int
	// StaleReads counts reads older than the session had written or seen.
	StaleReads int
	// MaxAgeViolations counts browsing reads older than the age they accept.
	MaxAgeViolations int
	// UnwrittenValues counts reads of values that nobody wrote.
	UnwrittenValues int
	// SumMismatch is set if transfers made or lost money.
	SumMismatch bool
}

// IsClean reports whether nothing was violated.
func (v Verdict) IsClean() bool {
	return v == Verdict{}
}

// Check checks a run.
func Check(operations []Operation, final FinalState) Verdict {
	v := Verdict{SumMismatch: final.Sum != final.ExpectedSum}
	v.checkBookings(operations, final)
	v.checkCounters(operations, final)
	v.checkReads(operations, func(Operation) {})
	return v
}

// DescribeStaleReads names the stale reads.
func DescribeStaleReads(operations []Operation) []string {
	var out []string
	v := Verdict{}
	v.checkReads(operations, func(o Operation) {
		out = append(out, fmt.Sprintf("stale: session %s read %d of %s %s from %v to %v, replica %v",
			o.Session, o.Value, o.Service, o.Key, o.Start, o.End, o.Replica))
	})
	return out
}

// checkBookings joins the attempts at one booking: it may be there if any of
// them may have run.
func (v *Verdict) checkBookings(operations []Operation, final FinalState) {
	type bookingOutcome struct{ acknowledged, possible bool }
	bookings := map[RowID]bookingOutcome{}
	for _, o := range operations {
		if o.Kind != KindBooking {
			continue
		}
		f := bookings[RowID{o.Service, o.Key}]
		f.acknowledged = f.acknowledged || o.Outcome == OutcomeAcknowledged
		f.possible = f.possible || o.Outcome == OutcomeAcknowledged || o.Outcome == OutcomeUnknown
		bookings[RowID{o.Service, o.Key}] = f
	}
	for r, f := range bookings {
		n := final.Bookings[r]
		if f.acknowledged && n == 0 {
			v.LostWrites++
		}
		if n > 1 {
			v.DuplicateWrites++
		}
		if !f.possible && n > 0 {
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

// interval is when a write of a value was sent and when its answer came.
type interval struct{ start, end time.Duration }

// noEnd is the end of a write that may take effect at any time.
const noEnd = time.Duration(math.MaxInt64)

// registerWrites is what is known of one register's writes.
type registerWrites struct {
	// byValue holds the writes by value. One of unknown outcome never ends.
	byValue map[int64]interval
	// acknowledged marks the acknowledged writes by their end.
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

// visibilityFloors says up to which time which writes must show: a write that ended before
// the newest of them began is replaced for good. Writes and reads of a session
// may overlap, and only an order in time between two of them is an order.
type visibilityFloors struct{ floors []visibilityFloor }

type visibilityFloor struct{ from, writeStart time.Duration }

func (m *visibilityFloors) add(at, began time.Duration) {
	m.floors = append(m.floors, visibilityFloor{at, began})
}

// accumulate sorts the marks and has each carry the newest write up to it.
func (m *visibilityFloors) accumulate() {
	sort.Slice(m.floors, func(i, j int) bool { return m.floors[i].from < m.floors[j].from })
	for i := 1; i < len(m.floors); i++ {
		m.floors[i].writeStart = max(m.floors[i].writeStart, m.floors[i-1].writeStart)
	}
}

// writeStartAt is when the writeStartAt write that must show at a time began, and whether
// there is one.
func (m *visibilityFloors) writeStartAt(at time.Duration) (time.Duration, bool) {
	n := sort.Search(len(m.floors), func(i int) bool { return m.floors[i].from > at })
	if n == 0 {
		return 0, false
	}
	return m.floors[n-1].writeStart, true
}

// isSuperseded reports whether a write ended before one began that must show.
func (m *visibilityFloors) isSuperseded(write interval, at time.Duration) bool {
	began, ok := m.writeStartAt(at)
	return ok && write.end < began
}

// sessionRow is a session's look at one register.
type sessionRow struct {
	session string
	row     RowID
}

// collectReadFloors marks, for each session and register, what its reads showed by their
// end.
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

// LongestWriteGap returns the longest time between two acknowledged writes of one service
// that begins after the run's first second.
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
