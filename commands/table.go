package commands

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// columnGap is the number of spaces between two columns.
const columnGap = 2

// table prints rows with aligned columns.
type table struct {
	w *tabwriter.Writer
}

func newTable(w io.Writer, headers ...string) *table {
	s := &table{w: tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)}
	s.addRow(toAny(headers)...)
	return s
}

func (s *table) addRow(cells ...any) {
	texts := make([]string, 0, len(cells))
	for _, c := range cells {
		text := formatCell(c)
		if text == "" {
			text = "-"
		}
		texts = append(texts, text)
	}
	fmt.Fprintln(s.w, strings.Join(texts, "\t"))
}

func (s *table) flush() {
	// Flush fails only if the output can't be written to. The error is ignored
	// because the output is where it would be printed.
	_ = s.w.Flush()
}

func formatCell(c any) string {
	switch v := c.(type) {
	case time.Duration:
		return v.Round(time.Millisecond).String()
	case bool:
		if v {
			return "yes"
		}
		return "no"
	case catalog.Position:
		return fmt.Sprintf("%d/%d", v.Term, v.Offset)
	default:
		return fmt.Sprint(v)
	}
}

func toAny(texts []string) []any {
	out := make([]any, 0, len(texts))
	for _, t := range texts {
		out = append(out, t)
	}
	return out
}
