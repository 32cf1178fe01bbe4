package settings

import (
	"strconv"
	"strings"

	"github.com/juju/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// parser builds the value tree of a TOML document with the line and column of
// each key.
type parser struct {
	file string
	toml unstable.Parser
	root *value
	// table is the table that key-value lines are added to.
	table *value
}

// parse reads a TOML document. A syntax error is reported as a single finding.
func parse(file string, text []byte) (*value, Findings) {
	var decoded map[string]any
	if err := toml.Unmarshal(text, &decoded); err != nil {
		return nil, Findings{syntaxFinding(file, err)}
	}
	p := &parser{file: file, root: newTable(place{file: file, line: 1, column: 1})}
	p.table = p.root
	p.toml.Reset(text)
	for p.toml.NextExpression() {
		p.addExpression(p.toml.Expression())
	}
	if err := p.toml.Error(); err != nil {
		return nil, Findings{syntaxFinding(file, err)}
	}
	return p.root, nil
}

func syntaxFinding(file string, err error) Finding {
	f := Finding{File: file, Text: strings.TrimPrefix(err.Error(), "toml: ")}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		f.Line, f.Column = decode.Position()
		f.Key = strings.Join(decode.Key(), ".")
	}
	return f
}

func (p *parser) addExpression(n *unstable.Node) {
	switch n.Kind {
	case unstable.Table:
		p.table = p.openTable(p.root, n.Key(), false)
	case unstable.ArrayTable:
		p.table = p.openTable(p.root, n.Key(), true)
	case unstable.KeyValue:
		p.addKeyValue(p.table, n)
	}
}

// openTable returns the table of a dotted key and creates it if it is missing.
// If array is set, the key denotes a list of tables, and openTable appends an
// element to the list and returns the element.
func (p *parser) openTable(t *value, keys unstable.Iterator, array bool) *value {
	for keys.Next() {
		n := keys.Node()
		name, pos := string(n.Data), p.place(n)
		next := t.table[name]
		switch {
		case array && keys.IsLast():
			if next == nil {
				next = &value{place: pos, kind: kindList}
				t.table[name] = next
			}
			next.list = append(next.list, newTable(pos))
		case next == nil:
			next = newTable(pos)
			t.table[name] = next
		}
		if next.kind == kindList && len(next.list) > 0 {
			next = next.list[len(next.list)-1]
		}
		if next.kind != kindTable {
			return newTable(pos)
		}
		t = next
	}
	return t
}

func (p *parser) addKeyValue(t *value, n *unstable.Node) {
	var names []*unstable.Node
	for keys := n.Key(); keys.Next(); {
		names = append(names, keys.Node())
	}
	for _, k := range names[:len(names)-1] {
		next := t.table[string(k.Data)]
		if next == nil || next.kind != kindTable {
			next = newTable(p.place(k))
			t.table[string(k.Data)] = next
		}
		t = next
	}
	last := names[len(names)-1]
	t.table[string(last.Data)] = p.value(n.Value(), p.place(last))
}

func (p *parser) value(n *unstable.Node, pos place) *value {
	v := &value{place: pos}
	switch n.Kind {
	case unstable.String:
		v.kind, v.text = kindString, string(n.Data)
	case unstable.Integer:
		number, err := strconv.ParseInt(strings.ReplaceAll(string(n.Data), "_", ""), 0, 64)
		if err == nil {
			v.kind, v.number = kindInteger, number
		}
	case unstable.Array:
		v.kind = kindList
		for it := n.Children(); it.Next(); {
			if it.Node().Kind != unstable.Comment {
				v.list = append(v.list, p.value(it.Node(), pos))
			}
		}
	case unstable.InlineTable:
		return p.inlineTable(n, pos)
	default:
		v.text = string(n.Data)
	}
	return v
}

// inlineTable builds an inline table. Its place is that of its first key.
func (p *parser) inlineTable(n *unstable.Node, pos place) *value {
	t := newTable(pos)
	first := true
	for it := n.Children(); it.Next(); {
		k := it.Node()
		if k.Kind != unstable.KeyValue {
			continue
		}
		if keys := k.Key(); first && keys.Next() {
			t.place, first = p.place(keys.Node()), false
		}
		p.addKeyValue(t, k)
	}
	return t
}

func (p *parser) place(n *unstable.Node) place {
	start := p.toml.Shape(n.Raw).Start
	return place{file: p.file, line: start.Line, column: start.Column}
}
