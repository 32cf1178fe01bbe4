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

// restTime is how long a caller must have been between operations before its
// session is ended: one that is about to send the next statement would find the
// connection closed under it.
const restTime = 60 * time.Millisecond

// busyTime is how long the sessions of callers that do not rest go on during a
// planned stop; they are then ended right behind an answer.
const busyTime = 300 * time.Millisecond

// tellTime is how long a caller whose transaction was rolled back by a planned
// stop may take until it sends the next statement and hears of it.
const tellTime = 500 * time.Millisecond

// awaitRoutes is how long a caller waits for this entry's first configuration.
// Callers give up after two seconds.
const awaitRoutes = 1500 * time.Millisecond

// session is the conversation with one caller. One goroutine owns it.
type session struct {
	server   *Server
	link     Link
	database string
	// values and names are what the caller was told is in force.
	values map[string]string
	names  map[string]prepared
	// floor is the position of the session's last write. Invariant: it only
	// grows.
	floor catalog.Position
	tx    *transaction
	// from is the entry whose requests run here, empty for a caller's session.
	from catalog.VMID
	// waited is how long the caller has waited before its next request reached
	// this process.
	waited time.Duration
	// goesElsewhere is set once this entry could not run what another may. The
	// session ends after the operation, and the caller connects elsewhere.
	goesElsewhere bool
	// active is when the caller was answered last.
	active time.Time
}

// transaction is one that the caller has open.
type transaction struct {
	route    catalog.Route
	readOnly bool
	// held is the upstream connection, zero before the first statement.
	held catalog.ConnID
	// way leads to the entry that holds it, nil if none does, and began is the
	// request that was passed on there first.
	way   *Way
	began catalog.RequestID
	// wrote is set once a write was sent.
	wrote  bool
	failed bool
	// restsUntil is when it may be rolled back for being idle, zero if never.
	restsUntil time.Time
}

// isHeld reports whether an upstream takes part.
func (t *transaction) isHeld() bool { return t.held != 0 || t.way != nil }

