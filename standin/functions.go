package standin

import (
	"context"
	"fmt"
	"strconv"
	"time"
)

// functionForms are the selects without a table.
func functionForms() []form {
	return []form{
		shape(`select generate_series\(~1~,~<V>~\)`, series),
		shape(`select pg_sleep\(~<V>~\)`, sleep),
		shape(`select pg_backend_pid\(~\)`, func([]string) *statement {
			return one("pg_backend_pid", oidInt4, func(c *conn) string { return strconv.Itoa(int(c.pid)) })
		}),
		shape(`select version\(~\)`, func([]string) *statement {
			return one("version", oidText, func(*conn) string { return "PostgreSQL 16.0 (stand-in)" })
		}),
		shape(`select (\$1|'(?:[^']|'')*'|[+-]?\d+)(?:::([a-z0-9]+))?(?: as \w+)?`, echo),
	}
}

// one builds a select of one value that takes no parameter.
func one(name string, oid uint32, value func(*conn) string) *statement {
	s := &statement{works: true, columns: []column{{name: name, oid: oid}}}
	s.run = func(_ context.Context, c *conn, _ []string) (result, error) {
		return result{tag: "SELECT 1", rows: [][]string{{value(c)}}}, nil
	}
	return s
}

func series(m []string) *statement {
	s := &statement{works: true, columns: []column{{name: "generate_series", oid: oidInt4}}}
	last := s.typed(parseOperand(m[1]), oidInt4)
	s.run = func(_ context.Context, _ *conn, args []string) (result, error) {
		n, err := strconv.Atoi(last.value(args))
		if err != nil {
			return result{}, fail(codeInvalidText, "invalid input syntax for type integer")
		}
		rows := make([][]string, 0, n)
		for i := 1; i <= n; i++ {
			rows = append(rows, []string{strconv.Itoa(i)})
		}
		return result{tag: fmt.Sprintf("SELECT %d", n), rows: rows}, nil
	}
	return s
}

func sleep(m []string) *statement {
	s := &statement{works: true, columns: []column{{name: "pg_sleep", oid: oidVoid}}}
	length := s.typed(parseOperand(m[1]), oidFloat8)
	s.run = func(ctx context.Context, _ *conn, args []string) (result, error) {
		seconds, err := strconv.ParseFloat(length.value(args), 64)
		if err != nil {
			return result{}, fail(codeInvalidText, "invalid input syntax for type double precision")
		}
		if err := pause(ctx, time.Duration(seconds*float64(time.Second))); err != nil {
			return result{}, err
		}
		return result{tag: "SELECT 1", rows: [][]string{{""}}}, nil
	}
	return s
}

// pause waits unless the statement is canceled.
func pause(ctx context.Context, d time.Duration) error {
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

var typeNames = map[string]uint32{
	"text": oidText, "varchar": oidText, "int": oidInt4, "int4": oidInt4, "integer": oidInt4,
	"int8": oidInt8, "bigint": oidInt8, "bool": oidBool, "boolean": oidBool,
}

func echo(m []string) *statement {
	value := parseOperand(m[1])
	oid, ok := typeNames[m[2]]
	if !ok {
		oid = oidText
		if value.param == 0 && m[1][0] != '\'' {
			oid = oidInt4
		}
	}
	s := &statement{works: true, columns: []column{{name: "?column?", oid: oid}}}
	s.typed(value, oid)
	s.run = func(_ context.Context, _ *conn, args []string) (result, error) {
		return result{tag: "SELECT 1", rows: [][]string{{value.value(args)}}}, nil
	}
	return s
}
