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
	// inlineWrite is the most bytes that are written before reading starts.
	inlineWrite = 32 << 10
	// lastWrite is how long a write to a caller may last once the request
	// is over.
	lastWrite = time.Second
)

// run is one attempt at a request on one connection.
type run struct {
	caller  *caller
	request *request
	order   node.RunRequest
	conn    *upstream.Conn
	done    node.RequestDone
	// due are the answers to come in the extended protocol.
	due []reply
	// dropping is set once the answer is not for the caller.
	dropping bool
	// decided is set once the answer is known to be for the caller.
	decided bool
	// holding is set once a completion came that waits for the verdict, and
	// from the start if the order is to hold everything.
	holding bool
	// committed is set once a part of the batch ended a transaction.
	committed bool
	// status is the transaction state by the last ReadyForQuery.
	status byte
	// written brings the end of a write beside the reading.
	written chan error
	// tags are the command tags of the statements that completed.
	tags []string
	// abandoned is set once the connection was given up during the run.
	abandoned bool
}

// perform carries out one RunRequest and tells the reducer of its end.
func (c *caller) perform(r *request, e node.RunRequest) {
	u := &run{caller: c, request: r, order: e, written: make(chan error, 1)}
	u.done = node.RequestDone{Request: e.Request, Conn: e.Conn, Outcome: node.OutcomeNotSent, AnswerStarted: r.saw}
	u.conn = c.server.options.Pool.Conn(e.Conn)
	if u.conn == nil || u.conn.Acquire() != nil {
		c.held = nil
		c.server.options.Feed(u.done)
		return
	}
	start := c.server.options.Now()
	u.holding, r.held = e.BufferAnswer, nil
	u.conn.SetDeadline(time.Time{})
	if r.settings.Deadline > 0 {
		u.conn.SetDeadline(c.wallTime(c.deadline(r)))
	}
	stop := u.guard()
	err := u.exchange()
	if err == nil && u.done.Outcome != node.OutcomeCompleted && u.status != statusIdle {
		// The transaction that the batch opened here is not the caller's.
		err = u.undo()
	}
	stop()
	clean := c.end()
	c.server.options.RecordSpan("upstream-run", r.settings.Traceparent, start, c.server.options.Now())
	u.finish(err, clean)
}

