package session

import (
	"time"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
)

// ErrInterrupted reports that a wait for a caller's statement was interrupted.
// No part of a statement was lost.
const ErrInterrupted = errors.ConstError("the wait was interrupted")

// routesTimeout is how long a new caller waits for this entry's first
// configuration. It is less than the two seconds after which callers give up.
const routesTimeout = 1500 * time.Millisecond

// session is the state of one caller's connection. It is owned by one goroutine.
type session struct {
	server   *Server
	caller   CallerConn
	database string
	// key is the digest of the caller's key. organisation is the organisation
	// that held the key when the last operation began, empty if there is none.
	key          catalog.KeyDigest
	organisation catalog.OrganisationID
	// values and statements are the session values and prepared statements that
	// were confirmed to the caller.
	values     map[string]string
	statements map[string]preparedStatement
	// floor is the position of the session's last write. It never decreases.
	floor catalog.Position
	tx    *transaction
	// forwardedFrom is the entry that forwards requests to this session. It is
	// empty for a caller's own session.
	forwardedFrom catalog.VMID
	// waitTime is how long the caller had been waiting before its next request
	// was submitted by this process.
	waitTime time.Duration
	// shouldReconnect is set once this entry could not run a request that
	// another entry may be able to run. The session ends after the operation, so
	// that the caller connects to another entry.
	shouldReconnect bool
	// lastActive is the time of the last answer to the caller.
	lastActive time.Time
}

// transaction is the caller's open transaction.
type transaction struct {
	route    catalog.Route
	readOnly bool
	// conn is the upstream connection that runs the transaction, zero if this
	// entry holds none.
	conn catalog.ConnID
	// peer is the connection to the entry that holds the transaction, nil if no
	// other entry does. firstForward is the request that began the transaction
	// there.
	peer         *PeerConn
	firstForward catalog.RequestID
	// hasWritten is set once the caller asked for a write.
	hasWritten bool
	failed     bool
	// idleDeadline is when the transaction is rolled back if it stays idle, zero
	// if never.
	idleDeadline time.Time
}

// hasUpstream reports whether the transaction has been started at an upstream,
// by this entry or by a peer.
func (t *transaction) hasUpstream() bool { return t.conn != 0 || t.peer != nil }

