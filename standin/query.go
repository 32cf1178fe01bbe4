package standin

import "github.com/jackc/pgx/v5/pgproto3"

// handleQuery runs the statements of a query in the simple protocol.
func (c *conn) handleQuery(text string) error {
	c.skipToSync = false
	statements := splitStatements(text)
	if len(statements) == 0 {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for i, t := range statements {
		err := c.runSimple(t, i == len(statements)-1)
		if err == errConnectionLost {
			return err
		}
		if err != nil {
			c.abort()
			c.backend.Send(errorResponse("ERROR", err))
			break
		}
	}
	return c.sendReady()
}

// runSimple runs one statement of a query. The query's implicit transaction is
// committed before the completion of its last statement is sent.
func (c *conn) runSimple(text string, last bool) error {
	s, err := parse(text)
	if err != nil {
		return err
	}
	if len(s.params) > 0 {
		return newSQLError("42P02", "there is no parameter $1")
	}
	r, err := c.execute(s, nil)
	if err != nil {
		return err
	}
	if last {
		if err := c.commitImplicit(); err != nil {
			return err
		}
	}
	if s.stream == nil && s.columns != nil {
		c.backend.Send(rowDescription(s.columns, nil))
		if err := c.sendRows(s.columns, r.rows, nil); err != nil {
			return err
		}
	}
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(r.tag)})
	return nil
}

func rowDescription(columns []column, formats []int16) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{}
	for i, col := range columns {
		f := pgproto3.FieldDescription{
			Name: []byte(col.name), DataTypeOID: col.oid, DataTypeSize: -1,
			TypeModifier: -1, Format: formatCode(formats, i),
		}
		switch col.oid {
		case oidInt4:
			f.DataTypeSize = 4
		case oidInt8, oidLSN:
			f.DataTypeSize = 8
		case oidBool:
			f.DataTypeSize = 1
		}
		d.Fields = append(d.Fields, f)
	}
	return d
}

// sendRows sends rows and flushes them in parts, so that a large result is not
// buffered as a whole.
func (c *conn) sendRows(columns []column, rows [][]string, formats []int16) error {
	for i, r := range rows {
		values := make([][]byte, len(r))
		for j, v := range r {
			values[j] = encodeValue(v, formatCode(formats, j), columns[j].oid)
		}
		c.backend.Send(&pgproto3.DataRow{Values: values})
		if i%rowsPerFlush == rowsPerFlush-1 {
			if err := c.flush(); err != nil {
				return err
			}
		}
	}
	return nil
}
