package settings

import (
	"fmt"
	"sort"
	"strings"

	"github.com/juju/errors"
)

// Finding is one thing that is wrong with the settings.
type Finding struct {
	File string `json:"file"`
	// Line and Column count from 1; both are 0 if the finding has no place in
	// a file.
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Key    string `json:"key,omitempty"`
	Text   string `json:"text"`
}

// String gives the finding as file:line:column: text.
func (f Finding) String() string {
	if f.Line == 0 {
		return f.File + ": " + f.Text
	}
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Text)
}

// Findings are sorted by place.
type Findings []Finding

// Err returns one error with a line for each finding, or nil if there is none.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return errors.NewNotValid(nil, f.String())
}

func (f Findings) sort() {
	sort.SliceStable(f, func(i, j int) bool {
		a, b := f[i], f[j]
		if a.File != b.File {
			return a.File < b.File
		}
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		if a.Column != b.Column {
			return a.Column < b.Column
		}
		return a.Text < b.Text
	})
}

// String gives a line for each finding.
func (f Findings) String() string {
	lines := make([]string, 0, len(f))
	for _, g := range f {
		lines = append(lines, g.String())
	}
	return strings.Join(lines, "\n")
}