func (c *session) run() {
	defer c.caller.Close()
	defer c.dropTransaction()
	if !c.start() {
		return
	}
	for {
		c.scheduleInterrupt()
		st, err := c.caller.Receive()
		if errors.Is(err, ErrInterrupted) {
			if c.enforceDeadlines() {
				c.end()
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
			// The wait time counts for the first request only.
			c.waitTime = 0
		}
		if c.enforceDeadlines() {
			c.end()
			return
		}
	}
}

// start reads the caller's startup message and accepts or refuses the session.
func (c *session) start() bool {
	startup, err := c.caller.ReceiveStartup()
	if err != nil {
		return false
	}
	if c.server.isolated.Load() {
		c.caller.Refuse(CodeBusy, "this entry is cut off; connect again")
		return false
	}
	startedAt := time.Now()
	if !c.server.routes.await(routesTimeout) {
		c.caller.Refuse(CodeBusy, "the entry has no configuration yet")
		return false
	}
	c.waitTime = time.Since(startedAt)
	c.database, c.key = startup.Database, catalog.DigestKey(startup.Key)
	if _, code := c.admit(); code != CodeNone {
		c.server.logDecision(Decision{Database: c.database, Verdict: admissionVerdicts[code]})
		c.caller.Refuse(code, admissionTexts[code])
		return false
	}
	c.lastActive = time.Now()
	return c.caller.Answer(Answer{State: StateIdle}) == nil
}

// failTransaction rolls the transaction back and marks it as failed, so that the
// caller can only end it.
func (c *session) failTransaction() {
	c.dropTransaction()
	c.tx.failed = true
}

// dropTransaction rolls the open transaction back, if there is one: it closes the
// upstream connection or releases the peer connection that the transaction holds.
func (c *session) dropTransaction() {
	if c.tx == nil {
		return
	}
	c.releasePeer(true)
	if c.tx.conn == 0 {
		return
	}
	if conn := c.server.options.Pool.conn(c.tx.conn); conn != nil {
		c.server.options.Feed(node.TransactionAbandoned{Conn: c.tx.conn})
		conn.end(errors.New("the transaction on the connection was abandoned"), 0)
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

// answerSuccess reports success for a statement that needs no upstream.
func (c *session) answerSuccess() error {
	return c.caller.Answer(Answer{State: c.state()})
}

func (c *session) answerError(code Code, text string) error {
	return c.caller.Answer(Answer{Code: code, Text: text, State: c.state()})
}

// handle executes one statement and answers it. An error ends the session.
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

// handleInTransaction executes and answers a statement in an open transaction.
func (c *session) handleInTransaction(st Statement) error {
	t := c.tx
	if idle, _ := c.server.routes.transactionIdleAndVersion(); idle > 0 {
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

// handleLocal executes and answers a statement that changes only the session's
// own state.
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

// begin opens a transaction. The transaction acquires an upstream connection only
// with its first statement, so that it holds none while the caller is idle before
// that.
func (c *session) begin(st Statement) error {
	route, code := c.admit()
	if code != CodeNone {
		return c.rejectOperation(st, code)
	}
	c.tx = &transaction{route: route, readOnly: st.Verb == VerbBeginRead}
	if idle, _ := c.server.routes.transactionIdleAndVersion(); idle > 0 {
		c.tx.idleDeadline = time.Now().Add(idle)
	}
	return c.answerSuccess()
}

// rollback rolls back and ends the open transaction.
func (c *session) rollback() error {
	t := c.tx
	if t.hasUpstream() {
		c.request(Statement{Verb: VerbRollback}, t.route, node.KindInTransaction)
	}
	c.dropTransaction()
	c.tx = nil
	return c.answerSuccess()
}

// runAutocommit runs a statement outside a transaction.
func (c *session) runAutocommit(st Statement) error {
	route, code := c.admit()
	if code != CodeNone {
		return c.rejectOperation(st, code)
	}
	writes, ok := c.mayWrite(st)
	if !ok {
		return c.answerError(CodeMalformed, "no statement is prepared under this name")
	}
	kind := node.KindRead
	if writes {
		kind = node.KindWrite
	}
	return c.answerOutcome(st, c.request(st, route, kind))
}

// mayWrite reports whether a statement may write. ok is false if it executes a
// prepared statement that doesn't exist.
func (c *session) mayWrite(st Statement) (writes, ok bool) {
	if st.Verb != VerbExecute {
		return st.Verb == VerbWrite, true
	}
	p, ok := c.statements[st.Name]
	return p.mayWrite, ok
}

// runInTransaction runs a statement of the open transaction. The first one
// begins the transaction at an upstream.
func (c *session) runInTransaction(st Statement) error {
	writes, ok := c.mayWrite(st)
	if !ok {
		return c.answerError(CodeMalformed, "no statement is prepared under this name")
	}
	kind := node.KindInTransaction
	switch {
	case c.tx.hasUpstream():
	case c.tx.readOnly:
		kind = node.KindBeginRead
	default:
		kind = node.KindBegin
	}
	c.tx.hasWritten = c.tx.hasWritten || writes
	return c.answerOutcome(st, c.request(st, c.tx.route, kind))
}

// answerOutcome updates the session by the outcome of a request and answers the
// caller.
func (c *session) answerOutcome(st Statement, o outcome) error {
	if c.floor.Less(o.floor) {
		c.floor = o.floor
	}
	c.shouldReconnect = c.shouldReconnect || o.mayRunElsewhere
	endsTransaction := c.tx != nil && st.Verb == VerbCommit
	code, text := c.answerCode(st, &o)
	if endsTransaction {
		c.tx = nil
	} else if c.tx != nil && code != CodeNone {
		c.failTransaction()
	}
	a := Answer{Body: o.reply.Body, Code: code, Text: text, State: c.state(), Position: o.reply.Position}
	if code != CodeNone && !o.isUpstreamError {
		a.Body = nil
	}
	return c.caller.Answer(a)
}

// answerCode returns the code and the error text that the caller gets for an
// outcome. It sets the outcome's isUpstreamError.
func (c *session) answerCode(st Statement, o *outcome) (Code, string) {
	isCommit := st.Verb == VerbCommit
	inTransaction := c.tx != nil
	switch o.verdict {
	case node.VerdictDone:
		if o.reply.Code != CodeNone {
			o.isUpstreamError = true
		}
		return o.reply.Code, ""
	case node.VerdictNotRun:
		if inTransaction {
			return CodeAborted, o.errorText()
		}
		return CodeBusy, o.errorText()
	}
	if inTransaction && (!isCommit || !c.tx.hasWritten) {
		// The upstream rolls back a transaction that was not committed.
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
