package standin

import (
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"
)

// prepared is a named statement. A nil statement is an empty query.
type prepared struct {
	statement *statement
	params    []uint32
}

// portal is a bound statement.
type portal struct {
	prepared *prepared
	args     []string
	formats  []int16
	// ran is set once the statement was executed; rows are those not sent.
	ran  bool
	tag  string
	rows [][]string
}

// extended answers one message of the extended protocol.
func (c *conn) extended(m pgproto3.FrontendMessage) error {
	switch m := m.(type) {
	case *pgproto3.Parse:
		return c.parse(m)
	case *pgproto3.Bind:
		return c.bind(m)
	case *pgproto3.Describe:
		return c.describe(m)
	case *pgproto3.Execute:
		return c.run(m)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(c.prepared, m.Name)
		} else {
			delete(c.portals, m.Name)
		}
		c.back.Send(&pgproto3.CloseComplete{})
		return nil
	}
	return fail(codeProtocol, "unexpected message %T", m)
}

// sync ends a pipeline and the transaction that it opened by itself.
func (c *conn) sync() error {
	c.skipping = false
	if err := c.finish(); err != nil {
		c.back.Send(response("ERROR", err))
	}
	if !c.block {
		c.portals = map[string]*portal{}
	}
	return c.ready()
}

func (c *conn) parse(m *pgproto3.Parse) error {
	if _, ok := c.prepared[m.Name]; ok && m.Name != "" {
		return fail("42P05", "prepared statement %q already exists", m.Name)
	}
	texts := split(m.Query)
	if len(texts) > 1 {
		return fail(codeSyntax, "cannot insert multiple commands into a prepared statement")
	}
	p := &prepared{}
	if len(texts) == 1 {
		s, err := parse(texts[0])
		if err != nil {
			return err
		}
		p.statement, p.params = s, slices.Clone(s.params)
		for i, oid := range m.ParameterOIDs {
			if oid != 0 && i < len(p.params) {
				p.params[i] = oid
			}
		}
	}
	c.prepared[m.Name] = p
	c.back.Send(&pgproto3.ParseComplete{})
	return nil
}

func (c *conn) bind(m *pgproto3.Bind) error {
	p, ok := c.prepared[m.PreparedStatement]
	if !ok {
		return fail(codeNoStatement, "prepared statement %q does not exist", m.PreparedStatement)
	}
	if len(m.Parameters) != len(p.params) {
		return fail(codeProtocol, "bind message supplies %d parameters, but prepared statement %q requires %d",
			len(m.Parameters), m.PreparedStatement, len(p.params))
	}
	args := make([]string, len(p.params))
	for i, raw := range m.Parameters {
		v, err := decode(raw, formatOf(m.ParameterFormatCodes, i), p.params[i])
		if err != nil {
			return err
		}
		args[i] = v
	}
	c.portals[m.DestinationPortal] = &portal{
		prepared: p, args: args, formats: slices.Clone(m.ResultFormatCodes),
	}
	c.back.Send(&pgproto3.BindComplete{})
	return nil
}

func (c *conn) describe(m *pgproto3.Describe) error {
	var p *prepared
	var formats []int16
	if m.ObjectType == 'S' {
		p = c.prepared[m.Name]
		if p == nil {
			return fail(codeNoStatement, "prepared statement %q does not exist", m.Name)
		}
		c.back.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.params})
	} else {
		o := c.portals[m.Name]
		if o == nil {
			return fail(codeNoPortal, "portal %q does not exist", m.Name)
		}
		p, formats = o.prepared, o.formats
	}
	if p.statement == nil || p.statement.columns == nil || p.statement.stream != nil {
		c.back.Send(&pgproto3.NoData{})
		return nil
	}
	c.back.Send(describe(p.statement.columns, formats))
	return nil
}

func (c *conn) run(m *pgproto3.Execute) error {
	o := c.portals[m.Portal]
	if o == nil {
		return fail(codeNoPortal, "portal %q does not exist", m.Portal)
	}
	s := o.prepared.statement
	if s == nil {
		c.back.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if !o.ran {
		r, err := c.execute(s, o.args)
		if err != nil {
			return err
		}
		o.ran, o.tag, o.rows = true, r.tag, r.rows
	}
	n := len(o.rows)
	if limit := int(m.MaxRows); limit > 0 && limit < n {
		n = limit
	}
	if err := c.send(s.columns, o.rows[:n], o.formats); err != nil {
		return err
	}
	o.rows = o.rows[n:]
	if len(o.rows) > 0 {
		c.back.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	c.back.Send(&pgproto3.CommandComplete{CommandTag: []byte(o.tag)})
	return nil
}
