package listener

import (
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
)

// maxRuns bounds the runs of a request that the reducer may order ahead; it
// orders the next one only after RequestDone.
const maxRuns = 4

// request is one batch on its way through the reducer.
type request struct {
	// id is set when the request enters.
	id       catalog.RequestID
	batch    *batch
	kind     node.RequestKind
	settings settings
	runs     chan node.RunRequest
	answers  chan node.AnswerRequest
	canceled chan struct{}

	// early is an answer that came while the request ran.
	early *node.AnswerRequest
	// held are the bytes of the answer that wait for the verdict.
	held []byte
	// failed is set once the answer holds an error of the upstream.
	failed bool
	// saw is set once bytes of the answer went to the caller.
	saw bool
	// status is the transaction state after the request.
	status byte
	// recorded is set if the request ran before under its id; tags are the
	// command tags of that time.
	recorded bool
	tags     []string
	// ran is set once the request was given to an upstream.
	ran bool
	// told is set once the reducer knows that the caller is gone.
	told bool
	// answered is set once an upstream's whole answer is at hand.
	answered bool
}

// handle answers one batch.
func (c *caller) handle(b *batch) {
	c.flushing, c.faulted = b.flush, false
	if c.answerBroken(b) {
		return
	}
	if f := c.refusal(b); f != nil {
		c.forgetUnparsed(b)
		c.fail(f)
		return
	}
	if c.answerLocally(b) {
		return
	}
	own, f := c.settings.hinted(c.server.options.TokenKey, c.service, b.text)
	if f != nil {
		c.forgetUnparsed(b)
		c.fail(f)
		return
	}
	r := &request{
		batch:    b,
		settings: own,
		kind:     c.kindOf(b),
		runs:     make(chan node.RunRequest, maxRuns),
		answers:  make(chan node.AnswerRequest, 1),
		canceled: make(chan struct{}, 1),
		status:   statusIdle,
	}
	if f := r.refusedOnce(); f != nil {
		c.forgetUnparsed(b)
		c.fail(f)
		return
	}
	c.submit(r)
	c.setCurrent(nil)
}

// refusal says why a batch can't be carried, if so.
func (c *caller) refusal(b *batch) *fault {
	if s, refused := b.sql.FirstRefused(c.status != statusIdle); refused {
		return &fault{Code: codeFeature, Text: s.Refusal}
	}
	for _, p := range b.parsed() {
		if s, refused := p.SQL.FirstRefused(c.status != statusIdle); refused {
			return &fault{Code: codeFeature, Text: s.Refusal}
		}
	}
	if b.duplicate != "" {
		return &fault{Code: codeDuplicate, Text: "prepared statement \"" + b.duplicate + "\" already exists"}
	}
	if _, mixed := b.sql.Local(); mixed {
		return &fault{Code: codeFeature, Text: "settings of the session can't be mixed with other statements; send them on their own"}
	}
	if b.query == nil && b.sql.CopyIn() {
		return &fault{Code: codeFeature, Text: "COPY FROM STDIN is carried in the simple protocol only; send it as a simple query"}
	}
	return nil
}

func (c *caller) kindOf(b *batch) node.RequestKind {
	if c.held != nil {
		return node.KindInTransaction
	}
	return b.sql.Kind()
}

// submit gives the request to the reducer and serves it to its answer.
func (c *caller) submit(r *request) {
	c.server.enter(r)
	c.setCurrent(r)
	c.server.options.Feed(c.arrival(r))
	a, ok := c.await(r)
	if !ok {
		return
	}
	c.answer(r, a)
	now := c.server.options.Now()
	c.server.options.RecordSpan("request", r.settings.Traceparent, r.batch.arrived, now)
}

// patience is how long the caller of a request waits.
func (c *caller) patience(r *request) time.Duration {
	if r.settings.Deadline > 0 {
		return r.settings.Deadline
	}
	return c.server.options.DefaultDeadline
}

// deadline is when the caller stops waiting.
func (c *caller) deadline(r *request) catalog.Instant {
	return r.batch.arrived.Add(c.patience(r))
}

// wallTime turns an instant into the time that the network library wants.
func (c *caller) wallTime(at catalog.Instant) time.Time {
	return time.Now().Add(at.Sub(c.server.options.Now()))
}

// arrival tells the reducer of a request.
func (c *caller) arrival(r *request) node.RequestArrived {
	e := node.RequestArrived{
		Request:  r.id,
		Service:  c.service,
		Kind:     r.kind,
		Class:    r.settings.Class,
		MaxAge:   r.settings.MaxAge,
		Deadline: c.deadline(r),
	}
	if c.held != nil {
		e.HeldConn = c.held.ID
	}
	if r.kind == node.KindRead && len(r.batch.sql.Statements) == 0 {
		// What only prepares or describes sees no data.
		return e
	}
	e.Floor = c.floor
	if e.Floor.Less(r.settings.Floor) {
		e.Floor = r.settings.Floor
	}
	e.FloorUnknown = r.settings.Session != "" && !r.settings.HasToken
	return e
}

// await carries out what the reducer says until it answers. It reports false
// if the caller is gone.
func (c *caller) await(r *request) (node.AnswerRequest, bool) {
	for {
		if r.early != nil {
			return *r.early, true
		}
		select {
		case e := <-r.runs:
			c.perform(r, e)
		case a := <-r.answers:
			return a, true
		case <-c.gone:
			c.withdraw(r)
			return node.AnswerRequest{}, false
		case <-r.canceled:
			if r.ran {
				// What may have run is answered as it ended.
				continue
			}
			c.withdraw(r)
			c.forgetUnparsed(r.batch)
			c.fail(&fault{Code: codeCanceled, Text: "canceling statement due to user request"})
			return node.AnswerRequest{}, false
		}
	}
}

// withdraw takes back a request that waits.
func (c *caller) withdraw(r *request) {
	waiting, run := c.server.leave(r)
	if run != nil {
		c.server.options.Feed(node.RequestDone{
			Request: r.id, Conn: run.Conn, Outcome: node.OutcomeNotSent, CallerDisconnected: true, Reusable: true,
		})
		return
	}
	if waiting && !r.told {
		c.server.options.Feed(node.RequestCanceled{Request: r.id})
	}
}
