package standin

import (
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"
)

// preparedStatement is a parsed statement with its parameter types. For an
// empty query the statement is nil.
type preparedStatement struct {
	statement *statement
	params    []uint32
}

// portal is a prepared statement bound to its arguments.
type portal struct {
	prepared *preparedStatement
	args     []string
	formats  []int16
	// executed is true once the statement has run. From then on tag is its
	// command tag, and unsentRows holds the rows that were not sent yet.
	executed   bool
	tag        string
	unsentRows [][]string
}

// handleExtended handles one message of the extended protocol.
func (c *conn) handleExtended(m pgproto3.FrontendMessage) error {
	switch m := m.(type) {
	case *pgproto3.Parse:
		return c.handleParse(m)
	case *pgproto3.Bind:
		return c.handleBind(m)
	case *pgproto3.Describe:
		return c.handleDescribe(m)
	case *pgproto3.Execute:
		return c.handleExecute(m)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(c.prepared, m.Name)
		} else {
			delete(c.portals, m.Name)
		}
		c.backend.Send(&pgproto3.CloseComplete{})
		return nil
	}
	return newSQLError(codeProtocolViolation, "unexpected message %T", m)
}

// handleSync ends a pipeline and commits its implicit transaction.
func (c *conn) handleSync() error {
	c.skipToSync = false
	if err := c.commitImplicit(); err != nil {
		c.backend.Send(errorResponse("ERROR", err))
	}
	if !c.inBlock {
		c.portals = map[string]*portal{}
	}
	return c.sendReady()
}

func (c *conn) handleParse(m *pgproto3.Parse) error {
	if _, ok := c.prepared[m.Name]; ok && m.Name != "" {
		return newSQLError("42P05", "prepared statement %q already exists", m.Name)
	}
	texts := splitStatements(m.Query)
	if len(texts) > 1 {
		return newSQLError(codeSyntax, "cannot insert multiple commands into a prepared statement")
	}
	p := &preparedStatement{}
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
	c.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func (c *conn) handleBind(m *pgproto3.Bind) error {
	p, ok := c.prepared[m.PreparedStatement]
	if !ok {
		return newSQLError(codeNoStatement, "prepared statement %q does not exist", m.PreparedStatement)
	}
	if len(m.Parameters) != len(p.params) {
		return newSQLError(codeProtocolViolation, "bind message supplies %d parameters, but prepared statement %q requires %d",
			len(m.Parameters), m.PreparedStatement, len(p.params))
	}
	args := make([]string, len(p.params))
	for i, raw := range m.Parameters {
		v, err := decodeParam(raw, formatCode(m.ParameterFormatCodes, i), p.params[i])
		if err != nil {
			return err
		}
		args[i] = v
	}
	c.portals[m.DestinationPortal] = &portal{
		prepared: p, args: args, formats: slices.Clone(m.ResultFormatCodes),
	}
	c.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (c *conn) handleDescribe(m *pgproto3.Describe) error {
	var p *preparedStatement
	var formats []int16
	if m.ObjectType == 'S' {
		p = c.prepared[m.Name]
		if p == nil {
			return newSQLError(codeNoStatement, "prepared statement %q does not exist", m.Name)
		}
		c.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.params})
	} else {
		o := c.portals[m.Name]
		if o == nil {
			return newSQLError(codeNoPortal, "portal %q does not exist", m.Name)
		}
		p, formats = o.prepared, o.formats
	}
	if p.statement == nil || p.statement.columns == nil || p.statement.stream != nil {
		c.backend.Send(&pgproto3.NoData{})
		return nil
	}
	c.backend.Send(rowDescription(p.statement.columns, formats))
	return nil
}

func (c *conn) handleExecute(m *pgproto3.Execute) error {
	o := c.portals[m.Portal]
	if o == nil {
		return newSQLError(codeNoPortal, "portal %q does not exist", m.Portal)
	}
	s := o.prepared.statement
	if s == nil {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if !o.executed {
		r, err := c.execute(s, o.args)
		if err != nil {
			return err
		}
		o.executed, o.tag, o.unsentRows = true, r.tag, r.rows
	}
	n := len(o.unsentRows)
	if limit := int(m.MaxRows); limit > 0 && limit < n {
		n = limit
	}
	if err := c.sendRows(s.columns, o.unsentRows[:n], o.formats); err != nil {
		return err
	}
	o.unsentRows = o.unsentRows[n:]
	if len(o.unsentRows) > 0 {
		c.backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(o.tag)})
	return nil
}
