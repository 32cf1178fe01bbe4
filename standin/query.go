package standin

import "github.com/jackc/pgx/v5/pgproto3"

// query answers the simple protocol.
func (c *conn) query(text string) error {
	c.skipping = false
	statements := split(text)
	if len(statements) == 0 {
		c.back.Send(&pgproto3.EmptyQueryResponse{})
	}
	for i, t := range statements {
		err := c.simple(t, i == len(statements)-1)
		if err == errGone {
			return err
		}
		if err != nil {
			c.abort()
			c.back.Send(response("ERROR", err))
			break
		}
	}
	return c.ready()
}

// simple runs one statement of a query. A transaction that the query opened by
// itself ends before the completion of its last statement is sent.
func (c *conn) simple(text string, last bool) error {
	s, err := parse(text)
	if err != nil {
		return err
	}
	if len(s.params) > 0 {
		return fail("42P02", "there is no parameter $1")
	}
	r, err := c.execute(s, nil)
	if err != nil {
		return err
	}
	if last {
		if err := c.finish(); err != nil {
			return err
		}
	}
	if s.stream == nil && s.columns != nil {
		c.back.Send(describe(s.columns, nil))
		if err := c.send(s.columns, r.rows, nil); err != nil {
			return err
		}
	}
	c.back.Send(&pgproto3.CommandComplete{CommandTag: []byte(r.tag)})
	return nil
}

func describe(columns []column, formats []int16) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{}
	for i, col := range columns {
		f := pgproto3.FieldDescription{
			Name: []byte(col.name), DataTypeOID: col.oid, DataTypeSize: -1,
			TypeModifier: -1, Format: formatOf(formats, i),
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

// send sends rows, in parts so that a large answer takes no second copy.
func (c *conn) send(columns []column, rows [][]string, formats []int16) error {
	for i, r := range rows {
		values := make([][]byte, len(r))
		for j, v := range r {
			values[j] = encode(v, formatOf(formats, j), columns[j].oid)
		}
		c.back.Send(&pgproto3.DataRow{Values: values})
		if i%flushEvery == flushEvery-1 {
			if err := c.flush(); err != nil {
				return err
			}
		}
	}
	return nil
}
