package listener

import (
	"errors"
	"os"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/upstream"
)

const (
	// maxInlineWrite is the largest batch, in bytes, that is written before
	// reading the answer starts. Larger ones are written concurrently.
	maxInlineWrite = 32 << 10
	// finalWriteTimeout bounds a write to a caller whose request the reducer
	// answered during the run.
	finalWriteTimeout = time.Second
)

// run is one attempt to run a request on one connection.
type run struct {
	caller  *caller
	request *request
	effect  node.RunRequest
	conn    *upstream.Conn
	result  node.RequestDone
	// expected are the replies of the extended protocol that are still to come.
	expected []reply
	// discarding is set if the upstream's answer is not forwarded to the caller.
	discarding bool
	// accepted is set once the upstream has shown that it accepted the batch, for
	// instance by a row or a completion.
	accepted bool
	// buffering is set while the answer is held back until the verdict: from the
	// first completion that needs a verdict, or from the start if the effect asks
	// for that.
	buffering bool
	// committed is set once a part of the batch committed a transaction.
	committed bool
	// status is the transaction state in the last ReadyForQuery.
	status byte
	// writeDone receives the result of writing the batch.
	writeDone chan error
	// tags are the command tags of the statements that completed.
	tags []string
	// abandoned is set if the connection was abandoned during the run.
	abandoned bool
}

// executeRun carries out a RunRequest effect and reports its result to the
// reducer.
func (c *caller) executeRun(r *request, e node.RunRequest) {
	u := &run{caller: c, request: r, effect: e, writeDone: make(chan error, 1)}
	u.result = node.RequestDone{Request: e.Request, Conn: e.Conn, Outcome: node.OutcomeNotSent, AnswerStarted: r.callerSawAnswer}
	u.conn = c.server.options.Pool.Conn(e.Conn)
	if u.conn == nil || u.conn.Acquire() != nil {
		c.transactionConn = nil
		c.server.options.Feed(u.result)
		return
	}
	start := c.server.options.Now()
	u.buffering, r.buffered = e.BufferAnswer, nil
	u.conn.SetDeadline(time.Time{})
	if r.settings.Deadline > 0 {
		u.conn.SetDeadline(c.wallTime(c.deadline(r)))
	}
	stop := u.watch()
	err := u.exchange()
	if err == nil && u.result.Outcome != node.OutcomeCompleted && u.status != statusIdle {
		// The request was not completed on this connection, so a transaction that
		// the batch opened must not stay open.
		err = u.rollBack()
	}
	stop()
	isClean := c.endRun()
	c.server.options.RecordSpan("upstream-run", r.settings.Traceparent, start, c.server.options.Now())
	u.finish(err, isClean)
}

// watch abandons the connection if, during the run, the caller disconnects or the
// reducer answers the request. stop ends the watch and must be called once.
func (u *run) watch() (stop func()) {
	ended, finished := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(finished)
		select {
		case <-u.caller.disconnected:
		case a := <-u.request.answers:
			u.request.earlyAnswer = &a
			_ = u.caller.conn.SetWriteDeadline(time.Now().Add(finalWriteTimeout))
		case <-ended:
			return
		}
		u.abandoned = true
		u.conn.Abandon()
	}()
	return func() {
		close(ended)
		<-finished
	}
}

// finish reports the result of the run to the reducer and returns the connection
// to the pool or discards it.
func (u *run) finish(err error, isClean bool) {
	r, c := u.request, u.caller
	if !isClean {
		u.conn.Retiring = true
	}
	u.result.AnswerStarted = r.callerSawAnswer
	u.result.CallerDisconnected = c.isDisconnected() || c.out.err != nil
	succeeded := err == nil && !u.abandoned
	completed := u.result.Outcome == node.OutcomeCompleted
	u.result.InTransaction = succeeded && completed && u.status != statusIdle && !u.result.CallerDisconnected
	u.result.Reusable = u.result.InTransaction || succeeded && u.status == statusIdle && !u.conn.Retiring
	r.hasRun, r.isDisconnectReported = true, u.result.CallerDisconnected
	r.isAnswerComplete = err == nil && completed
	r.status = statusIdle
	c.transactionConn = nil
	if u.result.InTransaction {
		r.status = u.status
		c.transactionConn = u.conn
	}
	if !completed {
		u.discardAnswer()
	}
	c.server.options.Feed(u.result)
	if u.result.Reusable {
		u.conn.SetDeadline(time.Time{})
		u.conn.Release()
		return
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// That the caller's deadline has passed is no evidence of a fault of the
		// upstream.
		u.conn.Abandon()
	}
	if c.out.err != nil {
		err = nil
	}
	u.conn.Discard(err)
}

