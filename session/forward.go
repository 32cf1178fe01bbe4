package session

import (
	"time"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
)

// Forwarded is a request that one entry passes on to another, with all of the
// route and of the session that it depends on. It is kept short, since an entry
// may have no more than 2 Mbit/s: times are whole milliseconds.
type ForwardedRequest struct {
	ID   string           `cbor:"1,keyasint"`
	Verb Verb             `cbor:"2,keyasint"`
	Kind node.RequestKind `cbor:"3,keyasint,omitempty"`
	// Text is the statement, or the arguments of a prepared one.
	Text     string            `cbor:"4,keyasint,omitempty"`
	Service  catalog.ServiceID `cbor:"5,keyasint"`
	Database string            `cbor:"6,keyasint"`
	// PrimaryOnly, MaxAge, Objective and Priority are those of the route in
	// force where the caller is connected.
	PrimaryOnly bool  `cbor:"7,keyasint,omitempty"`
	MaxAge      int64 `cbor:"8,keyasint,omitempty"`
	Objective   int64 `cbor:"9,keyasint,omitempty"`
	Priority    int   `cbor:"10,keyasint,omitempty"`
	// Left is what is left of the time for the statement, Waited how long the
	// caller has waited for it already.
	Left     int64 `cbor:"11,keyasint"`
	WaitTime int64 `cbor:"12,keyasint,omitempty"`
	// Floor is the position that the session's reads must cover, if the route
	// asks for that.
	Floor catalog.Position `cbor:"13,keyasint,omitempty"`
	// Values are those of the session, Shape and Writes are of the prepared
	// statement that is executed.
	Values   map[string]string `cbor:"14,keyasint,omitempty"`
	Shape    string            `cbor:"15,keyasint,omitempty"`
	MayWrite bool              `cbor:"16,keyasint,omitempty"`
}

// statement is the one to run.
func (f *ForwardedRequest) statement() Statement {
	if f.Verb == VerbExecute {
		return Statement{ID: f.ID, Verb: f.Verb, Value: f.Text}
	}
	return Statement{ID: f.ID, Verb: f.Verb, Text: f.Text}
}

