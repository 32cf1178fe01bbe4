package measure

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"

	"github.com/juju/errors"
)

// Limit says which values of a figure are good.
type TargetKind int

// Limits of figures.
const (
	// AtMost means that the worst run may not be above the target.
	AtMost TargetKind = iota
	// AtLeast means that the worst run may not be below the target.
	AtLeast
	// Told means that the figure has no target.
	Told
)

// Figure is one row of the table.
type Figure struct {
	Row        string
	Title      string
	TargetKind TargetKind
	Target     float64
	Unit       string
}

// Line is a row with its values.
type Line struct {
	Figure   string   `json:"figure"`
	Title    string   `json:"title"`
	User     string   `json:"user"`
	Unit     string   `json:"unit"`
	Target   *float64 `json:"target"`
	Runs     int      `json:"runs"`
	Median   *float64 `json:"median"`
	Worst    *float64 `json:"worst"`
	Spread   *float64 `json:"spread"`
	Baseline *float64 `json:"baseline"`
	Verdict  string   `json:"verdict"`
}

// Verdicts of lines.
const (
	VerdictHit    = "hit"
	VerdictMiss   = "miss"
	VerdictTold   = "-"
	VerdictNotRun = "not run"
)

// Table is all lines of a run.
type Table struct {
	Note  string `json:"note"`
	Lines []Line `json:"lines"`
}

// NewTable works out the lines of the figures from facts.
func NewTable(note string, facts []Fact, users ...string) Table {
	out := Table{Note: note}
	for _, u := range users {
		for _, f := range Figures(u) {
			out.Lines = append(out.Lines, f.line(u, facts))
		}
	}
	return out
}

func (f Figure) line(user string, facts []Fact) Line {
	l := Line{Figure: f.Row, Title: f.Title, User: user, Unit: f.Unit, Verdict: VerdictNotRun}
	if f.TargetKind != Told {
		l.Target = &f.Target
	}
	var own, plain []float64
	for _, x := range facts {
		if x.User != user || x.Row != f.Row {
			continue
		}
		if x.Policy == PolicyPlain {
			plain = append(plain, x.Value)
		} else {
			own = append(own, x.Value)
		}
	}
	if len(plain) > 0 {
		m := median(plain)
		l.Baseline = &m
	}
	if l.Runs = len(own); l.Runs == 0 {
		return l
	}
	m := median(own)
	least, most := own[0], own[len(own)-1]
	worst, spread := most, most-least
	if f.TargetKind == AtLeast {
		worst = least
	}
	l.Median, l.Worst, l.Spread = &m, &worst, &spread
	l.Verdict = f.verdict(worst)
	return l
}

func (f Figure) verdict(worst float64) string {
	switch {
	case f.TargetKind == Told:
		return VerdictTold
	case f.TargetKind == AtMost && worst <= f.Target, f.TargetKind == AtLeast && worst >= f.Target:
		return VerdictHit
	}
	return VerdictMiss
}

// median sorts the values and returns the middle one.
func median(v []float64) float64 {
	sort.Float64s(v)
	if n := len(v); n%2 == 0 {
		return (v[n/2-1] + v[n/2]) / 2
	}
	return v[len(v)/2]
}

// Print writes the table, and as its last line the same as JSON.
func (t Table) Print(w io.Writer) error {
	fmt.Fprintf(w, "%s\n\n", t.Note)
	fmt.Fprintf(w, "%-9s %-58s %9s %4s %9s %9s %9s %9s  %s\n",
		"user", "figure", "target", "runs", "median", "worst", "spread", "baseline", "verdict")
	for _, l := range t.Lines {
		fmt.Fprintf(w, "%-9s %-58s %9s %4d %9s %9s %9s %9s  %s\n", l.User, l.Title+", "+l.Unit,
			number(l.Target), l.Runs, number(l.Median), number(l.Worst), number(l.Spread),
			number(l.Baseline), l.Verdict)
	}
	return errors.Trace(json.NewEncoder(w).Encode(t))
}

func number(v *float64) string {
	if v == nil {
		return "-"
	}
	return fmt.Sprintf("%.4g", *v)
}
