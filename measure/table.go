package measure

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"

	"github.com/juju/errors"
)

// TargetKind says how a figure is compared with its target.
type TargetKind int

// Kinds of targets.
const (
	// AtMost means that no run may be above the target.
	AtMost TargetKind = iota
	// AtLeast means that no run may be below the target.
	AtLeast
	// NoTarget means that the figure has no target.
	NoTarget
)

// Figure is a measured quantity with its target, one row of the table.
type Figure struct {
	Name       string
	Title      string
	TargetKind TargetKind
	Target     float64
	Unit       string
}

// Line is a row of the table with the values of its runs.
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
	VerdictHit      = "hit"
	VerdictMiss     = "miss"
	VerdictNoTarget = "-"
	VerdictNotRun   = "not run"
)

// Table holds the lines of all figures.
type Table struct {
	Note  string `json:"note"`
	Lines []Line `json:"lines"`
}

// NewTable calculates the lines of the users' figures from samples. Samples of
// PolicyPlain only enter into the baseline.
func NewTable(note string, samples []Sample, users ...string) Table {
	out := Table{Note: note}
	for _, u := range users {
		for _, f := range Figures(u) {
			out.Lines = append(out.Lines, f.tableLine(u, samples))
		}
	}
	return out
}

func (f Figure) tableLine(user string, samples []Sample) Line {
	l := Line{Figure: f.Name, Title: f.Title, User: user, Unit: f.Unit, Verdict: VerdictNotRun}
	if f.TargetKind != NoTarget {
		l.Target = &f.Target
	}
	var values, baselineValues []float64
	for _, x := range samples {
		if x.User != user || x.Figure != f.Name {
			continue
		}
		if x.Policy == PolicyPlain {
			baselineValues = append(baselineValues, x.Value)
		} else {
			values = append(values, x.Value)
		}
	}
	if len(baselineValues) > 0 {
		m := median(baselineValues)
		l.Baseline = &m
	}
	if l.Runs = len(values); l.Runs == 0 {
		return l
	}
	m := median(values)
	lowest, highest := values[0], values[len(values)-1]
	worst, spread := highest, highest-lowest
	if f.TargetKind == AtLeast {
		worst = lowest
	}
	l.Median, l.Worst, l.Spread = &m, &worst, &spread
	l.Verdict = f.verdict(worst)
	return l
}

func (f Figure) verdict(worst float64) string {
	switch {
	case f.TargetKind == NoTarget:
		return VerdictNoTarget
	case f.TargetKind == AtMost && worst <= f.Target, f.TargetKind == AtLeast && worst >= f.Target:
		return VerdictHit
	}
	return VerdictMiss
}

// median sorts the values in place and returns their median.
func median(v []float64) float64 {
	sort.Float64s(v)
	if n := len(v); n%2 == 0 {
		return (v[n/2-1] + v[n/2]) / 2
	}
	return v[len(v)/2]
}

// Print writes the table as text, then as JSON on the last line.
func (t Table) Print(w io.Writer) error {
	fmt.Fprintf(w, "%s\n\n", t.Note)
	fmt.Fprintf(w, "%-9s %-58s %9s %4s %9s %9s %9s %9s  %s\n",
		"user", "figure", "target", "runs", "median", "worst", "spread", "baseline", "verdict")
	for _, l := range t.Lines {
		fmt.Fprintf(w, "%-9s %-58s %9s %4d %9s %9s %9s %9s  %s\n", l.User, l.Title+", "+l.Unit,
			formatNumber(l.Target), l.Runs, formatNumber(l.Median), formatNumber(l.Worst), formatNumber(l.Spread),
			formatNumber(l.Baseline), l.Verdict)
	}
	return errors.Trace(json.NewEncoder(w).Encode(t))
}

func formatNumber(v *float64) string {
	if v == nil {
		return "-"
	}
	return fmt.Sprintf("%.4g", *v)
}
