package settings

import "strconv"

// place is a location in a file. Line and column start at 1.
type place struct {
	file         string
	line, column int
}

func (p place) finding(key, text string) Finding {
	return Finding{File: p.file, Line: p.line, Column: p.column, Key: key, Text: text}
}

type kind uint8

const (
	kindOther kind = iota
	kindString
	kindInteger
	kindList
	kindTable
)

// String returns the kind as findings print it.
func (k kind) String() string {
	switch k {
	case kindString:
		return "a string"
	case kindInteger:
		return "a whole number"
	case kindList:
		return "a list"
	case kindTable:
		return "a table"
	default:
		return "another type"
	}
}

// value is one value of a TOML document with its place.
type value struct {
	place place
	kind  kind
	// text is the content of a string. For kindOther it is the source text.
	text   string
	number int64
	list   []*value
	table  map[string]*value
}

func newTable(p place) *value {
	return &value{place: p, kind: kindTable, table: map[string]*value{}}
}

// String returns the value in the form that operators see.
func (v *value) String() string {
	switch v.kind {
	case kindInteger:
		return strconv.FormatInt(v.number, 10)
	case kindString:
		return v.text
	case kindList:
		return "list of " + strconv.Itoa(len(v.list))
	default:
		return v.text
	}
}

// equal reports whether two values are equal, ignoring their places.
func (v *value) equal(w *value) bool {
	if v.kind != w.kind || v.text != w.text || v.number != w.number ||
		len(v.list) != len(w.list) || len(v.table) != len(w.table) {
		return false
	}
	for i := range v.list {
		if !v.list[i].equal(w.list[i]) {
			return false
		}
	}
	for k, e := range v.table {
		if o := w.table[k]; o == nil || !e.equal(o) {
			return false
		}
	}
	return true
}
