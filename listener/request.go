package listener

import (
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
)

// runQueueSize is how many runs of a request may be queued. The reducer starts
// the next run only after RequestDone.
const runQueueSize = 4

// request is a batch that is submitted to the reducer.
type request struct {
	// id is set by addRequest.
	id       catalog.RequestID
	batch    *batch
	kind     node.RequestKind
	settings settings
	runs     chan node.RunRequest
	answers  chan node.AnswerRequest
	canceled chan struct{}

	// earlyAnswer is the reducer's answer if it arrived during a run.
	earlyAnswer *node.AnswerRequest
	// buffered are the bytes of the answer that are held back until the verdict.
	buffered []byte
	// failed is set once the answer contains an error of the upstream.
	failed bool
	// callerSawAnswer is set once a part of the answer was sent to the caller.
	callerSawAnswer bool
	// status is the transaction state after the request.
	status byte
	// isReplay is set if an equal request with the same request id ran before.
	// tags are the command tags that were recorded for it.
	isReplay bool
	tags     []string
	// hasRun is set once a run of the request has ended.
	hasRun bool
	// isDisconnectReported is set if RequestDone reported to the reducer that the
	// caller has disconnected.
	isDisconnectReported bool
	// isAnswerComplete is set if the last run read the upstream's whole answer.
	isAnswerComplete bool
}

// handle processes and answers one batch.
func (c *caller) handle(b *batch) {
	c.endedByFlush, c.hasFailed = b.endedByFlush, false
	if c.answerAfterLoss(b) {
		return
	}
	if f := c.unsupported(b); f != nil {
		c.dropUnparsed(b)
		c.answerFault(f)
		return
	}
	if c.answerLocally(b) {
		return
	}
	requestSettings, f := c.settings.withHints(c.server.options.TokenKey, c.service, b.text)
	if f != nil {
		c.dropUnparsed(b)
		c.answerFault(f)
		return
	}
	r := &request{
		batch:    b,
		settings: requestSettings,
		kind:     c.kindOf(b),
		runs:     make(chan node.RunRequest, runQueueSize),
		answers:  make(chan node.AnswerRequest, 1),
		canceled: make(chan struct{}, 1),
		status:   statusIdle,
	}
	if f := r.idempotencyFault(); f != nil {
		c.dropUnparsed(b)
		c.answerFault(f)
		return
	}
	c.submit(r)
	c.setCurrentRequest(nil)
}

// unsupported returns a fault if the batch contains something that the entry
// doesn't support.
func (c *caller) unsupported(b *batch) *fault {
	if s, refused := b.sql.FirstRefused(c.status != statusIdle); refused {
		return &fault{Code: codeNotSupported, Text: s.RefusalText}
	}
	for _, p := range b.preparedStatements() {
		if s, refused := p.SQL.FirstRefused(c.status != statusIdle); refused {
			return &fault{Code: codeNotSupported, Text: s.RefusalText}
		}
	}
	if b.duplicateName != "" {
		return &fault{Code: codeDuplicateStatement, Text: "prepared statement \"" + b.duplicateName + "\" already exists"}
	}
	if _, mixed := b.sql.IsLocal(); mixed {
		return &fault{Code: codeNotSupported, Text: "settings of the session can't be mixed with other statements; send them on their own"}
	}
	if b.query == nil && b.sql.HasCopyIn() {
		return &fault{Code: codeNotSupported, Text: "COPY FROM STDIN is carried in the simple protocol only; send it as a simple query"}
	}
	return nil
}

// kindOf returns the kind of a request for a batch.
func (c *caller) kindOf(b *batch) node.RequestKind {
	if c.transactionConn != nil {
		return node.KindInTransaction
	}
	return b.sql.Kind()
}

// submit submits a request to the reducer and processes it until it is answered.
func (c *caller) submit(r *request) {
	c.server.addRequest(r)
	c.setCurrentRequest(r)
	c.server.options.Feed(c.arrivalOf(r))
	a, ok := c.await(r)
	if !ok {
		return
	}
	c.answer(r, a)
	now := c.server.options.Now()
	c.server.options.RecordSpan("request", r.settings.Traceparent, r.batch.arrivedAt, now)
}

// requestTimeout returns how long the caller waits for the answer to a request.
func (c *caller) requestTimeout(r *request) time.Duration {
	if r.settings.Deadline > 0 {
		return r.settings.Deadline
	}
	return c.server.options.DefaultDeadline
}

// deadline returns the deadline of a request.
func (c *caller) deadline(r *request) catalog.Instant {
	return r.batch.arrivedAt.Add(c.requestTimeout(r))
}

// wallTime converts an instant to a time for network deadlines.
func (c *caller) wallTime(at catalog.Instant) time.Time {
	return time.Now().Add(at.Sub(c.server.options.Now()))
}

// arrivalOf returns the input that submits a request to the reducer.
func (c *caller) arrivalOf(r *request) node.RequestArrived {
	e := node.RequestArrived{
		Request:  r.id,
		Service:  c.service,
		Kind:     r.kind,
		Class:    r.settings.Class,
		MaxAge:   r.settings.MaxAge,
		Deadline: c.deadline(r),
		// Only the primary holds data of no age.
		PrimaryOnly: r.settings.HasMaxAge && r.settings.MaxAge == 0,
	}
	if c.transactionConn != nil {
		e.HeldConn = c.transactionConn.ID
	}
	if r.kind == node.KindRead && len(r.batch.sql.Statements) == 0 {
		// A batch that only prepares or describes reads no data, so it needs no
		// floor.
		return e
	}
	e.Floor = c.floor
	if e.Floor.Less(r.settings.Floor) {
		e.Floor = r.settings.Floor
	}
	e.FloorUnknown = r.settings.Session != "" && !r.settings.HasToken
	return e
}

// await carries out the reducer's effects for a request until the reducer answers
// it. It reports false if the request was withdrawn.
func (c *caller) await(r *request) (node.AnswerRequest, bool) {
	for {
		if r.earlyAnswer != nil {
			return *r.earlyAnswer, true
		}
		select {
		case e := <-r.runs:
			c.executeRun(r, e)
		case a := <-r.answers:
			return a, true
		case <-c.disconnected:
			c.withdraw(r)
			return node.AnswerRequest{}, false
		case <-r.canceled:
			if r.hasRun {
				// The request may have taken effect. The caller gets its outcome.
				continue
			}
			c.withdraw(r)
			c.dropUnparsed(r.batch)
			c.answerFault(&fault{Code: codeQueryCanceled, Text: "canceling statement due to user request"})
			return node.AnswerRequest{}, false
		}
	}
}

// withdraw withdraws a waiting request and reports that to the reducer, unless the
// reducer has answered the request or knows that the caller has disconnected.
func (c *caller) withdraw(r *request) {
	waiting, run := c.server.removeRequest(r)
	if run != nil {
		c.server.options.Feed(node.RequestDone{
			Request: r.id, Conn: run.Conn, Outcome: node.OutcomeNotSent, CallerDisconnected: true, Reusable: true,
		})
		return
	}
	if waiting && !r.isDisconnectReported {
		c.server.options.Feed(node.RequestCanceled{Request: r.id})
	}
}
