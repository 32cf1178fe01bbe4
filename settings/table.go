package settings

import (
	"encoding/hex"
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"time"
)

// Origin is the value of a key and the source it was read from.
type Origin struct {
	// File is the file name, DefaultOrigin or the name of an environment
	// variable.
	File string `json:"file"`
	// Line and Column start at 1. Both are 0 if the value isn't from a file.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// Text is the value, or a placeholder if the value is secret.
	Text string `json:"text"`
}

func (o Origin) finding(key, text string) Finding {
	return Finding{File: o.File, Line: o.Line, Column: o.Column, Key: key, Text: text}
}

// DefaultOrigin is the Origin.File of default values.
const DefaultOrigin = "default"

const secretText = "(secret)"

// report collects findings and the origins of values.
type report struct {
	findings Findings
	origins  map[string]Origin
}

func (r *report) addFinding(p place, key, format string, args ...any) {
	r.findings = append(r.findings, p.finding(key, key+" "+fmt.Sprintf(format, args...)))
}

// tableReader reads the keys of one table and records which keys were read.
// The remaining ones are unknown keys.
type tableReader struct {
	report   *report
	key      string
	value    *value
	readKeys map[string]bool
}

func newTableReader(r *report, key string, v *value) *tableReader {
	return &tableReader{report: r, key: key, value: v, readKeys: map[string]bool{}}
}

// get returns the value of a key. It returns nil if the key is missing, and also
// if the value is not of kind k, which it reports.
func (t *tableReader) get(name string, k kind) *value {
	t.readKeys[name] = true
	v := t.value.table[name]
	if v == nil {
		return nil
	}
	if v.kind != k {
		t.report.addFinding(v.place, joinKey(t.key, name), "must be %s", k)
		return nil
	}
	return v
}

// placeOf returns the place of a key, or of the table if the key is missing.
func (t *tableReader) placeOf(name string) place {
	if v := t.value.table[name]; v != nil {
		return v.place
	}
	return t.value.place
}

func (t *tableReader) addFinding(name, format string, args ...any) {
	t.report.addFinding(t.placeOf(name), joinKey(t.key, name), format, args...)
}

// recordOrigin records the origin of a key's value. If v is nil, the value is a
// default.
func (t *tableReader) recordOrigin(name string, v *value, text string) {
	o := Origin{File: DefaultOrigin, Text: text}
	if v != nil {
		o.File, o.Line, o.Column = v.place.file, v.place.line, v.place.column
	}
	t.report.origins[joinKey(t.key, name)] = o
}

// child returns a reader for a nested table. A missing table reads as empty.
func (t *tableReader) child(name string) *tableReader {
	v := t.get(name, kindTable)
	if v == nil {
		v = newTable(t.value.place)
	}
	return newTableReader(t.report, joinKey(t.key, name), v)
}

// children returns readers for the elements of a list of tables. Their keys
// contain the identity of the element.
func (t *tableReader) children(name string) []*tableReader {
	v := t.get(name, kindList)
	if v == nil {
		return nil
	}
	key := joinKey(t.key, name)
	var out []*tableReader
	for i, e := range v.list {
		if e.kind != kindTable {
			t.report.addFinding(e.place, key, "must be a list of tables")
			continue
		}
		name := key + "[" + elementLabel(identityKeys[key], i, e) + "]"
		out = append(out, newTableReader(t.report, name, e))
	}
	return out
}

// reportUnknownKeys reports the keys that were not read.
func (t *tableReader) reportUnknownKeys() {
	for _, k := range sortedKeys(t.value.table) {
		if !t.readKeys[k] {
			t.addFinding(k, "is unknown")
		}
	}
}

func readString[T ~string](t *tableReader, name string, target *T) {
	v := t.get(name, kindString)
	if v != nil {
		*target = T(v.text)
	}
	t.recordOrigin(name, v, string(*target))
}

func (t *tableReader) readSecret(name string, target *string) {
	v := t.get(name, kindString)
	if v != nil {
		*target = v.text
	}
	t.recordOrigin(name, v, secretText)
}

// readRequired reads a string and reports it if it is missing or empty.
func readRequired[T ~string](t *tableReader, name string, target *T) {
	readString(t, name, target)
	if v := t.value.table[name]; *target == "" && (v == nil || v.kind == kindString) {
		t.addFinding(name, "is missing")
	}
}

func (t *tableReader) readInteger(name string, minimum int, target *int) {
	v := t.get(name, kindInteger)
	if v != nil {
		if v.number < int64(minimum) || v.number > math.MaxInt32 {
			t.addFinding(name, "must be at least %d and at most %d", minimum, math.MaxInt32)
		} else {
			*target = int(v.number)
		}
	}
	t.recordOrigin(name, v, strconv.Itoa(*target))
}

func (t *tableReader) readDuration(name string, target *time.Duration) {
	v := t.get(name, kindString)
	if v != nil {
		d, err := time.ParseDuration(v.text)
		switch {
		case err != nil:
			t.addFinding(name, "must be a duration such as \"100ms\"")
		case d <= 0:
			t.addFinding(name, "must be longer than zero")
		default:
			*target = d
		}
	}
	t.recordOrigin(name, v, target.String())
}

func (t *tableReader) readStrings(name string, target *[]string) {
	v := t.get(name, kindList)
	if v != nil {
		*target = nil
		for _, e := range v.list {
			if e.kind != kindString {
				t.addFinding(name, "must be a list of strings")
				break
			}
			*target = append(*target, e.text)
		}
	}
	t.recordOrigin(name, v, fmt.Sprintf("%q", *target))
}

// readAddress reads an IP address with a port. An empty string is valid and
// means that there is no address.
func (t *tableReader) readAddress(name string, target *string) {
	readString(t, name, target)
	if *target == "" {
		return
	}
	a, err := netip.ParseAddrPort(*target)
	if err != nil || a.Port() == 0 {
		t.addFinding(name, "must be an IP address and a port, such as \"10.0.0.1:7400\"")
		*target = ""
	}
}

// readHexKey reads a secret key in hexadecimal, of at least minKeyBytes.
func (t *tableReader) readHexKey(name string, target *[]byte) {
	v := t.get(name, kindString)
	t.recordOrigin(name, v, secretText)
	if v == nil {
		return
	}
	key, err := decodeKey(v.text)
	if err != nil {
		t.addFinding(name, "%s", err)
		return
	}
	*target = key
}

func decodeKey(text string) ([]byte, error) {
	key, err := hex.DecodeString(text)
	if err != nil || len(key) < minKeyBytes {
		return nil, errInvalidKey
	}
	return key, nil
}
