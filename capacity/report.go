package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
)

// Report holds the measured rows of a run and the figures derived from them.
type Report struct {
	Date    string   `json:"date"`
	Cores   int      `json:"cores"`
	Go      string   `json:"go"`
	Quick   bool     `json:"quick"`
	Rows    []Row    `json:"rows"`
	Figures []Figure `json:"figures"`
}

// Measure runs all measurements and derives the figures. It limits the process to
// one processor, so that garbage collection doesn't spread over idle processors.
func Measure(p Plan, now time.Time) (Report, error) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var rows Rows
	steps := []func(*Rows) error{
		p.measureCallers, p.measureEntry, p.measureControl, p.measureAgreement,
		p.measureHeartbeats, p.measureSnapshot, p.measureCodec, p.measureProbe,
	}
	for _, s := range steps {
		if err := s(&rows); err != nil {
			return Report{}, errors.Trace(err)
		}
	}
	out := Report{
		Date: now.UTC().Format(time.RFC3339), Cores: runtime.NumCPU(), Go: runtime.Version(),
		Quick: p.Quick, Rows: rows.List(),
	}
	figures, err := DeriveFigures(out.Rows, DesignSize())
	out.Figures = figures
	return out, errors.Trace(err)
}

// ReadReport reads a report that WriteJSON wrote and derives the figures again
// from its rows. It returns a NotFound error if the report lacks rows.
func ReadReport(r io.Reader) (Report, error) {
	var out Report
	if err := json.NewDecoder(r).Decode(&out); err != nil {
		return out, errors.Annotate(err, "report")
	}
	figures, err := DeriveFigures(out.Rows, DesignSize())
	out.Figures = figures
	return out, errors.Trace(err)
}

// WriteJSON writes the report as JSON.
func (r Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return errors.Annotate(e.Encode(r), "report")
}

// WriteText writes the report as tables.
func (r Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "measured %s, %d cores, %s, quick %t\n\n", r.Date, r.Cores, r.Go, r.Quick)
	fmt.Fprintln(t, "role\tquantity\tunit\tagainst\tslope\tintercept\tfit\tpoints\twith")
	for _, x := range r.Rows {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%.4g\t%.4g\t%.3f\t", x.Role, x.Quantity, x.Unit, x.Variable, x.Slope, x.Intercept, x.RSquared)
		for _, p := range x.Points {
			fmt.Fprintf(t, "%.4g:%.4g ", p.X, p.Y)
		}
		fmt.Fprintf(t, "\t%s\n", x.Fixed)
	}
	fmt.Fprintln(t, "\nfigure\tvalue\tunit\tlimit\tverdict\tformula")
	for _, f := range r.Figures {
		limit := "-"
		if f.Limit > 0 {
			limit = fmt.Sprintf("%.4g", f.Limit)
		}
		fmt.Fprintf(t, "%s\t%.4g\t%s\t%s\t%s\t%s\n", f.Name, f.Value, f.Unit, limit, f.Verdict(), f.Formula)
	}
	return errors.Annotate(t.Flush(), "report")
}
