package session

import (
	"time"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
)

// ErrInterrupted says that a wait for a caller was interrupted; no part of a
// statement was lost.
const ErrInterrupted = errors.ConstError("the wait was interrupted")

// minIdleTime is how long a caller must have been between operations before its
// session is ended: one that is about to send the next statement would find the
// connection closed under it.
const minIdleTime = 60 * time.Millisecond

// busySessionGrace is how long the sessions of callers that do not rest go on during a
// planned stop; they are then ended right behind an answer.
const busySessionGrace = 300 * time.Millisecond

// failedTransactionGrace is how long a caller whose transaction was rolled back by a planned
// stop may take until it sends the next statement and hears of it.
const failedTransactionGrace = 500 * time.Millisecond

// routesTimeout is how long a caller waits for this entry's first configuration.
// Callers give up after two seconds.
const routesTimeout = 1500 * time.Millisecond

// session is the conversation with one caller. One goroutine owns it.
type session struct {
	server   *Server
	link     CallerConn
	database string
	// values and names are what the caller was told is in force.
	values     map[string]string
	statements map[string]preparedStatement
	// floor is the position of the session's last write. Invariant: it only
	// grows.
	floor catalog.Position
	tx    *transaction
	// forwardedFrom is the entry whose requests run here, empty for a caller's session.
	forwardedFrom catalog.VMID
	// waitTime is how long the caller has waitTime before its next request reached
	// this process.
	waitTime time.Duration
	// shouldReconnect is set once this entry could not run what another may. The
	// session ends after the operation, and the caller connects elsewhere.
	shouldReconnect bool
	// lastActive is when the caller was answered last.
	lastActive time.Time
}

// transaction is one that the caller has open.
type transaction struct {
	route    catalog.Route
	readOnly bool
	// conn is the upstream connection, zero before the first statement.
	conn catalog.ConnID
	// peer leads to the entry that holds it, nil if none does, and began is the
	// request that was passed on there first.
	peer         *PeerConn
	firstForward catalog.RequestID
	// hasWritten is set once a write was sent.
	hasWritten bool
	failed     bool
	// idleDeadline is when it may be rolled back for being idle, zero if never.
	idleDeadline time.Time
}

// hasUpstream reports whether an upstream takes part.
func (t *transaction) hasUpstream() bool { return t.conn != 0 || t.peer != nil }

func (c *session) run() {
	defer c.link.Close()
	defer c.dropTransaction()
	if !c.start() {
		return
	}
	for {
		c.scheduleInterrupt()
		st, err := c.link.Receive()
		if errors.Is(err, ErrInterrupted) {
			if c.enforceDeadlines() {
				return
			}
			continue
		}
		if err != nil {
			return
		}
		if err := c.handle(st); err != nil {
			return
		}
		c.lastActive = time.Now()
		if c.tx != nil || st.Verb == VerbRead || st.Verb == VerbWrite || st.Verb == VerbExecute {
			// The next operation begins without what this one had waited.
			c.waitTime = 0
		}
		if c.enforceDeadlines() {
			return
		}
	}
}

// start answers the caller's first message.
func (c *session) start() bool {
	database, err := c.link.ReceiveStartup()
	if err != nil {
		return false
	}
	if c.server.isolated.Load() {
		c.link.Refuse(CodeBusy, "this entry is cut off; connect again")
		return false
	}
	began := time.Now()
	if !c.server.routes.await(routesTimeout) {
		c.link.Refuse(CodeBusy, "the entry has no configuration yet")
		return false
	}
	c.waitTime = time.Since(began)
	if _, ok := c.server.routes.find(database); !ok {
		c.server.logDecision(Decision{Database: database, Verdict: "no-database"})
		c.link.Refuse(CodeNoDatabase, "no database has this name")
		return false
	}
	c.database = database
	c.lastActive = time.Now()
	return c.link.Answer(Answer{State: StateIdle}) == nil
}

// scheduleInterrupt has the wait for the caller end when something else is due.
func (c *session) scheduleInterrupt() {
	var at time.Time
	stop := c.server.stop.Load()
	if c.tx == nil {
		if stop != nil || c.server.isolated.Load() {
			at = c.lastActive.Add(minIdleTime)
		}
	} else {
		at = c.tx.idleDeadline
		if by := stop.deadlineOf(c.tx); stop != nil && (at.IsZero() || by.Before(at)) {
			at = by
		}
	}
	c.link.InterruptAt(at)
}

