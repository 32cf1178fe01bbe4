package history

import (
	"testing"
	"time"
)

const ms = time.Millisecond

func op(k Kind, value int64, start, end time.Duration, o Outcome) Operation {
	return Operation{
		Service: "shop", Session: "s", Kind: k, Key: "k", Value: value,
		Start: start, End: end, Outcome: o, MaxAge: 50 * ms,
	}
}

// TestCheckCountsViolations guards against a checker that misses a violation or
// reports one where writes and reads overlap or an outcome is unknown.
func TestCheckCountsViolations(t *testing.T) {
	ack, refused, unknown := OutcomeAcknowledged, OutcomeRefused, OutcomeUnknown
	row := RowID{"shop", "k"}
	booked := func(n int) FinalState { return FinalState{Bookings: map[RowID]int{row: n}} }
	counted := func(n int64) FinalState { return FinalState{Counters: map[RowID]int64{row: n}} }
	write, laterWrite := op(KindRegisterWrite, 1, 0, 10*ms, ack), op(KindRegisterWrite, 2, 20*ms, 30*ms, ack)
	for name, test := range map[string]struct {
		operations []Operation
		final      FinalState
		want       Verdict
	}{
		"booking present":            {[]Operation{op(KindBooking, 0, 0, ms, ack)}, booked(1), Verdict{}},
		"booking lost":               {[]Operation{op(KindBooking, 0, 0, ms, ack)}, booked(0), Verdict{LostWrites: 1}},
		"booking doubled":            {[]Operation{op(KindBooking, 0, 0, ms, ack)}, booked(2), Verdict{DuplicateWrites: 1}},
		"refused but present":        {[]Operation{op(KindBooking, 0, 0, ms, refused)}, booked(1), Verdict{RefusedButPresent: 1}},
		"unknown and present":        {[]Operation{op(KindBooking, 0, 0, ms, unknown)}, booked(1), Verdict{}},
		"unknown and missing":        {[]Operation{op(KindBooking, 0, 0, ms, unknown)}, booked(0), Verdict{}},
		"unknown, then refused":      {[]Operation{op(KindBooking, 0, 0, ms, unknown), op(KindBooking, 0, ms, 2*ms, refused)}, booked(1), Verdict{}},
		"counter short":              {[]Operation{op(KindCounter, 0, 0, ms, ack)}, counted(0), Verdict{LostWrites: 1}},
		"counter over":               {[]Operation{op(KindCounter, 0, 0, ms, ack), op(KindCounter, 0, 0, ms, unknown)}, counted(3), Verdict{DuplicateWrites: 1}},
		"refused increment ran":      {[]Operation{op(KindCounter, 0, 0, ms, refused)}, counted(1), Verdict{DuplicateWrites: 1}},
		"sum wrong":                  {nil, FinalState{Sum: 1}, Verdict{SumMismatch: true}},
		"own write read":             {[]Operation{write, op(KindRegisterRead, 1, 11*ms, 12*ms, ack)}, FinalState{}, Verdict{}},
		"own write not read":         {[]Operation{write, laterWrite, op(KindRegisterRead, 1, 31*ms, 32*ms, ack)}, FinalState{}, Verdict{StaleReads: 1}},
		"write still running":        {[]Operation{write, laterWrite, op(KindRegisterRead, 1, 25*ms, 32*ms, ack)}, FinalState{}, Verdict{}},
		"reads overlap":              {[]Operation{write, laterWrite, op(KindRegisterRead, 2, 22*ms, 28*ms, ack), op(KindRegisterRead, 1, 25*ms, 26*ms, ack)}, FinalState{}, Verdict{}},
		"writes overlap":             {[]Operation{write, laterWrite, op(KindRegisterWrite, 3, 25*ms, 35*ms, ack), op(KindRegisterRead, 2, 40*ms, 41*ms, ack)}, FinalState{}, Verdict{}},
		"superseded write read":      {[]Operation{write, laterWrite, op(KindRegisterWrite, 3, 25*ms, 35*ms, ack), op(KindRegisterRead, 1, 40*ms, 41*ms, ack)}, FinalState{}, Verdict{StaleReads: 1}},
		"reads go back":              {[]Operation{write, laterWrite, op(KindRegisterRead, 2, 22*ms, 24*ms, ack), op(KindRegisterRead, 1, 25*ms, 26*ms, ack)}, FinalState{}, Verdict{StaleReads: 1}},
		"unknown write applied late": {[]Operation{op(KindRegisterWrite, 1, 0, ms, unknown), laterWrite, op(KindRegisterRead, 1, 31*ms, 32*ms, ack)}, FinalState{}, Verdict{}},
		"refused write read":         {[]Operation{laterWrite, op(KindRegisterRead, 7, 31*ms, 32*ms, ack)}, FinalState{}, Verdict{UnwrittenValues: 1}},
		"read before written":        {[]Operation{laterWrite, op(KindRegisterRead, 2, 0, ms, ack)}, FinalState{}, Verdict{UnwrittenValues: 1}},
		"browse within max age":      {[]Operation{write, laterWrite, op(KindBrowse, 1, 79*ms, 90*ms, ack)}, FinalState{}, Verdict{}},
		"browse over max age":        {[]Operation{write, laterWrite, op(KindBrowse, 1, 81*ms, 90*ms, ack)}, FinalState{}, Verdict{MaxAgeViolations: 1}},
	} {
		if got := Check(test.operations, test.final); got != test.want {
			t.Errorf("%s: got %+v, want %+v", name, got, test.want)
		}
	}
}

// TestLongestWriteGap guards against a gap that counts the first second, reads,
// or writes that were not acknowledged.
func TestLongestWriteGap(t *testing.T) {
	ack := OutcomeAcknowledged
	got := LongestWriteGap([]Operation{
		op(KindBooking, 0, 0, 100*ms, ack), op(KindBooking, 0, 0, 1100*ms, ack),
		op(KindRegisterRead, 0, 0, 1200*ms, ack), op(KindRegisterWrite, 1, 0, 1250*ms, OutcomeUnknown),
		op(KindRegisterWrite, 2, 0, 1400*ms, ack),
	})
	if got != 300*ms {
		t.Errorf("got a gap of %v, want 300ms", got)
	}
}
