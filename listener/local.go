package listener

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/kingcupknot/kingcupknot/statement"
)

// Type and size of a text column.
const (
	textOID  = 25
	textSize = -1
)

// assign gives a setting of the caller a value.
func (c *caller) assign(name, value string) *fault {
	own, ok := strings.CutPrefix(name, statement.OwnPrefix)
	if !ok {
		c.parameters[name] = value
		return nil
	}
	if own == "request" || own == "traceparent" {
		return &fault{Code: codeParameter, Text: own + " belongs to one request; give it in a comment before the statement"}
	}
	return c.settings.set(c.server.options.TokenKey, c.service, own, value)
}

// answerBroken answers a batch in a transaction whose upstream is lost. Its
// statements must not run outside of it, so only its end is taken.
func (c *caller) answerBroken(b *batch) bool {
	if c.held != nil {
		select {
		case <-c.held.Done():
			c.answerLost(b)
			return true
		default:
			return false
		}
	}
	if c.status == statusIdle {
		return false
	}
	if b.all(statement.Batch.Ends) {
		if b.sql.Ends() {
			c.status = statusIdle
		}
		c.play(b, func(statement.Statement) (string, *fault) { return "ROLLBACK", nil })
		return true
	}
	c.forgetUnparsed(b)
	c.fail(&fault{
		Code: codeFailed,
		Text: "current transaction is aborted, commands ignored until end of transaction block",
	})
	return true
}

// answerLost tells the caller that its transaction was lost between batches.
func (c *caller) answerLost(b *batch) {
	ends := b.all(statement.Batch.Ends)
	if ends && len(b.sql.Statements) == 0 {
		// To prepare the end of the transaction is not to end it.
		c.play(b, nil)
		return
	}
	c.held = nil
	if ends && !b.sql.Commits() {
		c.status = statusIdle
		c.play(b, func(statement.Statement) (string, *fault) { return "ROLLBACK", nil })
		return
	}
	c.forgetUnparsed(b)
	c.status = statusFailed
	if ends {
		c.status = statusIdle
	}
	c.fail(rolledBack())
}

// answerLocally answers what needs no upstream.
func (c *caller) answerLocally(b *batch) bool {
	switch {
	case b.query != nil && len(b.sql.Statements) == 0:
		c.out.add(&pgproto3.EmptyQueryResponse{})
		c.ready()
	case b.query == nil && b.closesOnly():
		c.play(b, c.apply)
	case b.sql.Ends() && c.status == statusIdle:
		c.play(b, c.endNothing)
	case b.local():
		c.play(b, c.apply)
	default:
		return false
	}
	return true
}

// closesOnly reports whether the batch only closes statements.
func (b *batch) closesOnly() bool {
	for _, s := range b.steps {
		if m, ok := s.message.(*pgproto3.Close); !ok || m.ObjectType != 'S' {
			return false
		}
	}
	return true
}

// local reports whether the batch holds only settings of the session.
func (b *batch) local() bool {
	return b.all(func(s statement.Batch) bool {
		local, _ := s.Local()
		return local
	})
}

// endNothing answers the end of a transaction outside of any.
func (c *caller) endNothing(s statement.Statement) (string, *fault) {
	c.out.add(&pgproto3.NoticeResponse{
		Severity: "WARNING", SeverityUnlocalized: "WARNING", Code: "25P01",
		Message: "there is no transaction in progress",
	})
	return s.Tag, nil
}

// apply carries out a statement about settings.
func (c *caller) apply(s statement.Statement) (string, *fault) {
	switch s.Action {
	case statement.ActionForget:
		if s.Tag != "UNLISTEN" {
			clear(c.statements)
		}
	case statement.ActionShow:
		name := strings.TrimPrefix(s.Name, statement.OwnPrefix)
		c.out.add(&pgproto3.DataRow{Values: [][]byte{[]byte(c.settings.get(name))}})
	case statement.ActionSet:
		if s.Name == "" {
			break
		}
		if f := c.assign(s.Name, s.Value); f != nil {
			return "", f
		}
		if s.Name == "application_name" {
			c.out.add(&pgproto3.ParameterStatus{Name: s.Name, Value: s.Value})
		}
	}
	return s.Tag, nil
}

// play answers a batch by carrying out its statements here.
func (c *caller) play(b *batch, execute func(statement.Statement) (string, *fault)) {
	if b.query == nil {
		c.playSteps(b, execute)
		return
	}
	for _, s := range b.sql.Statements {
		if d := description(s); d != nil {
			c.out.add(d)
		}
		tag, f := execute(s)
		if f != nil {
			c.fail(f)
			return
		}
		c.out.add(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	}
	c.ready()
}

func (c *caller) playSteps(b *batch, execute func(statement.Statement) (string, *fault)) {
	portals := make(map[string]*prepared)
	for _, s := range b.steps {
		switch m := s.message.(type) {
		case *pgproto3.Parse:
			s.parsed = true
			c.out.add(&pgproto3.ParseComplete{})
		case *pgproto3.Bind:
			portals[m.DestinationPortal] = s.statement
			c.out.add(&pgproto3.BindComplete{})
		case *pgproto3.Describe:
			p := s.statement
			if m.ObjectType == 'S' {
				c.out.add(&pgproto3.ParameterDescription{})
			} else {
				p = portals[m.Name]
			}
			c.describe(p)
		case *pgproto3.Execute:
			if f := c.executeLocally(portals[m.Portal], execute); f != nil {
				c.fail(f)
				return
			}
		case *pgproto3.Close:
			c.out.add(&pgproto3.CloseComplete{})
		}
	}
	c.ready()
}

func (c *caller) executeLocally(p *prepared, execute func(statement.Statement) (string, *fault)) *fault {
	if p == nil || len(p.SQL.Statements) == 0 {
		c.out.add(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	tag, f := execute(p.SQL.Statements[0])
	if f != nil {
		return f
	}
	c.out.add(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return nil
}

func (c *caller) describe(p *prepared) {
	if p != nil && len(p.SQL.Statements) > 0 {
		if d := description(p.SQL.Statements[0]); d != nil {
			c.out.add(d)
			return
		}
	}
	c.out.add(&pgproto3.NoData{})
}

// description describes the row that a statement about settings returns.
func description(s statement.Statement) *pgproto3.RowDescription {
	if s.Action != statement.ActionShow {
		return nil
	}
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name: []byte(s.Name), DataTypeOID: textOID, DataTypeSize: textSize, TypeModifier: -1,
	}}}
}
