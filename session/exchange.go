package session

import (
	"time"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/wire"
)

// exchange runs one statement on the connection that the entry chose.
func (c *session) exchange(st Statement, kind node.RequestKind, run node.RunRequest, deadline catalog.Instant) (node.RequestDone, Reply) {
	pool := c.server.options.Pool
	done := node.RequestDone{Request: run.Request, Conn: run.Conn, Outcome: node.OutcomeNotSent, PositionQueriedAt: c.server.options.Now()}
	u := pool.conn(run.Conn)
	if u == nil {
		return done, Reply{}
	}
	x := &exchange{dialect: pool.options.Dialect, conn: u, statement: st, kind: kind, after: run.After}
	prepare, err := x.prepare(c.values, c.names)
	if err != nil {
		done.Outcome, done.Reusable = node.OutcomeCompleted, true
		return done, Reply{Code: CodeMalformed}
	}
	end := pool.wallTime(deadline)
	if len(prepare) > 0 {
		replies, err := u.Exchange(end, prepare...)
		if err != nil {
			// Nothing that the caller asked for was sent.
			done.TimedOut = x.isLate(err)
			return done, Reply{}
		}
		if failed, ok := firstFailure(replies); ok {
			x.undo()
			done.Outcome = refusal(failed.Code)
			done.Position = failed.Position
			done.Reusable, done.InTransaction = x.settle(replies[len(replies)-1]), false
			if kind == node.KindInTransaction || !done.Reusable {
				done.Reusable = false
				u.end(errors.New("its preparation failed"), wire.EvidenceNone)
			}
			return done, failed
		}
		x.keep(c.values)
	}
	done.PositionQueriedAt = c.server.options.Now()
	replies, err := u.Exchange(end, x.command())
	if err != nil {
		done.Outcome = node.OutcomeLost
		done.TimedOut = x.isLate(err)
		return done, Reply{}
	}
	r := replies[0]
	done.Position = r.Position
	done.Outcome = x.outcomeOf(r)
	done.InTransaction = r.State == StateTransaction
	done.Reusable = true
	if r.State == StateFailed || done.InTransaction && done.Outcome != node.OutcomeCompleted {
		done.Reusable, done.InTransaction = x.settle(r), false
		if !done.Reusable {
			u.end(errors.New("its transaction could not be rolled back"), wire.EvidenceNone)
		}
	}
	return done, r
}

// exchange is the use of one connection for one statement.
type exchange struct {
	dialect   Dialect
	conn      *Conn
	statement Statement
	kind      node.RequestKind
	after     catalog.Position
	// name is the upstream's name of the prepared statement, isNew is set if
	// it is being prepared as what.
	name  string
	isNew bool
	what  prepared
	reset bool
}

// prepare lists what must run first, so that the statement finds the session's
// values, its prepared statement and its transaction.
func (x *exchange) prepare(values map[string]string, names map[string]prepared) ([]Command, error) {
	var out []Command
	u := x.conn
	if x.statement.Verb == VerbRollback {
		return nil, nil
	}
	if !u.matches(values) {
		x.reset = true
		out = append(out, Command{Text: x.dialect.Reset()})
	}
	for name, value := range values {
		if have, ok := u.values[name]; x.reset || !ok || have != value {
			out = append(out, Command{Text: x.dialect.Set(name, value)})
		}
	}
	if x.statement.Verb == VerbExecute {
		what, ok := names[x.statement.Name]
		if !ok {
			return nil, errors.NotFoundf("prepared statement %q", x.statement.Name)
		}
		x.what = what
		x.name, x.isNew = u.name(what)
		x.isNew = x.isNew || x.reset
		if x.isNew {
			out = append(out, Command{Text: x.dialect.Prepare(x.name, what.writes, what.shape)})
		}
	}
	if x.kind == node.KindBegin || x.kind == node.KindBeginRead {
		out = append(out, Command{Text: x.floored(x.dialect.Begin(x.kind == node.KindBeginRead))})
	}
	return out, nil
}

// keep notes what the upstream holds now.
func (x *exchange) keep(values map[string]string) {
	if x.reset {
		x.conn.forget()
	}
	for name, value := range values {
		x.conn.values[name] = value
	}
	if x.isNew {
		x.conn.names[x.what] = x.name
	}
}

// undo forgets what the upstream holds after a preparation that failed half
// way; the next user prepares all anew.
func (x *exchange) undo() {
	x.conn.forget()
	x.conn.values[unknownValue] = ""
}

// unknownValue is a name that no session sets, so that a reset comes first.
const unknownValue = "\x00"

func (x *exchange) floored(text string) string {
	if x.after.IsZero() {
		return text
	}
	return x.dialect.RequirePosition(x.after, text)
}

// command is the caller's own statement.
func (x *exchange) command() Command {
	st := x.statement
	switch {
	case st.Verb == VerbRollback:
		return Command{Text: x.dialect.Rollback()}
	case st.Verb == VerbExecute && x.kind == node.KindRead:
		return Command{ID: st.ID, Text: x.floored(x.dialect.Execute(x.name, st.Value))}
	case st.Verb == VerbExecute:
		return Command{ID: st.ID, Text: x.dialect.Execute(x.name, st.Value)}
	case x.kind == node.KindRead:
		return Command{ID: st.ID, Text: x.floored(st.Text)}
	default:
		return Command{ID: st.ID, Text: st.Text}
	}
}

// isLate reports whether a reply may yet come, so that the connection can be
// used again after that.
func (x *exchange) isLate(err error) bool {
	if !errors.Is(err, errLate) {
		return false
	}
	x.undo()
	return true
}

// settle rolls back what a failed statement has left open. It reports whether
// the connection is clean.
func (x *exchange) settle(last Reply) bool {
	if last.State == StateIdle {
		return true
	}
	replies, err := x.conn.Exchange(settleBy(), Command{Text: x.dialect.Rollback()})
	return err == nil && replies[0].Code == CodeNone && replies[0].State == StateIdle
}

func firstFailure(replies []Reply) (Reply, bool) {
	for _, r := range replies {
		if r.Code != CodeNone {
			return r, true
		}
	}
	return Reply{}, false
}

// refusal is the outcome of a preparation that failed: the caller's statement
// was not sent.
func refusal(c Code) node.Outcome {
	switch c {
	case CodeBehind:
		return node.OutcomeBehind
	case CodeReadOnly:
		return node.OutcomeReadOnly
	default:
		return node.OutcomeNotReady
	}
}

// outcomeOf says how the caller's statement ended at the upstream.
func (x *exchange) outcomeOf(r Reply) node.Outcome {
	switch r.Code {
	case CodeNone:
		return node.OutcomeCompleted
	case CodeBusy:
		return node.OutcomeNotReady
	case CodeNoStatement:
		x.undo()
		return node.OutcomeNotReady
	case CodeBehind, CodeReadOnly:
		return refusal(r.Code)
	case CodeFailed, CodeTimeout:
		if x.kind == node.KindRead || x.kind == node.KindBeginRead || x.kind == node.KindInTransaction {
			return node.OutcomeFailed
		}
	}
	return node.OutcomeCompleted
}

// settleTime bounds a rollback, after which the connection is given up.
const settleTime = 500 * time.Millisecond

func settleBy() time.Time {
	return time.Now().Add(settleTime)
}
