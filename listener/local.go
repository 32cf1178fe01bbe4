package listener

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/kingcupknot/kingcupknot/statement"
)

// The type id and the size of a text column.
const (
	textOID  = 25
	textSize = -1
)

// assign sets the value of a caller's setting.
func (c *caller) assign(name, value string) *fault {
	ownName, ok := strings.CutPrefix(name, statement.SettingPrefix)
	if !ok {
		c.parameters[name] = value
		return nil
	}
	if ownName == "request" || ownName == "traceparent" {
		return &fault{Code: codeInvalidParameter, Text: ownName + " belongs to one request; give it in a comment before the statement"}
	}
	return c.settings.set(c.server.options.TokenKey, c.service, ownName, value)
}

// answerAfterLoss answers a batch in a transaction that no upstream holds any
// more, since the entry aborted the transaction or its connection was lost. Only
// the end of the transaction is accepted, since any other batch must not run
// outside of it. answerAfterLoss reports false if there is no such transaction.
func (c *caller) answerAfterLoss(b *batch) bool {
	if c.transactionConn != nil {
		select {
		case <-c.transactionConn.Done():
			c.answerLostTransaction(b)
			return true
		default:
			return false
		}
	}
	if c.status == statusIdle {
		return false
	}
	if b.holdsForAll(statement.Batch.OnlyEndsTransaction) {
		if b.sql.OnlyEndsTransaction() {
			c.status = statusIdle
		}
		c.answerLocalBatch(b, func(statement.Statement) (string, *fault) { return "ROLLBACK", nil })
		return true
	}
	c.dropUnparsed(b)
	c.answerFault(&fault{
		Code: codeInFailedTransaction,
		Text: "current transaction is aborted, commands ignored until end of transaction block",
	})
	return true
}

// answerLostTransaction answers a batch in a transaction whose upstream
// connection was lost between two batches.
func (c *caller) answerLostTransaction(b *batch) {
	ends := b.holdsForAll(statement.Batch.OnlyEndsTransaction)
	if ends && len(b.sql.Statements) == 0 {
		// Preparing a statement that ends the transaction doesn't end it.
		c.answerLocalBatch(b, nil)
		return
	}
	c.transactionConn = nil
	if ends && !b.sql.MayCommit() {
		c.status = statusIdle
		c.answerLocalBatch(b, func(statement.Statement) (string, *fault) { return "ROLLBACK", nil })
		return
	}
	c.dropUnparsed(b)
	c.status = statusFailed
	if ends {
		c.status = statusIdle
	}
	c.answerFault(rolledBackFault())
}

// answerLocally answers a batch that needs no upstream. It reports false for any
// other batch.
func (c *caller) answerLocally(b *batch) bool {
	switch {
	case b.query != nil && len(b.sql.Statements) == 0:
		c.out.add(&pgproto3.EmptyQueryResponse{})
		c.endAnswer()
	case b.query == nil && b.closesOnly():
		c.answerLocalBatch(b, c.applySetting)
	case b.sql.OnlyEndsTransaction() && c.status == statusIdle:
		c.answerLocalBatch(b, c.endNoTransaction)
	case b.isLocal():
		c.answerLocalBatch(b, c.applySetting)
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

// isLocal reports whether the entry answers all statements of the batch itself,
// such as those about settings of the session.
func (b *batch) isLocal() bool {
	return b.holdsForAll(func(s statement.Batch) bool {
		local, _ := s.IsLocal()
		return local
	})
}

// endNoTransaction executes the end of a transaction when none is open: as in
// PostgreSQL, it succeeds with a warning.
func (c *caller) endNoTransaction(s statement.Statement) (string, *fault) {
	c.out.add(&pgproto3.NoticeResponse{
		Severity: "WARNING", SeverityUnlocalized: "WARNING", Code: "25P01",
		Message: "there is no transaction in progress",
	})
	return s.CommandTag, nil
}

// applySetting executes a statement that the entry answers itself: it sets or
// shows a setting, or drops the caller's prepared statements.
func (c *caller) applySetting(s statement.Statement) (string, *fault) {
	switch s.Action {
	case statement.ActionDropPrepared:
		if s.CommandTag != "UNLISTEN" {
			clear(c.statements)
		}
	case statement.ActionShow:
		name := strings.TrimPrefix(s.Name, statement.SettingPrefix)
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
	return s.CommandTag, nil
}

// answerLocalBatch answers a batch by executing its statements in the entry.
func (c *caller) answerLocalBatch(b *batch, execute func(statement.Statement) (string, *fault)) {
	if b.query == nil {
		c.answerLocalSteps(b, execute)
		return
	}
	for _, s := range b.sql.Statements {
		if d := description(s); d != nil {
			c.out.add(d)
		}
		tag, f := execute(s)
		if f != nil {
			c.answerFault(f)
			return
		}
		c.out.add(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	}
	c.endAnswer()
}

// answerLocalSteps answers a batch in the extended protocol by executing its
// statements in the entry.
func (c *caller) answerLocalSteps(b *batch, execute func(statement.Statement) (string, *fault)) {
	portals := make(map[string]*prepared)
	for _, s := range b.steps {
		switch m := s.message.(type) {
		case *pgproto3.Parse:
			s.isParsed = true
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
				c.answerFault(f)
				return
			}
		case *pgproto3.Close:
			c.out.add(&pgproto3.CloseComplete{})
		}
	}
	c.endAnswer()
}

// executeLocally executes a prepared statement in the entry and adds its
// CommandComplete, or returns the fault.
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

// describe adds the RowDescription of a prepared statement that the entry answers
// itself, or NoData if the statement returns no rows.
func (c *caller) describe(p *prepared) {
	if p != nil && len(p.SQL.Statements) > 0 {
		if d := description(p.SQL.Statements[0]); d != nil {
			c.out.add(d)
			return
		}
	}
	c.out.add(&pgproto3.NoData{})
}

// description returns the description of the row that a statement about settings
// returns, or nil if it returns none.
func description(s statement.Statement) *pgproto3.RowDescription {
	if s.Action != statement.ActionShow {
		return nil
	}
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name: []byte(s.Name), DataTypeOID: textOID, DataTypeSize: textSize, TypeModifier: -1,
	}}}
}
