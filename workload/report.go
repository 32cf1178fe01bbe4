package workload

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/history"
)

// Summary is the last line of a report.
type Summary struct {
	Acknowledged int     `json:"acknowledged"`
	Refused      int     `json:"refused"`
	Unknown      int     `json:"unknown"`
	Failed       int     `json:"failed"`
	ReplicaShare float64 `json:"replica-read-share"`
	GapMS        float64 `json:"failover-gap-ms"`
	Lost         int     `json:"lost"`
	Doubled      int     `json:"doubled"`
	Stale        int     `json:"stale"`
	TooOld       int     `json:"too-old"`
	Invented     int     `json:"invented"`
	RefusedThere int     `json:"refused-but-present"`
	SumWrong     bool    `json:"sum-wrong"`
}

// Summary counts what a run gave.
func (r Result) Summary() Summary {
	v := r.Verdict
	s := Summary{
		GapMS: float64(history.Gap(r.Operations)) / float64(time.Millisecond),
		Lost:  v.Lost, Doubled: v.Doubled, Stale: v.Stale, TooOld: v.TooOld,
		Invented: v.Invented, RefusedThere: v.RefusedPresent, SumWrong: v.SumWrong,
	}
	reads, replica := 0, 0
	for _, o := range r.Operations {
		switch o.Outcome {
		case history.OutcomeAcknowledged:
			s.Acknowledged++
		case history.OutcomeRefused:
			s.Refused++
		case history.OutcomeUnknown:
			s.Unknown++
		default:
			s.Failed++
		}
		if o.Outcome == history.OutcomeAcknowledged && !o.Kind.IsWrite() {
			reads++
			if o.Replica {
				replica++
			}
		}
	}
	if reads > 0 {
		s.ReplicaShare = float64(replica) / float64(reads)
	}
	return s
}

// Report writes a table, unless short, and the summary as one line of JSON.
func (r Result) WriteReport(w io.Writer, short bool) error {
	if !short {
		r.table(w)
		for _, text := range history.Explain(r.Operations) {
			fmt.Fprintln(w, text)
		}
	}
	return errors.Trace(json.NewEncoder(w).Encode(r.Summary()))
}

func (r Result) table(w io.Writer) {
	fmt.Fprintf(w, "%-15s %9s %8s %8s %7s %10s %10s\n",
		"kind", "acknowl.", "refused", "unknown", "failed", "p50", "p99")
	for _, k := range []history.Kind{
		history.KindBooking, history.KindCounter, history.KindTransfer,
		history.KindRegisterWrite, history.KindRegisterRead, history.KindBrowse,
	} {
		n := map[history.Outcome]int{}
		h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
		for _, o := range r.Operations {
			if o.Kind != k {
				continue
			}
			n[o.Outcome]++
			if o.Outcome == history.OutcomeAcknowledged {
				_ = h.RecordValue(max(1, (o.End - o.Start).Microseconds()))
			}
		}
		at := func(q float64) time.Duration {
			return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
		}
		fmt.Fprintf(w, "%-15s %9d %8d %8d %7d %10s %10s\n", k, n[history.OutcomeAcknowledged],
			n[history.OutcomeRefused], n[history.OutcomeUnknown], n[history.OutcomeFailed], at(50), at(99))
	}
}
