package standin

import (
	"context"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// rowsPerFlush is the number of rows that are sent between two flushes.
const rowsPerFlush = 500

func copyIn(m []string) *statement {
	s, table := &statement{delayed: true}, tableName(m[1])
	s.stream = func(ctx context.Context, c *conn) (string, error) {
		t := c.transaction()
		t.store.mu.Lock()
		err := t.checkWritable("COPY FROM")
		t.store.mu.Unlock()
		if err != nil {
			return "", err
		}
		text, err := c.receiveCopyData()
		if err != nil {
			return "", err
		}
		n, err := c.insertCopyRows(ctx, table, text)
		return fmt.Sprintf("COPY %d", n), err
	}
	return s
}

// receiveCopyData returns the data that the client sends until CopyDone.
func (c *conn) receiveCopyData() (string, error) {
	c.backend.Send(&pgproto3.CopyInResponse{ColumnFormatCodes: []uint16{0, 0}})
	if err := c.flush(); err != nil {
		return "", err
	}
	var b strings.Builder
	for {
		m, err := c.backend.Receive()
		if err != nil {
			return "", errConnectionLost
		}
		switch m := m.(type) {
		case *pgproto3.CopyData:
			b.Write(m.Data)
		case *pgproto3.CopyDone:
			return b.String(), nil
		case *pgproto3.CopyFail:
			return "", newSQLError(codeCanceled, "COPY from stdin failed: %s", m.Message)
		case *pgproto3.Flush, *pgproto3.Sync:
		default:
			return "", newSQLError(codeProtocolViolation, "unexpected message during COPY from stdin")
		}
	}
}

func (c *conn) insertCopyRows(ctx context.Context, table, text string) (int, error) {
	n := 0
	for line := range strings.Lines(text) {
		line = strings.TrimRight(line, "\r\n")
		if line == `\.` {
			break
		}
		key, value, ok := strings.Cut(line, "\t")
		if !ok {
			return n, newSQLError(codeInvalidText, "missing data for column \"value\"")
		}
		ch := change{Table: table, Key: key, Value: value}
		err := c.writeRow(ctx, "COPY FROM", ch, func(t *txn, _ string, exists bool) error {
			if exists {
				return newSQLError(codeUniqueViolation, "duplicate key value violates unique constraint %q", table+"_pkey")
			}
			t.addChange(ch)
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
	s, table := &statement{delayed: true}, tableName(m[1])
	s.stream = func(_ context.Context, c *conn) (string, error) {
		rows := c.rows(table)
		c.backend.Send(&pgproto3.CopyOutResponse{ColumnFormatCodes: []uint16{0, 0}})
		for i, r := range rows {
			c.backend.Send(&pgproto3.CopyData{Data: []byte(r[0] + "\t" + r[1] + "\n")})
			if i%rowsPerFlush == rowsPerFlush-1 {
				if err := c.flush(); err != nil {
					return "", err
				}
			}
		}
		c.backend.Send(&pgproto3.CopyDone{})
		return fmt.Sprintf("COPY %d", len(rows)), nil
	}
	return s
}