// extendDeadline lets the run continue past the request's deadline as long as
// parts of its answer keep arriving. The run of a request without a deadline of
// its own is not bounded; the reducer closes the connection if the upstream is
// lost.
func (u *run) extendDeadline() {
	if limit := u.request.settings.Deadline; limit > 0 {
		u.conn.SetDeadline(time.Now().Add(limit))
	}
}

// discardAnswer discards the answer collected for the caller.
func (u *run) discardAnswer() {
	u.request.buffered = nil
	u.request.isReplay = false
	if !u.request.callerSawAnswer {
		u.caller.out.discard()
	}
	for _, s := range u.request.batch.steps {
		s.isParsed = false
	}
}

// exchange sends the batch and reads its answer. After an error the connection
// can't be used again.
func (u *run) exchange() error {
	statusQuery := &pgproto3.Query{String: u.caller.server.options.Pool.Statements().Status}
	b := u.request.batch
	if u.request.isIdempotent() {
		return u.exchangeIdempotent()
	}
	if u.effect.Verify {
		u.conn.Send(statusQuery)
	}
	if b.query != nil {
		u.conn.Send(b.query)
	} else {
		u.expected = translate(u.conn, b)
	}
	isPipelined := u.effect.QueryPosition && b.leavesIdle(u.request.kind)
	if isPipelined {
		u.conn.Send(statusQuery)
	}
	askedAt := u.caller.server.options.Now()
	if err := u.write(); err != nil {
		return err
	}
	if err := u.receive(); err != nil {
		return err
	}
	if !u.effect.QueryPosition || u.status != statusIdle && !isPipelined {
		return nil
	}
	if !isPipelined {
		askedAt = u.caller.server.options.Now()
		u.conn.Send(statusQuery)
		if err := u.flushUpstream(); err != nil {
			u.result.Outcome = node.OutcomeLost
			return err
		}
	}
	return u.receivePosition(askedAt)
}

// leavesIdle reports whether a batch of the kind certainly leaves no transaction
// open and reads no data that follows it. Only then may a status query be
// pipelined after it: within a transaction it would become the transaction's
// first statement, and a COPY would read it as data.
func (b *batch) leavesIdle(kind node.RequestKind) bool {
	if b.sql.HasCopyIn() {
		return false
	}
	switch kind {
	case node.KindRead, node.KindWrite:
		return true
	case node.KindInTransaction:
		return b.sql.OnlyEndsTransaction()
	}
	return false
}

// write sends the batch in one write, concurrently with reading if it is large.
func (u *run) write() error {
	u.result.Outcome = node.OutcomeLost
	if u.conn.UnsentBytes() > maxInlineWrite {
		go func() { u.writeDone <- u.flushUpstream() }()
		u.caller.startRun(u.request, u.conn)
		return nil
	}
	n, err := u.conn.Flush()
	if err != nil && n == 0 {
		u.result.Outcome = node.OutcomeNotSent
	}
	u.writeDone <- err
	u.caller.startRun(u.request, u.conn)
	return err
}

// receive reads the answers up to the batch's ReadyForQuery and sets the outcome.
func (u *run) receive() error {
	outcome := node.OutcomeCompleted
	if u.effect.Verify {
		s, connErr, queryErr := u.conn.ReceiveStatus()
		if connErr != nil {
			return connErr
		}
		if queryErr != nil || !u.effect.Forks.Covers(s.Position, u.effect.Floor) {
			u.discarding, outcome = true, node.OutcomeBehind
		}
	}
	u.result.Outcome = outcome
	if err := u.relay(); err != nil {
		if u.result.Outcome == node.OutcomeCompleted {
			u.result.Outcome = node.OutcomeLost
		}
		return err
	}
	if err := u.waitForWrite(); err != nil {
		u.result.Outcome = node.OutcomeLost
		return err
	}
	return nil
}

// waitForWrite waits for the end of a concurrent write and returns its error. It
// may be called again.
func (u *run) waitForWrite() error {
	err := <-u.writeDone
	u.writeDone <- err
	return err
}

// receivePosition reads the reply to the status query after the batch. Without
// the position the session's floor would be unknown, so the run then counts as
// lost.
func (u *run) receivePosition(askedAt catalog.Instant) error {
	s, connErr, queryErr := u.conn.ReceiveStatus()
	if connErr == nil && queryErr != nil && u.status == statusIdle {
		connErr = queryErr
	}
	if connErr != nil {
		if u.result.Outcome == node.OutcomeCompleted {
			u.result.Outcome = node.OutcomeLost
		}
		return connErr
	}
	u.result.Position, u.result.PositionQueriedAt = s.Position, askedAt
	return nil
}
