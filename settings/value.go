package settings

import "strconv"

// place is where something stands in a file.
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

// String names the kind as an operator would.
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

// value is one value of a TOML document together with its place.
type value struct {
	place place
	kind  kind
	// text is set for strings, and for other kinds as they were written.
	text   string
	number int64
	list   []*value
	table  map[string]*value
}

func newTable(p place) *value {
	return &value{place: p, kind: kindTable, table: map[string]*value{}}
}

// String gives the value as shown to operators.
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

// equal reports whether two values are the same but for their places.
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
