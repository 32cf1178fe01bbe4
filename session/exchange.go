package session

import (
	"time"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/wire"
)

// execute runs one statement on the connection that the reducer chose. It
// returns the result for the reducer and the upstream's reply.
func (c *session) execute(st Statement, kind node.RequestKind, run node.RunRequest, deadline catalog.Instant) (node.RequestDone, Reply) {
	pool := c.server.options.Pool
	done := node.RequestDone{Request: run.Request, Conn: run.Conn, Outcome: node.OutcomeNotSent, PositionQueriedAt: c.server.options.Now()}
	conn := pool.conn(run.Conn)
	if conn == nil {
		return done, Reply{}
	}
	x := &exchange{dialect: pool.options.Dialect, conn: conn, statement: st, kind: kind, minPosition: run.After}
	prepare, err := x.preparation(c.values, c.statements)
	if err != nil {
		done.Outcome, done.Reusable = node.OutcomeCompleted, true
		return done, Reply{Code: CodeMalformed}
	}
	end := pool.wallTime(deadline)
	if len(prepare) > 0 {
		replies, err := conn.Exchange(end, prepare...)
		if err != nil {
			// The caller's own statement was not sent.
			done.TimedOut = x.expectsLateReply(err)
			return done, Reply{}
		}
		if failed, ok := firstFailure(replies); ok {
			x.invalidateState()
			done.Outcome = preparationOutcome(failed.Code)
			done.Position = failed.Position
			done.Reusable, done.InTransaction = x.rollBack(replies[len(replies)-1]), false
			if kind == node.KindInTransaction || !done.Reusable {
				done.Reusable = false
				conn.end(errors.New("the preparation of the connection failed"), wire.EvidenceNone)
			}
			return done, failed
		}
		x.recordState(c.values)
	}
	done.PositionQueriedAt = c.server.options.Now()
	replies, err := conn.Exchange(end, x.command())
	if err != nil {
		done.Outcome = node.OutcomeLost
		done.TimedOut = x.expectsLateReply(err)
		return done, Reply{}
	}
	r := replies[0]
	done.Position = r.Position
	done.Outcome = x.outcomeOf(r)
	done.InTransaction = r.State == StateTransaction
	done.Reusable = true
	if r.State == StateFailed || done.InTransaction && done.Outcome != node.OutcomeCompleted {
		done.Reusable, done.InTransaction = x.rollBack(r), false
		if !done.Reusable {
			conn.end(errors.New("the transaction on the connection could not be rolled back"), wire.EvidenceNone)
		}
	}
	return done, r
}

// exchange is the execution of one statement on one connection.
type exchange struct {
	dialect     Dialect
	conn        *Conn
	statement   Statement
	kind        node.RequestKind
	minPosition catalog.Position
	// upstreamName is the name at the upstream of the prepared statement that
	// the caller executes, prepared is its content. mustPrepare is set if the
	// statement must be prepared at the upstream first.
	upstreamName string
	mustPrepare  bool
	prepared     preparedStatement
	// mustReset is set if the connection must be reset first.
	mustReset bool
}

// preparation returns the commands that must run before the caller's statement:
// they reset the connection, set the session's values, prepare the statement and
// begin the transaction, each only if necessary. It fails if the caller executes
// a prepared statement that the session doesn't have.
func (x *exchange) preparation(values map[string]string, statements map[string]preparedStatement) ([]Command, error) {
	var out []Command
	conn := x.conn
	if x.statement.Verb == VerbRollback {
		return nil, nil
	}
	if !conn.hasNoValuesBeyond(values) {
		x.mustReset = true
		out = append(out, Command{Text: x.dialect.Reset()})
	}
	for name, value := range values {
		if current, ok := conn.values[name]; x.mustReset || !ok || current != value {
			out = append(out, Command{Text: x.dialect.Set(name, value)})
		}
	}
	if x.statement.Verb == VerbExecute {
		statement, ok := statements[x.statement.Name]
		if !ok {
			return nil, errors.NotFoundf("prepared statement %q", x.statement.Name)
		}
		x.prepared = statement
		x.upstreamName, x.mustPrepare = conn.statementName(statement)
		x.mustPrepare = x.mustPrepare || x.mustReset
		if x.mustPrepare {
			out = append(out, Command{Text: x.dialect.Prepare(x.upstreamName, statement.mayWrite, statement.template)})
		}
	}
	if x.kind == node.KindBegin || x.kind == node.KindBeginRead {
		out = append(out, Command{Text: x.withMinPosition(x.dialect.Begin(x.kind == node.KindBeginRead))})
	}
	return out, nil
}

