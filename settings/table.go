package settings

import (
	"encoding/hex"
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"time"
)

// Origin says where the value of a key came from.
type Origin struct {
	// File is the file, "default" or the name of an environment variable.
	File string `json:"file"`
	// Line and Column count from 1; both are 0 if there is no place in a file.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// Text is the value, or a placeholder for what must stay secret.
	Text string `json:"text"`
}

func (o Origin) finding(key, text string) Finding {
	return Finding{File: o.File, Line: o.Line, Column: o.Column, Key: key, Text: text}
}

// DefaultOrigin stands for the file of values that no file states.
const DefaultOrigin = "default"

const secretText = "(secret)"

// report collects what the sections find and where their values came from.
type report struct {
	findings Findings
	origins  map[string]Origin
}

func (r *report) add(p place, key, format string, args ...any) {
	r.findings = append(r.findings, p.finding(key, key+" "+fmt.Sprintf(format, args...)))
}

// table reads the keys of one table. Keys that nobody read are unknown.
type table struct {
	report *report
	key    string
	value  *value
	read   map[string]bool
}

func newReader(r *report, key string, v *value) *table {
	return &table{report: r, key: key, value: v, read: map[string]bool{}}
}

// get returns the value of a key if it is there and of the right kind.
func (t *table) get(name string, k kind) *value {
	t.read[name] = true
	v := t.value.table[name]
	if v == nil {
		return nil
	}
	if v.kind != k {
		t.report.add(v.place, join(t.key, name), "must be %s", k)
		return nil
	}
	return v
}

// at returns the place of a key, or of its table if the key is missing.
func (t *table) at(name string) place {
	if v := t.value.table[name]; v != nil {
		return v.place
	}
	return t.value.place
}

func (t *table) wrong(name, format string, args ...any) {
	t.report.add(t.at(name), join(t.key, name), format, args...)
}

// origin records where a key's value came from; v is nil for a default.
func (t *table) origin(name string, v *value, text string) {
	o := Origin{File: DefaultOrigin, Text: text}
	if v != nil {
		o.File, o.Line, o.Column = v.place.file, v.place.line, v.place.column
	}
	t.report.origins[join(t.key, name)] = o
}

// child returns the reader of a table within, empty if it is missing.
func (t *table) child(name string) *table {
	v := t.get(name, kindTable)
	if v == nil {
		v = newTable(t.value.place)
	}
	return newReader(t.report, join(t.key, name), v)
}

// children returns the readers of a list of tables, named by their identity.
func (t *table) children(name string) []*table {
	v := t.get(name, kindList)
	if v == nil {
		return nil
	}
	key := join(t.key, name)
	var out []*table
	for i, e := range v.list {
		if e.kind != kindTable {
			t.report.add(e.place, key, "must be a list of tables")
			continue
		}
		name := key + "[" + label(identities[key], i, e) + "]"
		out = append(out, newReader(t.report, name, e))
	}
	return out
}

// finish reports the keys that nobody read.
func (t *table) finish() {
	for _, k := range sortedKeys(t.value.table) {
		if !t.read[k] {
			t.wrong(k, "is unknown")
		}
	}
}

func readString[T ~string](t *table, name string, into *T) {
	v := t.get(name, kindString)
	if v != nil {
		*into = T(v.text)
	}
	t.origin(name, v, string(*into))
}

func (t *table) secret(name string, into *string) {
	v := t.get(name, kindString)
	if v != nil {
		*into = v.text
	}
	t.origin(name, v, secretText)
}

// required reads a string that must not be empty.
func required[T ~string](t *table, name string, into *T) {
	readString(t, name, into)
	if v := t.value.table[name]; *into == "" && (v == nil || v.kind == kindString) {
		t.wrong(name, "is missing")
	}
}

func (t *table) integer(name string, least int, into *int) {
	v := t.get(name, kindInteger)
	if v != nil {
		if v.number < int64(least) || v.number > math.MaxInt32 {
			t.wrong(name, "must be at least %d and at most %d", least, math.MaxInt32)
		} else {
			*into = int(v.number)
		}
	}
	t.origin(name, v, strconv.Itoa(*into))
}

func (t *table) duration(name string, into *time.Duration) {
	v := t.get(name, kindString)
	if v != nil {
		d, err := time.ParseDuration(v.text)
		switch {
		case err != nil:
			t.wrong(name, "must be a duration such as \"100ms\"")
		case d <= 0:
			t.wrong(name, "must be longer than zero")
		default:
			*into = d
		}
	}
	t.origin(name, v, into.String())
}

func (t *table) strings(name string, into *[]string) {
	v := t.get(name, kindList)
	if v != nil {
		*into = nil
		for _, e := range v.list {
			if e.kind != kindString {
				t.wrong(name, "must be a list of strings")
				break
			}
			*into = append(*into, e.text)
		}
	}
	t.origin(name, v, fmt.Sprintf("%q", *into))
}

// address reads an IP and port; the empty string stands for none.
func (t *table) address(name string, into *string) {
	readString(t, name, into)
	if *into == "" {
		return
	}
	a, err := netip.ParseAddrPort(*into)
	if err != nil || a.Port() == 0 {
		t.wrong(name, "must be an IP address and a port, such as \"10.0.0.1:7400\"")
		*into = ""
	}
}

// hexKey reads a secret key of at least keyBytes.
func (t *table) hexKey(name string, into *[]byte) {
	v := t.get(name, kindString)
	t.origin(name, v, secretText)
	if v == nil {
		return
	}
	key, err := decodeKey(v.text)
	if err != nil {
		t.wrong(name, "%s", err)
		return
	}
	*into = key
}

func decodeKey(text string) ([]byte, error) {
	key, err := hex.DecodeString(text)
	if err != nil || len(key) < keyBytes {
		return nil, errKey
	}
	return key, nil
}
