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

func TestCheckFindsBadHistories(t *testing.T) {
	ack, refused, unknown := OutcomeAcknowledged, OutcomeRefused, OutcomeUnknown
	row := Row{"shop", "k"}
	there := func(n int) Final { return Final{Bookings: map[Row]int{row: n}} }
	counted := func(n int64) Final { return Final{Counters: map[Row]int64{row: n}} }
	write, late := op(KindRegisterWrite, 1, 0, 10*ms, ack), op(KindRegisterWrite, 2, 20*ms, 30*ms, ack)
	for name, x := range map[string]struct {
		operations []Operation
		final      Final
		want       Verdict
	}{
		"booking there":            {[]Operation{op(KindBooking, 0, 0, ms, ack)}, there(1), Verdict{}},
		"booking lost":             {[]Operation{op(KindBooking, 0, 0, ms, ack)}, there(0), Verdict{Lost: 1}},
		"booking doubled":          {[]Operation{op(KindBooking, 0, 0, ms, ack)}, there(2), Verdict{Doubled: 1}},
		"refused and there":        {[]Operation{op(KindBooking, 0, 0, ms, refused)}, there(1), Verdict{RefusedPresent: 1}},
		"unknown and there":        {[]Operation{op(KindBooking, 0, 0, ms, unknown)}, there(1), Verdict{}},
		"unknown and not there":    {[]Operation{op(KindBooking, 0, 0, ms, unknown)}, there(0), Verdict{}},
		"unknown, then refused":    {[]Operation{op(KindBooking, 0, 0, ms, unknown), op(KindBooking, 0, ms, 2*ms, refused)}, there(1), Verdict{}},
		"counter short":            {[]Operation{op(KindCounter, 0, 0, ms, ack)}, counted(0), Verdict{Lost: 1}},
		"counter over":             {[]Operation{op(KindCounter, 0, 0, ms, ack), op(KindCounter, 0, 0, ms, unknown)}, counted(3), Verdict{Doubled: 1}},
		"counter of a refused":     {[]Operation{op(KindCounter, 0, 0, ms, refused)}, counted(1), Verdict{Doubled: 1}},
		"sum wrong":                {nil, Final{Sum: 1}, Verdict{SumWrong: true}},
		"own write read":           {[]Operation{write, op(KindRegisterRead, 1, 11*ms, 12*ms, ack)}, Final{}, Verdict{}},
		"own write not read":       {[]Operation{write, late, op(KindRegisterRead, 1, 31*ms, 32*ms, ack)}, Final{}, Verdict{Stale: 1}},
		"write still running":      {[]Operation{write, late, op(KindRegisterRead, 1, 25*ms, 32*ms, ack)}, Final{}, Verdict{}},
		"reads overlap":            {[]Operation{write, late, op(KindRegisterRead, 2, 22*ms, 28*ms, ack), op(KindRegisterRead, 1, 25*ms, 26*ms, ack)}, Final{}, Verdict{}},
		"writes overlap":           {[]Operation{write, late, op(KindRegisterWrite, 3, 25*ms, 35*ms, ack), op(KindRegisterRead, 2, 40*ms, 41*ms, ack)}, Final{}, Verdict{}},
		"replaced write read":      {[]Operation{write, late, op(KindRegisterWrite, 3, 25*ms, 35*ms, ack), op(KindRegisterRead, 1, 40*ms, 41*ms, ack)}, Final{}, Verdict{Stale: 1}},
		"reads go back":            {[]Operation{write, late, op(KindRegisterRead, 2, 22*ms, 24*ms, ack), op(KindRegisterRead, 1, 25*ms, 26*ms, ack)}, Final{}, Verdict{Stale: 1}},
		"unknown write lands late": {[]Operation{op(KindRegisterWrite, 1, 0, ms, unknown), late, op(KindRegisterRead, 1, 31*ms, 32*ms, ack)}, Final{}, Verdict{}},
		"refused write read":       {[]Operation{late, op(KindRegisterRead, 7, 31*ms, 32*ms, ack)}, Final{}, Verdict{Invented: 1}},
		"read before written":      {[]Operation{late, op(KindRegisterRead, 2, 0, ms, ack)}, Final{}, Verdict{Invented: 1}},
		"browse young enough":      {[]Operation{write, late, op(KindBrowse, 1, 79*ms, 90*ms, ack)}, Final{}, Verdict{}},
		"browse too old":           {[]Operation{write, late, op(KindBrowse, 1, 81*ms, 90*ms, ack)}, Final{}, Verdict{TooOld: 1}},
	} {
		if got := Check(x.operations, x.final); got != x.want {
			t.Errorf("%s: got %+v, want %+v", name, got, x.want)
		}
	}
}

func TestGap(t *testing.T) {
	ack := OutcomeAcknowledged
	got := Gap([]Operation{
		op(KindBooking, 0, 0, 100*ms, ack), op(KindBooking, 0, 0, 1100*ms, ack),
		op(KindRegisterRead, 0, 0, 1200*ms, ack), op(KindRegisterWrite, 1, 0, 1250*ms, OutcomeUnknown),
		op(KindRegisterWrite, 2, 0, 1400*ms, ack),
	})
	if got != 300*ms {
		t.Errorf("the gap is %v", got)
	}
}