// route is what the request needs of its route.
func (f *ForwardedRequest) route() catalog.Route {
	r := catalog.Route{
		RouteKey: catalog.RouteKey{Database: f.Database}, Service: f.Service, Reads: catalog.ReadsOwnWrites, Priority: f.Priority,
		MaxAge: milliseconds(f.MaxAge), Objective: milliseconds(f.Objective), Timeout: milliseconds(f.Left),
	}
	if f.PrimaryOnly {
		r.Reads = catalog.ReadsPrimary
	}
	return r
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// ForwardReply is the other entry's answer.
type ForwardReply struct {
	// Declined is set if the request has not run there and will not; nothing
	// else is set then.
	Declined   bool             `cbor:"1,keyasint,omitempty"`
	Verdict    node.Verdict     `cbor:"2,keyasint,omitempty"`
	Body       []byte           `cbor:"3,keyasint,omitempty"`
	Code       Code             `cbor:"4,keyasint,omitempty"`
	Position   catalog.Position `cbor:"5,keyasint,omitempty"`
	Floor      catalog.Position `cbor:"6,keyasint,omitempty"`
	Reason     string           `cbor:"7,keyasint,omitempty"`
	RetryAfter time.Duration    `cbor:"8,keyasint,omitempty"`
	Late       bool             `cbor:"9,keyasint,omitempty"`
	// Held is set while a transaction keeps an upstream's connection there.
	HoldsTransaction bool `cbor:"10,keyasint,omitempty"`
}

// ErrNotSent says that nothing of a request has left for the other entry.
const ErrNotSent = errors.ConstError("the other entry is out of reach")

// Way leads to another entry, for one request or for those of a transaction.
type Way struct {
	Peer catalog.VMID
	// Exchange fails with ErrNotSent, or if the other entry falls silent.
	Exchange func(f ForwardedRequest, deadline time.Time) (ForwardReply, error)
	// End ends the way; isHeld is set if the other entry still holds a
	// transaction, which it then rolls back.
	Release func(isHeld bool)
}

// forwarded describes a request for another entry.
func (c *session) forwarded(st Statement, route catalog.Route, kind node.RequestKind, deadline catalog.Instant) ForwardedRequest {
	left := max(deadline.Sub(c.server.options.Now()), 0)
	f := ForwardedRequest{
		ID: st.ID, Verb: st.Verb, Kind: kind, Text: st.Text, Service: route.Service, Database: c.database,
		PrimaryOnly: route.Reads == catalog.ReadsPrimary, Priority: route.Priority, Values: c.values,
		MaxAge: route.MaxAge.Milliseconds(), Objective: route.Objective.Milliseconds(), Left: left.Milliseconds(),
		WaitTime: (max(route.Timeout-left, 0) + c.waited).Milliseconds(),
	}
	if route.Reads == catalog.ReadsOwnWrites {
		f.Floor = c.floor
	}
	if st.Verb == VerbExecute {
		f.Text, f.Shape, f.MayWrite = st.Value, c.names[st.Name].shape, c.names[st.Name].writes
	}
	return f
}

// forwardReserve is how long the answer of another entry may take to arrive
// behind the deadline of its request.
const forwardReserve = 500 * time.Millisecond

// forward has another entry run a request.
func (c *session) forward(id catalog.RequestID, to catalog.VMID, f ForwardedRequest, deadline catalog.Instant) (ForwardReply, node.ForwardOutcome) {
	w, err := c.server.options.Way(to)
	if err != nil {
		return ForwardReply{}, node.ForwardDeclined
	}
	reply, err := w.Exchange(f, c.server.options.Pool.wallTime(deadline.Add(forwardReserve)))
	switch {
	case errors.Is(err, ErrNotSent):
		w.Release(false)
		return ForwardReply{}, node.ForwardDeclined
	case err != nil:
		w.Release(true)
		return ForwardReply{}, node.ForwardLost
	case reply.Declined:
		w.Release(false)
		return ForwardReply{}, node.ForwardDeclined
	case reply.HoldsTransaction && c.tx != nil:
		c.tx.way, c.tx.began = w, id
	default:
		w.Release(reply.HoldsTransaction)
	}
	return reply, node.ForwardAnswered
}

// leave ends the way to the entry that holds the transaction, if one does.
func (c *session) leave(isHeld bool) {
	if c.tx.way == nil {
		return
	}
	c.tx.way.Release(isHeld)
	c.tx.way = nil
	c.server.options.Feed(node.ForwardedTransactionEnded{Request: c.tx.began})
}

// requestThere runs a statement of a transaction that another entry holds.
func (c *session) requestThere(st Statement, route catalog.Route, d Decision) outcome {
	now := c.server.options.Now()
	deadline := now.Add(route.Timeout)
	w := c.tx.way
	d.Via = w.Peer
	reply, err := w.Exchange(c.forwarded(st, route, node.KindInTransaction, deadline), c.server.options.Pool.wallTime(deadline.Add(forwardReserve)))
	if err == nil {
		if !reply.HoldsTransaction {
			c.leave(false)
		}
		return c.takeReply(reply, d, now)
	}
	c.leave(true)
	o := outcome{verdict: node.VerdictUnknown, reason: "the entry that held the transaction fell silent"}
	if errors.Is(err, ErrNotSent) {
		o.verdict = node.VerdictNotRun
	}
	c.server.conclude(d, o, now)
	return o
}

// takeReply turns another entry's answer into an outcome. That entry has logged
// the decision, so that only what was not done is logged here.
func (c *session) takeReply(r ForwardReply, d Decision, since catalog.Instant) outcome {
	o := outcome{
		verdict: r.Verdict, reply: Reply{Body: r.Body, Code: r.Code, Position: r.Position},
		floor: r.Floor, reason: r.Reason, retryAfter: r.RetryAfter, late: r.Late,
	}
	if o.verdict != node.VerdictDone {
		c.server.conclude(d, o, since)
	}
	return o
}

// conclude logs a decision that another entry had a part in.
func (s *Server) conclude(d Decision, o outcome, since catalog.Instant) {
	d.Verdict, d.Reason, d.Took = verdictNames[o.verdict], o.reason, s.options.Now().Sub(since)
	s.decided(d)
}

// ServeForwarded runs a request that another entry passes on, and those behind
// it while they are of one transaction.
func (s *Server) ServeForwarded(from catalog.VMID, receive func() (ForwardedRequest, error), reply func(ForwardReply) error) {
	c := &session{server: s, from: from}
	defer c.drop()
	for {
		f, err := receive()
		if err != nil {
			return
		}
		s.forwards.Add(1)
		r := c.runForwarded(f)
		err = reply(r)
		s.forwards.Add(-1)
		if err != nil || !r.HoldsTransaction {
			return
		}
	}
}

// runForwarded runs one request for another entry.
func (c *session) runForwarded(f ForwardedRequest) ForwardReply {
	if f.Kind == node.KindInTransaction {
		if c.tx == nil || c.tx.held == 0 {
			return ForwardReply{Verdict: node.VerdictNotRun, Reason: "the transaction was rolled back"}
		}
	} else {
		c.drop()
		c.tx = nil
		if c.server.leaving.Load() || c.server.released.Load() {
			return ForwardReply{Declined: true}
		}
	}
	route, st := f.route(), f.statement()
	if f.Kind == node.KindBegin || f.Kind == node.KindBeginRead {
		c.tx = &transaction{route: route, readOnly: f.Kind == node.KindBeginRead}
	}
	c.database, c.values, c.floor, c.waited = f.Database, f.Values, f.Floor, milliseconds(f.WaitTime)
	c.names = map[string]prepared{st.Name: {writes: f.MayWrite, shape: f.Shape}}
	o := c.request(st, route, f.Kind)
	if o.elsewhere && f.Kind != node.KindInTransaction {
		c.tx = nil
		return ForwardReply{Declined: true}
	}
	r := ForwardReply{
		Verdict: o.verdict, Body: o.reply.Body, Code: o.reply.Code, Position: o.reply.Position,
		Floor: o.floor, Reason: o.reason, RetryAfter: o.retryAfter, Late: o.late,
		HoldsTransaction: c.tx != nil && c.tx.held != 0,
	}
	if !r.HoldsTransaction {
		c.tx = nil
	}
	return r
}