// enforceDeadlines gives up what is due and reports whether the session must end.
func (c *session) enforceDeadlines() bool {
	now := time.Now()
	stop := c.server.stop.Load()
	if c.tx == nil && c.shouldReconnect {
		return c.link.IsBetweenStatements()
	}
	if c.tx == nil {
		rests := now.Sub(c.lastActive) >= minIdleTime || stop != nil && now.After(stop.busyDeadline)
		return (stop != nil || c.server.isolated.Load()) && rests && c.link.IsBetweenStatements()
	}
	rested := !c.tx.idleDeadline.IsZero() && now.After(c.tx.idleDeadline)
	if rested || stop != nil && now.After(stop.transactionDeadline) {
		c.failTransaction()
		c.tx.idleDeadline = time.Time{}
	}
	return stop != nil && c.tx.failed && now.After(stop.deadlineOf(c.tx)) && c.link.IsBetweenStatements()
}

// deadlineOf is when the stop ends a transaction, or the session of one that has
// failed: its caller is told with the next statement, and has time to send that.
func (s *plannedStop) deadlineOf(t *transaction) time.Time {
	switch {
	case s == nil:
		return time.Time{}
	case t.failed:
		return s.transactionDeadline.Add(failedTransactionGrace)
	default:
		return s.transactionDeadline
	}
}

// failTransaction rolls the transaction back; the caller can only end it.
func (c *session) failTransaction() {
	c.dropTransaction()
	c.tx.failed = true
}

// dropTransaction gives the connection of the transaction up, which rolls it back.
func (c *session) dropTransaction() {
	if c.tx == nil {
		return
	}
	c.releasePeer(true)
	if c.tx.conn == 0 {
		return
	}
	if u := c.server.options.Pool.conn(c.tx.conn); u != nil {
		c.server.options.Feed(node.TransactionDropped{Conn: c.tx.conn})
		u.end(errors.New("its transaction was given up"), 0)
	}
	c.tx.conn = 0
}

func (c *session) state() State {
	switch {
	case c.tx == nil:
		return StateIdle
	case c.tx.failed:
		return StateFailed
	default:
		return StateTransaction
	}
}

// answerSuccess answers a statement that needs no upstream.
func (c *session) answerSuccess() error {
	return c.link.Answer(Answer{State: c.state()})
}

func (c *session) answerError(code Code, text string) error {
	return c.link.Answer(Answer{Code: code, Text: text, State: c.state()})
}

// handle answers one statement. An error ends the session.
func (c *session) handle(st Statement) error {
	if c.tx != nil {
		return c.handleInTransaction(st)
	}
	switch st.Verb {
	case VerbBegin, VerbBeginRead:
		return c.begin(st)
	case VerbRead, VerbWrite, VerbExecute:
		return c.runAutocommit(st)
	case VerbRollback:
		return c.answerSuccess()
	default:
		return c.handleLocal(st)
	}
}

// handleInTransaction answers a statement within a transaction.
func (c *session) handleInTransaction(st Statement) error {
	t := c.tx
	if idle, _ := c.server.routes.transactionIdle(); idle > 0 {
		defer func() { t.idleDeadline = time.Now().Add(idle) }()
	}
	switch {
	case st.Verb == VerbRollback:
		return c.rollback()
	case t.failed && st.Verb == VerbCommit:
		c.tx = nil
		return c.answerError(CodeAborted, "the transaction was rolled back")
	case t.failed:
		return c.answerError(CodeMalformed, "the transaction has failed and can only be ended")
	}
	switch st.Verb {
	case VerbRead, VerbWrite, VerbExecute, VerbCommit:
		return c.runInTransaction(st)
	case VerbBegin, VerbBeginRead:
		return c.answerError(CodeMalformed, "a transaction is open already")
	default:
		return c.handleLocal(st)
	}
}

// handleLocal answers what changes nothing but the session.
func (c *session) handleLocal(st Statement) error {
	switch st.Verb {
	case VerbSet:
		c.values[st.Name] = st.Value
	case VerbPrepare:
		c.statements[st.Name] = preparedStatement{mayWrite: st.MayWrite, template: st.Value}
	case VerbDeallocate:
		delete(c.statements, st.Name)
	case VerbCommit:
		return c.answerError(CodeMalformed, "no transaction is open")
	default:
		return c.answerError(CodeMalformed, "the statement could not be read")
	}
	return c.answerSuccess()
}

