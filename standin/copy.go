package standin

import (
	"context"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// flushEvery is how many rows are sent between two flushes.
const flushEvery = 500

func copyIn(m []string) *statement {
	s, table := &statement{works: true}, tableName(m[1])
	s.stream = func(ctx context.Context, c *conn) (string, error) {
		t := c.transaction()
		t.store.mu.Lock()
		err := t.writable("COPY FROM")
		t.store.mu.Unlock()
		if err != nil {
			return "", err
		}
		text, err := c.copyData()
		if err != nil {
			return "", err
		}
		n, err := c.copyRows(ctx, table, text)
		return fmt.Sprintf("COPY %d", n), err
	}
	return s
}

// copyData collects what the client sends until the end of its copy.
func (c *conn) copyData() (string, error) {
	c.back.Send(&pgproto3.CopyInResponse{ColumnFormatCodes: []uint16{0, 0}})
	if err := c.flush(); err != nil {
		return "", err
	}
	var b strings.Builder
	for {
		m, err := c.back.Receive()
		if err != nil {
			return "", errGone
		}
		switch m := m.(type) {
		case *pgproto3.CopyData:
			b.Write(m.Data)
		case *pgproto3.CopyDone:
			return b.String(), nil
		case *pgproto3.CopyFail:
			return "", fail(codeCanceled, "COPY from stdin failed: %s", m.Message)
		case *pgproto3.Flush, *pgproto3.Sync:
		default:
			return "", fail(codeProtocol, "unexpected message during COPY from stdin")
		}
	}
}

func (c *conn) copyRows(ctx context.Context, table, text string) (int, error) {
	n := 0
	for line := range strings.Lines(text) {
		line = strings.TrimRight(line, "\r\n")
		if line == `\.` {
			break
		}
		key, value, ok := strings.Cut(line, "\t")
		if !ok {
			return n, fail(codeInvalidText, "missing data for column \"value\"")
		}
		ch := change{Table: table, Key: key, Value: value}
		err := c.write(ctx, "COPY FROM", ch, func(t *txn, _ string, there bool) error {
			if there {
				return fail(codeDuplicate, "duplicate key value violates unique constraint %q", table+"_pkey")
			}
			t.put(ch)
			return nil
		})
		if err != nil {
			return n, err
		}
		n++
	}
	return n, nil
}

func copyOut(m []string) *statement {
	s, table := &statement{works: true}, tableName(m[1])
	s.stream = func(_ context.Context, c *conn) (string, error) {
		rows := c.rows(table)
		c.back.Send(&pgproto3.CopyOutResponse{ColumnFormatCodes: []uint16{0, 0}})
		for i, r := range rows {
			c.back.Send(&pgproto3.CopyData{Data: []byte(r[0] + "\t" + r[1] + "\n")})
			if i%flushEvery == flushEvery-1 {
				if err := c.flush(); err != nil {
					return "", err
				}
			}
		}
		c.back.Send(&pgproto3.CopyDone{})
		return fmt.Sprintf("COPY %d", len(rows)), nil
	}
	return s
}
