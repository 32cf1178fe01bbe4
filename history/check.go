package history

import (
	"fmt"
	"math"
	"sort"
	"time"
)

// Row names one row over all services.
type Row struct {
	Service string
	Key     string
}

// Final is what was read back after the run.
type Final struct {
	// Bookings counts how often each booking is there.
	Bookings map[Row]int
	Counters map[Row]int64
	// Sum and WantSum are those of all accounts.
	Sum     int64
	WantSum int64
}

// Verdict counts the violations.
type Verdict struct {
	// Lost counts acknowledged writes that are not there.
	Lost int
	// Doubled counts writes that took effect more than once.
	Doubled int
	// RefusedPresent counts bookings that are there though refused.
	RefusedPresent int
	// Stale counts reads older than the session had written or seen.
	Stale int
	// TooOld counts browsing reads older than the age they accept.
	TooOld int
	// Invented counts reads of values that nobody wrote.
	Invented int
	// SumWrong is set if transfers made or lost money.
	SumWrong bool
}

// Good reports whether nothing was violated.
func (v Verdict) Good() bool {
	return v == Verdict{}
}

// Check checks a run.
func Check(operations []Operation, final Final) Verdict {
	v := Verdict{SumWrong: final.Sum != final.WantSum}
	v.checkBookings(operations, final)
	v.checkCounters(operations, final)
	v.checkReads(operations, func(Operation) {})
	return v
}

// Explain names the stale reads.
func Explain(operations []Operation) []string {
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
func (v *Verdict) checkBookings(operations []Operation, final Final) {
	type fate struct{ acknowledged, possible bool }
	fates := map[Row]fate{}
	for _, o := range operations {
		if o.Kind != KindBooking {
			continue
		}
		f := fates[Row{o.Service, o.Key}]
		f.acknowledged = f.acknowledged || o.Outcome == OutcomeAcknowledged
		f.possible = f.possible || o.Outcome == OutcomeAcknowledged || o.Outcome == OutcomeUnknown
		fates[Row{o.Service, o.Key}] = f
	}
	for r, f := range fates {
		n := final.Bookings[r]
		if f.acknowledged && n == 0 {
			v.Lost++
		}
		if n > 1 {
			v.Doubled++
		}
		if !f.possible && n > 0 {
			v.RefusedPresent++
		}
	}
}

func (v *Verdict) checkCounters(operations []Operation, final Final) {
	sure, possible := map[Row]int64{}, map[Row]int64{}
	for _, o := range operations {
		if o.Kind != KindCounter {
			continue
		}
		switch o.Outcome {
		case OutcomeAcknowledged:
			sure[Row{o.Service, o.Key}]++
		case OutcomeUnknown:
			possible[Row{o.Service, o.Key}]++
		}
	}
	for r, n := range final.Counters {
		v.Lost += int(max(sure[r]-n, 0))
		v.Doubled += int(max(n-sure[r]-possible[r], 0))
	}
}

// span is when a write of a value was sent and when its answer came.
type span struct{ start, end time.Duration }

// forever is the end of a write that may take effect at any time.
const forever = time.Duration(math.MaxInt64)

// written is what is known of one register's writes.
type written struct {
	// spans holds the writes by value. One of unknown outcome never ends.
	spans map[int64]span
	// done marks the acknowledged writes by their end.
	done marks
}

func registers(operations []Operation) map[Row]*written {
	out := map[Row]*written{}
	for _, o := range operations {
		if o.Kind != KindRegisterWrite {
			continue
		}
		r := Row{o.Service, o.Key}
		if out[r] == nil {
			out[r] = &written{spans: map[int64]span{0: {}}}
		}
		w := span{o.Start, o.End}
		switch o.Outcome {
		case OutcomeAcknowledged:
			out[r].done.add(o.End, o.Start)
		case OutcomeUnknown:
			w.end = forever
		}
		out[r].spans[o.Value] = w
	}
	for _, w := range out {
		w.done.seal()
	}
	return out
}

// marks says up to which time which writes must show: a write that ended before
// the newest of them began is replaced for good. Writes and reads of a session
// may overlap, and only an order in time between two of them is an order.
type marks struct{ list []mark }

type mark struct{ at, began time.Duration }

func (m *marks) add(at, began time.Duration) {
	m.list = append(m.list, mark{at, began})
}

// seal sorts the marks and has each carry the newest write up to it.
func (m *marks) seal() {
	sort.Slice(m.list, func(i, j int) bool { return m.list[i].at < m.list[j].at })
	for i := 1; i < len(m.list); i++ {
		m.list[i].began = max(m.list[i].began, m.list[i-1].began)
	}
}

// newest is when the newest write that must show at a time began, and whether
// there is one.
func (m *marks) newest(by time.Duration) (time.Duration, bool) {
	n := sort.Search(len(m.list), func(i int) bool { return m.list[i].at > by })
	if n == 0 {
		return 0, false
	}
	return m.list[n-1].began, true
}

// replaced reports whether a write ended before one began that must show.
func (m *marks) replaced(w span, by time.Duration) bool {
	began, ok := m.newest(by)
	return ok && w.end < began
}

// view is a session's look at one register.
type view struct {
	session string
	row     Row
}

// sights marks, for each session and register, what its reads showed by their
// end.
func sights(operations []Operation, writes map[Row]*written) map[view]*marks {
	out := map[view]*marks{}
	for _, o := range operations {
		if o.Kind != KindRegisterRead || o.Outcome != OutcomeAcknowledged || writes[Row{o.Service, o.Key}] == nil {
			continue
		}
		s := view{o.Session, Row{o.Service, o.Key}}
		if out[s] == nil {
			out[s] = &marks{}
		}
		out[s].add(o.End, writes[s.row].spans[o.Value].start)
	}
	for _, m := range out {
		m.seal()
	}
	return out
}

func (v *Verdict) checkReads(operations []Operation, stale func(Operation)) {
	writes := registers(operations)
	seen := sights(operations, writes)
	for _, o := range operations {
		if o.Kind.IsWrite() || o.Outcome != OutcomeAcknowledged {
			continue
		}
		row := Row{o.Service, o.Key}
		w := writes[row]
		if w == nil {
			w = &written{spans: map[int64]span{0: {}}}
		}
		shown, ok := w.spans[o.Value]
		switch {
		case !ok || shown.start > o.End:
			v.Invented++
		case o.Kind == KindBrowse:
			if w.done.replaced(shown, o.Start-o.MaxAge) {
				v.TooOld++
			}
		case w.done.replaced(shown, o.Start) || seen[view{o.Session, row}] != nil && seen[view{o.Session, row}].replaced(shown, o.Start):
			v.Stale++
			stale(o)
		}
	}
}

// Gap returns the longest time between two acknowledged writes of one service
// that begins after the run's first second.
func Gap(operations []Operation) time.Duration {
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