// begin opens a transaction. An upstream takes part from the first statement
// on, so that none is held while the caller rests before it.
func (c *session) begin(st Statement) error {
	route, ok := c.server.routes.find(c.database)
	if !ok {
		return c.answerError(CodeNoDatabase, "no database has this name any more")
	}
	c.tx = &transaction{route: route, readOnly: st.Verb == VerbBeginRead}
	if idle, _ := c.server.routes.transactionIdle(); idle > 0 {
		c.tx.idleDeadline = time.Now().Add(idle)
	}
	return c.answerSuccess()
}

// rollback ends a transaction without keeping anything.
func (c *session) rollback() error {
	t := c.tx
	if t.hasUpstream() {
		c.request(Statement{Verb: VerbRollback}, t.route, node.KindInside)
	}
	c.dropTransaction()
	c.tx = nil
	return c.answerSuccess()
}

// runAutocommit runs a statement outside a transaction.
func (c *session) runAutocommit(st Statement) error {
	route, ok := c.server.routes.find(c.database)
	if !ok {
		return c.answerError(CodeNoDatabase, "no database has this name any more")
	}
	writes, ok := c.mayWrite(st)
	if !ok {
		return c.answerError(CodeMalformed, "no statement is prepared under this name")
	}
	kind := node.KindRead
	if writes {
		kind = node.KindWrite
	}
	return c.finish(st, c.request(st, route, kind))
}

// mayWrite reports whether a statement may write; it fails for a name that is
// not prepared.
func (c *session) mayWrite(st Statement) (writes, ok bool) {
	if st.Verb != VerbExecute {
		return st.Verb == VerbWrite, true
	}
	p, ok := c.statements[st.Name]
	return p.mayWrite, ok
}

// runInTransaction runs a statement of a transaction, the first one behind a begin.
func (c *session) runInTransaction(st Statement) error {
	writes, ok := c.mayWrite(st)
	if !ok {
		return c.answerError(CodeMalformed, "no statement is prepared under this name")
	}
	kind := node.KindInside
	switch {
	case c.tx.hasUpstream():
	case c.tx.readOnly:
		kind = node.KindBeginRead
	default:
		kind = node.KindBegin
	}
	c.tx.hasWritten = c.tx.hasWritten || writes
	return c.finish(st, c.request(st, c.tx.route, kind))
}

// finish passes the outcome of a request on to the caller.
func (c *session) finish(st Statement, o outcome) error {
	if c.floor.Less(o.floor) {
		c.floor = o.floor
	}
	c.shouldReconnect = c.shouldReconnect || o.mayRunElsewhere
	ended := c.tx != nil && st.Verb == VerbCommit
	code, text := c.answerCode(st, &o)
	if ended {
		c.tx = nil
	} else if c.tx != nil && code != CodeNone {
		c.failTransaction()
	}
	a := Answer{Body: o.reply.Body, Code: code, Text: text, State: c.state(), Position: o.reply.Position}
	if code != CodeNone && !o.isUpstreamError {
		a.Body = nil
	}
	return c.link.Answer(a)
}

// answerCode says what the caller is told of an outcome.
func (c *session) answerCode(st Statement, o *outcome) (Code, string) {
	isCommit := st.Verb == VerbCommit
	inside := c.tx != nil
	switch o.verdict {
	case node.VerdictDone:
		if o.reply.Code != CodeNone {
			o.isUpstreamError = true
		}
		return o.reply.Code, ""
	case node.VerdictNotRun:
		if inside {
			return CodeAborted, o.errorText()
		}
		return CodeBusy, o.errorText()
	}
	if inside && (!isCommit || !c.tx.hasWritten) {
		// Without a commit nothing of the transaction is kept.
		return CodeAborted, o.errorText()
	}
	if writes, _ := c.mayWrite(st); !writes && !isCommit {
		return CodeFailed, o.errorText()
	}
	if o.deadlineExceeded {
		return CodeTimeout, o.errorText()
	}
	return CodeInDoubt, o.errorText()
}
