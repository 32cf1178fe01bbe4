package commands

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// columnGap is the number of blanks between two columns.
const columnGap = 2

// sheet prints rows in columns.
type sheet struct {
	w *tabwriter.Writer
}

func newSheet(w io.Writer, heads ...string) *sheet {
	s := &sheet{w: tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)}
	s.row(toAny(heads)...)
	return s
}

func (s *sheet) row(cells ...any) {
	texts := make([]string, 0, len(cells))
	for _, c := range cells {
		text := cell(c)
		if text == "" {
			text = "-"
		}
		texts = append(texts, text)
	}
	fmt.Fprintln(s.w, strings.Join(texts, "\t"))
}

func (s *sheet) end() {
	// What the terminal refuses can't be told on it either.
	_ = s.w.Flush()
}

func cell(c any) string {
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
