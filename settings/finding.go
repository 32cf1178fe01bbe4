package settings

import (
	"fmt"
	"sort"
	"strings"

	"github.com/juju/errors"
)

// Finding is one error in the settings.
type Finding struct {
	File string `json:"file"`
	// Line and Column start at 1. Both are 0 if the finding doesn't refer to a
	// line of a file.
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Key    string `json:"key,omitempty"`
	Text   string `json:"text"`
}

// String returns the finding as file:line:column: text, or as file: text if it
// has no line.
func (f Finding) String() string {
	if f.Line == 0 {
		return f.File + ": " + f.Text
	}
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Text)
}

// Findings is a list of findings, sorted by file, line and column.
type Findings []Finding

// Err returns an error with one line for each finding, or nil if there are no
// findings. The error satisfies errors.IsNotValid of juju/errors.
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

// String returns one line for each finding.
func (f Findings) String() string {
	lines := make([]string, 0, len(f))
	for _, g := range f {
		lines = append(lines, g.String())
	}
	return strings.Join(lines, "\n")
}
