package history

import (
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
	v.checkReads(operations)
	return v
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

// written is what is known of one register's writes.
type written struct {
	// acknowledged are the acknowledged writes in the order of their end.
	// Invariant: one writer makes values rise with it.
	acknowledged []Operation
	// unknown are values that may take effect at any time after their start.
	unknown map[int64]bool
	issued  map[int64]time.Duration
}

func registers(operations []Operation) map[Row]*written {
	out := map[Row]*written{}
	for _, o := range operations {
		if o.Kind != KindWrite {
			continue
		}
		r := Row{o.Service, o.Key}
		if out[r] == nil {
			out[r] = &written{unknown: map[int64]bool{}, issued: map[int64]time.Duration{0: 0}}
		}
		out[r].issued[o.Value] = o.Start
		switch o.Outcome {
		case OutcomeAcknowledged:
			out[r].acknowledged = append(out[r].acknowledged, o)
		case OutcomeUnknown:
			out[r].unknown[o.Value] = true
		}
	}
	for _, w := range out {
		sort.Slice(w.acknowledged, func(i, j int) bool {
			return w.acknowledged[i].End < w.acknowledged[j].End
		})
	}
	return out
}

// floor returns the newest value acknowledged by a time.
func (w *written) floor(by time.Duration) int64 {
	n := sort.Search(len(w.acknowledged), func(i int) bool { return w.acknowledged[i].End > by })
	if n == 0 {
		return 0
	}
	return w.acknowledged[n-1].Value
}

func (v *Verdict) checkReads(operations []Operation) {
	writes := registers(operations)
	reads := append([]Operation{}, operations...)
	sort.SliceStable(reads, func(i, j int) bool { return reads[i].Start < reads[j].Start })
	type view struct {
		session string
		row     Row
	}
	seen := map[view]int64{}
	for _, o := range reads {
		w := writes[Row{o.Service, o.Key}]
		if o.Kind.Writes() || o.Outcome != OutcomeAcknowledged {
			continue
		}
		if w == nil {
			w = &written{}
		}
		if at, ok := w.issued[o.Value]; o.Value != 0 && (!ok || at > o.End) {
			v.Invented++
			continue
		}
		// A write of unknown outcome may land late, over a newer one.
		late := w.unknown[o.Value]
		if o.Kind == KindBrowse {
			if o.Value < w.floor(o.Start-o.MaxAge) && !late {
				v.TooOld++
			}
			continue
		}
		s := view{o.Session, Row{o.Service, o.Key}}
		if o.Value < max(w.floor(o.Start), seen[s]) && !late {
			v.Stale++
		}
		seen[s] = max(seen[s], o.Value)
	}
}

// Gap returns the longest time between two acknowledged writes of one service
// that begins after the run's first second.
func Gap(operations []Operation) time.Duration {
	ends := map[string][]time.Duration{}
	for _, o := range operations {
		if o.Kind.Writes() && o.Outcome == OutcomeAcknowledged && o.End >= time.Second {
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
