package standin

import (
	"context"
	"regexp"
	"strings"
)

// result is the answer to one statement.
type result struct {
	tag  string
	rows [][]string
}

// statement is one parsed statement.
type statement struct {
	// kind is the first word, in upper case, for the statistics.
	kind string
	// params are the types of the parameters.
	params  []uint32
	columns []column
	// noSlot is set for statements that need no slot.
	noSlot bool
	// takesTime is set for statements that hold their slot for Options.Work.
	takesTime bool
	// endsBlock is set for statements that a failed transaction takes.
	endsBlock bool
	run       func(context.Context, *conn, []string) (result, error)
	// stream replaces run for statements that send on the connection.
	stream func(context.Context, *conn) (string, error)
}

// rule is one shape of statements. In its pattern T stands for a table, K for
// a column and V for a value.
type rule struct {
	pattern *regexp.Regexp
	build   func(m []string) *statement
}

var patternMacros = strings.NewReplacer(
	"<T>", `("?[a-z_][\w.]*"?)`,
	"<K>", `"?[a-z_]\w*"?`,
	"<V>", `('(?:[^']|'')*'|[+-]?\d+(?:\.\d+)?|\$\d+)(?:::[a-z0-9_]+)?`,
	" ", `\s+`,
	"~", `\s*`,
)

func newRule(pattern string, build func([]string) *statement) rule {
	return rule{
		pattern: regexp.MustCompile(`(?is)^` + patternMacros.Replace(pattern) + `$`),
		build:   build,
	}
}

// rules is filled by init because the statements' code refers to parse.
var rules []rule

func init() {
	rules = append(rules, systemRules()...)
	rules = append(rules, tableRules()...)
	rules = append(rules, sessionRules()...)
	rules = append(rules, functionRules()...)
}

// parse finds the form of a statement.
func parse(text string) (*statement, error) {
	for _, f := range rules {
		m := f.pattern.FindStringSubmatch(text)
		if m == nil {
			continue
		}
		s := f.build(m)
		s.kind, _, _ = strings.Cut(strings.ToUpper(text), " ")
		return s, nil
	}
	return nil, newSQLError(codeSyntax, "statement not known to the stand-in: %s", text)
}

// setParamType notes the type of an operand that is a parameter.
func (s *statement) setParamType(o operand, oid uint32) operand {
	for len(s.params) < o.param {
		s.params = append(s.params, oidText)
	}
	if o.param > 0 {
		s.params[o.param-1] = oid
	}
	return o
}

func tableName(s string) string {
	return strings.ToLower(strings.Trim(s, `"`))
}
