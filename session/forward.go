package session

import (
	"time"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
)

// Forwarded is a request that one entry passes on to another, with all of the
// session that it depends on.
type Forwarded struct {
	Database string `cbor:"1,keyasint"`
	// Route is the one in force where the caller is connected. Its Timeout is
	// what is left of it.
	Route     catalog.Route     `cbor:"2,keyasint"`
	Kind      node.RequestKind  `cbor:"3,keyasint"`
	Statement Statement         `cbor:"4,keyasint"`
	Values    map[string]string `cbor:"5,keyasint,omitempty"`
	// Shape and Writes are those of the prepared statement that Statement
	// executes.
	Shape  string           `cbor:"6,keyasint,omitempty"`
	Writes bool             `cbor:"7,keyasint,omitempty"`
	Floor  catalog.Position `cbor:"8,keyasint"`
	// Waited is how long the caller has waited already.
	Waited time.Duration `cbor:"9,keyasint"`
}

// ForwardReply is the other entry's answer.
type ForwardReply struct {
	// Declined is set if the request has not run there and will not; nothing
	// else is set then.
	Declined   bool             `cbor:"1,keyasint,omitempty"`
	Verdict    node.Verdict     `cbor:"2,keyasint"`
	Body       []byte           `cbor:"3,keyasint,omitempty"`
	Code       Code             `cbor:"4,keyasint"`
	Position   catalog.Position `cbor:"5,keyasint"`
	Floor      catalog.Position `cbor:"6,keyasint"`
	Reason     string           `cbor:"7,keyasint,omitempty"`
	RetryAfter time.Duration    `cbor:"8,keyasint,omitempty"`
	Late       bool             `cbor:"9,keyasint,omitempty"`
	// Held is set while a transaction keeps an upstream's connection there.
	Held bool `cbor:"10,keyasint,omitempty"`
}

// ErrNotSent says that nothing of a request has left for the other entry.
const ErrNotSent = errors.ConstError("the other entry is out of reach")

// Way leads to another entry, for one request or for those of a transaction.
type Way struct {
	To catalog.VMID
	// Exchange fails with ErrNotSent, or if the other entry falls silent.
	Exchange func(f Forwarded, deadline time.Time) (ForwardReply, error)
	// End ends the way; isHeld is set if the other entry still holds a
	// transaction, which it then rolls back.
	End func(isHeld bool)
}

// forwarded describes a request for another entry.
func (c *session) forwarded(st Statement, route catalog.Route, kind node.RequestKind, deadline catalog.Instant) Forwarded {
	left := max(deadline.Sub(c.server.options.Now()), 0)
	f := Forwarded{
		Database: c.database, Route: route, Kind: kind, Statement: st, Values: c.values, Floor: c.floor,
		Waited: max(route.Timeout-left, 0),
	}
	f.Route.Timeout = left
	if st.Verb == VerbExecute {
		f.Shape, f.Writes = c.names[st.Name].shape, c.names[st.Name].writes
	}
	return f
}

// forwardReserve is how long the answer of another entry may take to arrive
// behind the deadline of its request.
const forwardReserve = 500 * time.Millisecond

// forward has another entry run a request.
func (c *session) forward(to catalog.VMID, f Forwarded, deadline catalog.Instant) (ForwardReply, node.ForwardOutcome) {
	w, err := c.server.options.Way(to)
	if err != nil {
		return ForwardReply{}, node.ForwardDeclined
	}
	reply, err := w.Exchange(f, c.server.options.Pool.wallTime(deadline.Add(forwardReserve)))
	switch {
	case errors.Is(err, ErrNotSent):
		w.End(false)
		return ForwardReply{}, node.ForwardDeclined
	case err != nil:
		w.End(true)
		return ForwardReply{}, node.ForwardLost
	case reply.Declined:
		w.End(false)
		return ForwardReply{}, node.ForwardDeclined
	case reply.Held && c.tx != nil:
		c.tx.way = w
	default:
		w.End(reply.Held)
	}
	return reply, node.ForwardAnswered
}

// requestThere runs a statement of a transaction that another entry holds.
func (c *session) requestThere(st Statement, route catalog.Route, d Decision) outcome {
	now := c.server.options.Now()
	deadline := now.Add(route.Timeout)
	w := c.tx.way
	d.Via = w.To
	reply, err := w.Exchange(c.forwarded(st, route, node.KindInside, deadline), c.server.options.Pool.wallTime(deadline.Add(forwardReserve)))
	if err == nil {
		if !reply.Held {
			c.tx.way = nil
			w.End(false)
		}
		return c.takeReply(reply, d, now)
	}
	c.tx.way = nil
	w.End(true)
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
func (s *Server) ServeForwarded(from catalog.VMID, receive func() (Forwarded, error), reply func(ForwardReply) error) {
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
		if err != nil || !r.Held {
			return
		}
	}
}

// runForwarded runs one request for another entry.
func (c *session) runForwarded(f Forwarded) ForwardReply {
	if f.Kind == node.KindInside {
		if c.tx == nil || c.tx.held == 0 {
			return ForwardReply{Verdict: node.VerdictNotRun, Reason: "the transaction was rolled back"}
		}
	} else {
		c.drop()
		c.tx = nil
		if _, stopping := c.server.stopping(); stopping || c.server.released.Load() {
			return ForwardReply{Declined: true}
		}
	}
	if f.Kind == node.KindBegin || f.Kind == node.KindBeginRead {
		c.tx = &transaction{route: f.Route, readOnly: f.Kind == node.KindBeginRead}
	}
	c.database, c.values, c.floor, c.waited = f.Database, f.Values, f.Floor, f.Waited
	c.names = map[string]prepared{f.Statement.Name: {writes: f.Writes, shape: f.Shape}}
	o := c.request(f.Statement, f.Route, f.Kind)
	if o.elsewhere {
		c.tx = nil
		return ForwardReply{Declined: true}
	}
	r := ForwardReply{
		Verdict: o.verdict, Body: o.reply.Body, Code: o.reply.Code, Position: o.reply.Position,
		Floor: o.floor, Reason: o.reason, RetryAfter: o.retryAfter, Late: o.late,
		Held: c.tx != nil && c.tx.held != 0,
	}
	if !r.Held {
		c.tx = nil
	}
	return r
}