// guard stops the run if the caller leaves or the reducer answers meanwhile.
func (u *run) guard() (stop func()) {
	ended, finished := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(finished)
		select {
		case <-u.caller.gone:
		case a := <-u.request.answers:
			u.request.early = &a
			_ = u.caller.net.SetWriteDeadline(time.Now().Add(lastWrite))
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

// finish tells the reducer how the run ended and lets go of the connection.
func (u *run) finish(err error, clean bool) {
	r, c := u.request, u.caller
	if !clean {
		u.conn.Retire = true
	}
	u.done.AnswerStarted = r.saw
	u.done.CallerDisconnected = c.isGone() || c.out.failed != nil
	whole := err == nil && !u.abandoned
	completed := u.done.Outcome == node.OutcomeCompleted
	u.done.InTransaction = whole && completed && u.status != statusIdle && !u.done.CallerDisconnected
	u.done.Reusable = u.done.InTransaction || whole && u.status == statusIdle && !u.conn.Retire
	r.ran, r.told = true, u.done.CallerDisconnected
	r.answered = err == nil && completed
	r.status = statusIdle
	c.held = nil
	if u.done.InTransaction {
		r.status = u.status
		c.held = u.conn
	}
	if !completed {
		u.forget()
	}
	c.server.options.Feed(u.done)
	if u.done.Reusable {
		u.conn.SetDeadline(time.Time{})
		u.conn.Park()
		return
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// The caller's deadline says nothing of the upstream.
		u.conn.Abandon()
	}
	if c.out.failed != nil {
		err = nil
	}
	u.conn.Discard(err)
}

// extend lets the run go on past the request's deadline as long as parts of
// its answer keep coming. A request that states no deadline may run as long as
// its statement takes; the reducer gives the connection up if the upstream is
// lost.
func (u *run) extend() {
	if limit := u.request.settings.Deadline; limit > 0 {
		u.conn.SetDeadline(time.Now().Add(limit))
	}
}

// forget drops what the run gathered for the caller.
func (u *run) forget() {
	u.request.held = nil
	u.request.recorded = false
	if !u.request.saw {
		u.caller.out.drop()
	}
	for _, s := range u.request.batch.steps {
		s.parsed = false
	}
}

// exchange sends the batch and reads its answer. An error means that the
// connection can't be used any more.
func (u *run) exchange() error {
	statusQuery := &pgproto3.Query{String: u.caller.server.options.Pool.Statements().Status}
	b := u.request.batch
	if u.request.isOnce() {
		return u.exchangeOnce()
	}
	if u.order.Verify {
		u.conn.Send(statusQuery)
	}
	if b.query != nil {
		u.conn.Send(b.query)
	} else {
		u.due = translate(u.conn, b)
	}
	behind := u.order.QueryPosition && b.endsIdle(u.request.kind)
	if behind {
		u.conn.Send(statusQuery)
	}
	asked := u.caller.server.options.Now()
	if err := u.write(); err != nil {
		return err
	}
	if err := u.receive(); err != nil {
		return err
	}
	if !u.order.QueryPosition || u.status != statusIdle && !behind {
		return nil
	}
	if !behind {
		asked = u.caller.server.options.Now()
		u.conn.Send(statusQuery)
		if err := u.flushUpstream(); err != nil {
			u.done.Outcome = node.OutcomeLost
			return err
		}
	}
	return u.receivePosition(asked)
}

// endsIdle reports whether a batch of that kind surely leaves no transaction
// open, nor reads data that follows it. Only then may a question be sent right
// behind it: within a transaction it would be the transaction's first
// statement, and a copy would take it for data.
func (b *batch) endsIdle(kind node.RequestKind) bool {
	if b.sql.CopyIn() {
		return false
	}
	switch kind {
	case node.KindRead, node.KindWrite:
		return true
	case node.KindInTransaction:
		return b.sql.Ends()
	}
	return false
}

// write sends the batch in one write, beside the reading if it is large.
func (u *run) write() error {
	u.done.Outcome = node.OutcomeLost
	if u.conn.Unsent() > inlineWrite {
		go func() { u.written <- u.flushUpstream() }()
		u.caller.begin(u.request, u.conn)
		return nil
	}
	n, err := u.conn.Flush()
	if err != nil && n == 0 {
		u.done.Outcome = node.OutcomeNotSent
	}
	u.written <- err
	u.caller.begin(u.request, u.conn)
	return err
}

// receive reads the answers up to the batch's ReadyForQuery.
func (u *run) receive() error {
	outcome := node.OutcomeCompleted
	if u.order.Verify {
		s, lost, refused := u.conn.ReceiveStatus()
		if lost != nil {
			return lost
		}
		if refused != nil || !u.order.Forks.Covers(s.Position, u.order.Floor) {
			u.dropping, outcome = true, node.OutcomeBehind
		}
	}
	u.done.Outcome = outcome
	if err := u.relay(); err != nil {
		if u.done.Outcome == node.OutcomeCompleted {
			u.done.Outcome = node.OutcomeLost
		}
		return err
	}
	if err := u.joinWrite(); err != nil {
		u.done.Outcome = node.OutcomeLost
		return err
	}
	return nil
}

// joinWrite waits for the end of the write beside the reading.
func (u *run) joinWrite() error {
	err := <-u.written
	u.written <- err
	return err
}

// receivePosition reads the position asked for behind the batch. Without it
// the session's floor is not known, so that the run counts as lost.
func (u *run) receivePosition(asked catalog.Instant) error {
	s, lost, refused := u.conn.ReceiveStatus()
	if lost == nil && refused != nil && u.status == statusIdle {
		lost = refused
	}
	if lost != nil {
		if u.done.Outcome == node.OutcomeCompleted {
			u.done.Outcome = node.OutcomeLost
		}
		return lost
	}
	u.done.Position, u.done.PositionQueriedAt = s.Position, asked
	return nil
}