// recordState records the values and the prepared statement that the upstream
// holds after a successful preparation.
func (x *exchange) recordState(values map[string]string) {
	if x.mustReset {
		x.conn.clearState()
	}
	for name, value := range values {
		x.conn.values[name] = value
	}
	if x.mustPrepare {
		x.conn.statements[x.prepared] = x.upstreamName
	}
}

// invalidateState marks the values and prepared statements at the upstream as
// unknown, for instance after a preparation that failed halfway. The next use
// resets the connection and repeats the whole preparation.
func (x *exchange) invalidateState() {
	x.conn.clearState()
	x.conn.values[invalidStateMarker] = ""
}

// invalidStateMarker is a value name that no session uses. A connection that has
// it is reset before the next statement.
const invalidStateMarker = "\x00"

// withMinPosition adds the required minimum position, if any, to a statement.
func (x *exchange) withMinPosition(text string) string {
	if x.minPosition.IsZero() {
		return text
	}
	return x.dialect.RequirePosition(x.minPosition, text)
}

// command returns the command for the caller's own statement.
func (x *exchange) command() Command {
	st := x.statement
	switch {
	case st.Verb == VerbRollback:
		return Command{Text: x.dialect.Rollback()}
	case st.Verb == VerbExecute && x.kind == node.KindRead:
		return Command{ID: st.ID, Text: x.withMinPosition(x.dialect.Execute(x.upstreamName, st.Value))}
	case st.Verb == VerbExecute:
		return Command{ID: st.ID, Text: x.dialect.Execute(x.upstreamName, st.Value)}
	case x.kind == node.KindRead:
		return Command{ID: st.ID, Text: x.withMinPosition(st.Text)}
	default:
		return Command{ID: st.ID, Text: st.Text}
	}
}

// expectsLateReply reports whether an error of Exchange means that replies may
// still arrive after the deadline. If so, it invalidates the connection's state;
// the connection can be used again once those replies have arrived.
func (x *exchange) expectsLateReply(err error) bool {
	if !errors.Is(err, errDeadlineExceeded) {
		return false
	}
	x.invalidateState()
	return true
}

// rollBack rolls back a transaction that a failed statement has left open. It
// reports whether the connection can be used again.
func (x *exchange) rollBack(last Reply) bool {
	if last.State == StateIdle {
		return true
	}
	replies, err := x.conn.Exchange(rollbackDeadline(), Command{Text: x.dialect.Rollback()})
	return err == nil && replies[0].Code == CodeNone && replies[0].State == StateIdle
}

// firstFailure returns the first reply that reports an error, if any.
func firstFailure(replies []Reply) (Reply, bool) {
	for _, r := range replies {
		if r.Code != CodeNone {
			return r, true
		}
	}
	return Reply{}, false
}

// preparationOutcome returns the outcome of a request whose statement was not run
// because the upstream refused the preparation, or the statement itself, with the
// code.
func preparationOutcome(c Code) node.Outcome {
	switch c {
	case CodeBehind:
		return node.OutcomeBehind
	case CodeReadOnly:
		return node.OutcomeReadOnly
	default:
		return node.OutcomeNotReady
	}
}

// outcomeOf returns the outcome for the upstream's reply to the caller's
// statement.
func (x *exchange) outcomeOf(r Reply) node.Outcome {
	switch r.Code {
	case CodeNone:
		return node.OutcomeCompleted
	case CodeBusy:
		return node.OutcomeNotReady
	case CodeNoStatement:
		x.invalidateState()
		return node.OutcomeNotReady
	case CodeBehind, CodeReadOnly:
		return preparationOutcome(r.Code)
	case CodeFailed, CodeTimeout:
		if x.kind == node.KindRead || x.kind == node.KindBeginRead || x.kind == node.KindInTransaction {
			return node.OutcomeFailed
		}
	}
	return node.OutcomeCompleted
}

// rollbackTimeout bounds a rollback. A connection whose rollback takes longer is
// closed.
const rollbackTimeout = 500 * time.Millisecond

func rollbackDeadline() time.Time {
	return time.Now().Add(rollbackTimeout)
}
