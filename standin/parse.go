package standin

import (
	"context"
	"regexp"
	"strings"
)

// result is the command tag and the rows that one statement returns.
type result struct {
	tag  string
	rows [][]string
}

// statement is one parsed statement.
type statement struct {
	// kind is the first word of the statement in upper case, for the
	// statistics.
	kind string
	// params holds the type of each parameter as an object id.
	params  []uint32
	columns []column
	// noSlot is true for statements that run without a slot.
	noSlot bool
	// delayed is true for statements that wait for Options.ExecutionTime before
	// they run.
	delayed bool
	// endsBlock is true for statements that end a block. Only these run in a
	// failed block.
	endsBlock bool
	run       func(context.Context, *conn, []string) (result, error)
	// stream replaces run for statements that send messages on the connection
	// themselves. It returns the command tag.
	stream func(context.Context, *conn) (string, error)
}

// rule builds the statements whose text matches a pattern.
type rule struct {
	pattern *regexp.Regexp
	build   func(m []string) *statement
}

// patternMacros expands the placeholders of patterns: <T> is a table, <K> a
// column, <V> a value, a space required white space and ~ optional white space.
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

// rules holds the rules in the order in which parse tries them.
var rules []rule

func init() {
	rules = append(rules, systemRules()...)
	rules = append(rules, tableRules()...)
	rules = append(rules, sessionRules()...)
	rules = append(rules, functionRules()...)
}

// parse builds a statement by the first rule that matches its text.
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

// setParamType records the type of an operand that is a parameter. It returns
// the operand.
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