func (c *session) run() {
	defer c.link.Close()
	defer c.drop()
	if !c.start() {
		return
	}
	for {
		c.wake()
		st, err := c.link.Receive()
		if errors.Is(err, ErrInterrupted) {
			if c.isOver() {
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
		c.active = time.Now()
		if c.tx != nil || st.Verb == VerbRead || st.Verb == VerbWrite || st.Verb == VerbExecute {
			// The next operation begins without what this one had waited.
			c.waited = 0
		}
		if c.isOver() {
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
	if c.server.released.Load() {
		c.link.Refuse(CodeBusy, "this entry is cut off; connect again")
		return false
	}
	began := time.Now()
	if !c.server.routes.await(awaitRoutes) {
		c.link.Refuse(CodeBusy, "the entry has no configuration yet")
		return false
	}
	c.waited = time.Since(began)
	if _, ok := c.server.routes.find(database); !ok {
		c.server.decided(Decision{Database: database, Verdict: "no-database"})
		c.link.Refuse(CodeNoDatabase, "no database has this name")
		return false
	}
	c.database = database
	c.active = time.Now()
	return c.link.Answer(Answer{State: StateIdle}) == nil
}

// wake has the wait for the caller end when something else is due.
func (c *session) wake() {
	var at time.Time
	stop := c.server.stop.Load()
	if c.tx == nil {
		if stop != nil || c.server.released.Load() {
			at = c.active.Add(restTime)
		}
	} else {
		at = c.tx.restsUntil
		if by := stop.endOf(c.tx); stop != nil && (at.IsZero() || by.Before(at)) {
			at = by
		}
	}
	c.link.Interrupt(at)
}

// isOver gives up what is due and reports whether the session must end.
func (c *session) isOver() bool {
	now := time.Now()
	stop := c.server.stop.Load()
	if c.tx == nil && c.goesElsewhere {
		return c.link.IsWaiting()
	}
	if c.tx == nil {
		rests := now.Sub(c.active) >= restTime || stop != nil && now.After(stop.busyBy)
		return (stop != nil || c.server.released.Load()) && rests && c.link.IsWaiting()
	}
	rested := !c.tx.restsUntil.IsZero() && now.After(c.tx.restsUntil)
	if rested || stop != nil && now.After(stop.transactionsBy) {
		c.fail()
		c.tx.restsUntil = time.Time{}
	}
	return stop != nil && c.tx.failed && now.After(stop.endOf(c.tx)) && c.link.IsWaiting()
}

// endOf is when the stop ends a transaction, or the session of one that has
// failed: its caller is told with the next statement, and has time to send that.
func (s *plannedStop) endOf(t *transaction) time.Time {
	switch {
	case s == nil:
		return time.Time{}
	case t.failed:
		return s.transactionsBy.Add(tellTime)
	default:
		return s.transactionsBy
	}
}

// fail rolls the transaction back; the caller can only end it.
func (c *session) fail() {
	c.drop()
	c.tx.failed = true
}

// drop gives the connection of the transaction up, which rolls it back.
func (c *session) drop() {
	if c.tx == nil {
		return
	}
	c.leave(true)
	if c.tx.held == 0 {
		return
	}
	if u := c.server.options.Pool.conn(c.tx.held); u != nil {
		c.server.options.Feed(node.TransactionAbandoned{Conn: c.tx.held})
		u.end(errors.New("its transaction was given up"), 0)
	}
	c.tx.held = 0
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

// succeed answers a statement that needs no upstream.
func (c *session) succeed() error {
	return c.link.Answer(Answer{State: c.state()})
}

func (c *session) refuse(code Code, text string) error {
	return c.link.Answer(Answer{Code: code, Text: text, State: c.state()})
}

// handle answers one statement. An error ends the session.
func (c *session) handle(st Statement) error {
	if c.tx != nil {
		return c.handleInside(st)
	}
	switch st.Verb {
	case VerbBegin, VerbBeginRead:
		return c.begin(st)
	case VerbRead, VerbWrite, VerbExecute:
		return c.single(st)
	case VerbRollback:
		return c.succeed()
	default:
		return c.local(st)
	}
}

// handleInside answers a statement within a transaction.
func (c *session) handleInside(st Statement) error {
	t := c.tx
	if idle, _ := c.server.routes.idle(); idle > 0 {
		defer func() { t.restsUntil = time.Now().Add(idle) }()
	}
	switch {
	case st.Verb == VerbRollback:
		return c.rollback()
	case t.failed && st.Verb == VerbCommit:
		c.tx = nil
		return c.refuse(CodeAborted, "the transaction was rolled back")
	case t.failed:
		return c.refuse(CodeMalformed, "the transaction has failed and can only be ended")
	}
	switch st.Verb {
	case VerbRead, VerbWrite, VerbExecute, VerbCommit:
		return c.inside(st)
	case VerbBegin, VerbBeginRead:
		return c.refuse(CodeMalformed, "a transaction is open already")
	default:
		return c.local(st)
	}
}

// local answers what changes nothing but the session.
func (c *session) local(st Statement) error {
	switch st.Verb {
	case VerbSet:
		c.values[st.Name] = st.Value
	case VerbPrepare:
		c.names[st.Name] = prepared{writes: st.MayWrite, shape: st.Value}
	case VerbDeallocate:
		delete(c.names, st.Name)
	case VerbCommit:
		return c.refuse(CodeMalformed, "no transaction is open")
	default:
		return c.refuse(CodeMalformed, "the statement could not be read")
	}
	return c.succeed()
}

// begin opens a transaction. An upstream takes part from the first statement
// on, so that none is held while the caller rests before it.
func (c *session) begin(st Statement) error {
	route, ok := c.server.routes.find(c.database)
	if !ok {
		return c.refuse(CodeNoDatabase, "no database has this name any more")
	}
	c.tx = &transaction{route: route, readOnly: st.Verb == VerbBeginRead}
	if idle, _ := c.server.routes.idle(); idle > 0 {
		c.tx.restsUntil = time.Now().Add(idle)
	}
	return c.succeed()
}

// rollback ends a transaction without keeping anything.
func (c *session) rollback() error {
	t := c.tx
	if t.isHeld() {
		c.request(Statement{Verb: VerbRollback}, t.route, node.KindInTransaction)
	}
	c.drop()
	c.tx = nil
	return c.succeed()
}

// single runs a statement outside a transaction.
func (c *session) single(st Statement) error {
	route, ok := c.server.routes.find(c.database)
	if !ok {
		return c.refuse(CodeNoDatabase, "no database has this name any more")
	}
	writes, ok := c.writes(st)
	if !ok {
		return c.refuse(CodeMalformed, "no statement is prepared under this name")
	}
	kind := node.KindRead
	if writes {
		kind = node.KindWrite
	}
	return c.finish(st, c.request(st, route, kind))
}

// writes reports whether a statement may write; it fails for a name that is
// not prepared.
func (c *session) writes(st Statement) (writes, ok bool) {
	if st.Verb != VerbExecute {
		return st.Verb == VerbWrite, true
	}
	p, ok := c.names[st.Name]
	return p.writes, ok
}

// inside runs a statement of a transaction, the first one behind a begin.
func (c *session) inside(st Statement) error {
	writes, ok := c.writes(st)
	if !ok {
		return c.refuse(CodeMalformed, "no statement is prepared under this name")
	}
	kind := node.KindInTransaction
	switch {
	case c.tx.isHeld():
	case c.tx.readOnly:
		kind = node.KindBeginRead
	default:
		kind = node.KindBegin
	}
	c.tx.wrote = c.tx.wrote || writes
	return c.finish(st, c.request(st, c.tx.route, kind))
}

// finish passes the outcome of a request on to the caller.
func (c *session) finish(st Statement, o outcome) error {
	if c.floor.Less(o.floor) {
		c.floor = o.floor
	}
	c.goesElsewhere = c.goesElsewhere || o.elsewhere
	ended := c.tx != nil && st.Verb == VerbCommit
	code, text := c.verdictOf(st, &o)
	if ended {
		c.tx = nil
	} else if c.tx != nil && code != CodeNone {
		c.fail()
	}
	a := Answer{Body: o.reply.Body, Code: code, Text: text, State: c.state(), Position: o.reply.Position}
	if code != CodeNone && !o.isOwn {
		a.Body = nil
	}
	return c.link.Answer(a)
}

// verdictOf says what the caller is told of an outcome.
func (c *session) verdictOf(st Statement, o *outcome) (Code, string) {
	isCommit := st.Verb == VerbCommit
	inside := c.tx != nil
	switch o.verdict {
	case node.VerdictDone:
		if o.reply.Code != CodeNone {
			o.isOwn = true
		}
		return o.reply.Code, ""
	case node.VerdictNotRun:
		if inside {
			return CodeAborted, o.text()
		}
		return CodeBusy, o.text()
	}
	if inside && (!isCommit || !c.tx.wrote) {
		// Without a commit nothing of the transaction is kept.
		return CodeAborted, o.text()
	}
	if writes, _ := c.writes(st); !writes && !isCommit {
		return CodeFailed, o.text()
	}
	if o.late {
		return CodeTimeout, o.text()
	}
	return CodeInDoubt, o.text()
}
