package standin

import (
	"context"
	"fmt"
	"strconv"
	"time"
)

// functionRules returns the rules for SELECT without a table.
func functionRules() []rule {
	return []rule{
		newRule(`select generate_series\(~1~,~<V>~\)`, generateSeries),
		newRule(`select pg_sleep\(~<V>~\)`, pgSleep),
		newRule(`select pg_backend_pid\(~\)`, func([]string) *statement {
			return selectOne("pg_backend_pid", oidInt4, func(c *conn) string { return strconv.Itoa(int(c.pid)) })
		}),
		newRule(`select version\(~\)`, func([]string) *statement {
			return selectOne("version", oidText, func(*conn) string { return "PostgreSQL 16.0 (stand-in)" })
		}),
		newRule(`select (\$1|'(?:[^']|'')*'|[+-]?\d+)(?:::([a-z0-9]+))?(?: as \w+)?`, selectConstant),
	}
}

// selectOne builds a SELECT that returns one value and takes no parameters.
func selectOne(name string, oid uint32, value func(*conn) string) *statement {
	s := &statement{delayed: true, columns: []column{{name: name, oid: oid}}}
	s.run = func(_ context.Context, c *conn, _ []string) (result, error) {
		return result{tag: "SELECT 1", rows: [][]string{{value(c)}}}, nil
	}
	return s
}

func generateSeries(m []string) *statement {
	s := &statement{delayed: true, columns: []column{{name: "generate_series", oid: oidInt4}}}
	last := s.setParamType(parseOperand(m[1]), oidInt4)
	s.run = func(_ context.Context, _ *conn, args []string) (result, error) {
		n, err := strconv.Atoi(last.value(args))
		if err != nil {
			return result{}, newSQLError(codeInvalidText, "invalid input syntax for type integer")
		}
		rows := make([][]string, 0, n)
		for i := 1; i <= n; i++ {
			rows = append(rows, []string{strconv.Itoa(i)})
		}
		return result{tag: fmt.Sprintf("SELECT %d", n), rows: rows}, nil
	}
	return s
}

func pgSleep(m []string) *statement {
	s := &statement{delayed: true, columns: []column{{name: "pg_sleep", oid: oidVoid}}}
	duration := s.setParamType(parseOperand(m[1]), oidFloat8)
	s.run = func(ctx context.Context, _ *conn, args []string) (result, error) {
		seconds, err := strconv.ParseFloat(duration.value(args), 64)
		if err != nil {
			return result{}, newSQLError(codeInvalidText, "invalid input syntax for type double precision")
		}
		if err := sleepContext(ctx, time.Duration(seconds*float64(time.Second))); err != nil {
			return result{}, err
		}
		return result{tag: "SELECT 1", rows: [][]string{{""}}}, nil
	}
	return s
}

// sleepContext waits for d. It returns errCanceled if the context ends first.
func sleepContext(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return errCanceled
	}
}

// typeOIDs maps the names of types in casts to their object ids.
var typeOIDs = map[string]uint32{
	"text": oidText, "varchar": oidText, "int": oidInt4, "int4": oidInt4, "integer": oidInt4,
	"int8": oidInt8, "bigint": oidInt8, "bool": oidBool, "boolean": oidBool,
}

func selectConstant(m []string) *statement {
	value := parseOperand(m[1])
	oid, ok := typeOIDs[m[2]]
	if !ok {
		oid = oidText
		if value.param == 0 && m[1][0] != '\'' {
			oid = oidInt4
		}
	}
	s := &statement{delayed: true, columns: []column{{name: "?column?", oid: oid}}}
	s.setParamType(value, oid)
	s.run = func(_ context.Context, _ *conn, args []string) (result, error) {
		return result{tag: "SELECT 1", rows: [][]string{{value.value(args)}}}, nil
	}
	return s
}
