package session

import (
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
)

// ForwardedRequest is a request that one entry forwards to another, with all
// parts of the route and of the session that the request depends on. Durations
// are in whole milliseconds. The encoding is kept short, since an entry may have
// no more bandwidth than 2 Mbit/s.
type ForwardedRequest struct {
	ID   string           `cbor:"1,keyasint"`
	Verb Verb             `cbor:"2,keyasint"`
	Kind node.RequestKind `cbor:"3,keyasint,omitempty"`
	// Text is the statement, or the arguments of a prepared statement.
	Text     string            `cbor:"4,keyasint,omitempty"`
	Service  catalog.ServiceID `cbor:"5,keyasint"`
	Database string            `cbor:"6,keyasint"`
	// PrimaryOnly, MaxAge, Objective and Priority are those of the route in
	// force at the entry that the caller is connected to. Earlier builds take a
	// MaxAge of zero for no bound, so PrimaryOnly is set with it.
	PrimaryOnly bool  `cbor:"7,keyasint,omitempty"`
	MaxAge      int64 `cbor:"8,keyasint,omitempty"`
	Objective   int64 `cbor:"9,keyasint,omitempty"`
	Priority    int   `cbor:"10,keyasint,omitempty"`
	// Remaining is the time until the request's deadline, WaitTime is how long
	// the caller has been waiting already.
	Remaining int64 `cbor:"11,keyasint"`
	WaitTime  int64 `cbor:"12,keyasint,omitempty"`
	// Floor is the minimum position for the session's reads, if the route
	// requires that reads include the session's own writes.
	Floor catalog.Position `cbor:"13,keyasint,omitempty"`
	// Values are the session's values. Template and MayWrite describe the
	// prepared statement that the request executes, if it executes one.
	Values   map[string]string `cbor:"14,keyasint,omitempty"`
	Template string            `cbor:"15,keyasint,omitempty"`
	MayWrite bool              `cbor:"16,keyasint,omitempty"`
	// Organisation is the organisation of the caller, as the entry that the
	// caller is connected to has determined it.
	Organisation catalog.OrganisationID `cbor:"17,keyasint,omitempty"`
}

// statement returns the statement to run.
func (f *ForwardedRequest) statement() Statement {
	if f.Verb == VerbExecute {
		return Statement{ID: f.ID, Verb: f.Verb, Value: f.Text}
	}
	return Statement{ID: f.ID, Verb: f.Verb, Text: f.Text}
}

// route returns a route with the properties that the request depends on.
func (f *ForwardedRequest) route() catalog.Route {
	r := catalog.Route{
		RouteKey: catalog.RouteKey{Database: f.Database}, Service: f.Service, Reads: catalog.ReadsOwnWrites, Priority: f.Priority,
		MaxAge: milliseconds(f.MaxAge), Objective: milliseconds(f.Objective), Timeout: milliseconds(f.Remaining),
	}
	if f.PrimaryOnly {
		r.Reads = catalog.ReadsPrimary
	}
	return r
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// ForwardReply is the reply of the entry to which a request was forwarded.
type ForwardReply struct {
	// Declined is set if the request was not run and will not be. No other field
	// is set then.
	Declined         bool             `cbor:"1,keyasint,omitempty"`
	Verdict          node.Verdict     `cbor:"2,keyasint,omitempty"`
	Body             []byte           `cbor:"3,keyasint,omitempty"`
	Code             Code             `cbor:"4,keyasint,omitempty"`
	Position         catalog.Position `cbor:"5,keyasint,omitempty"`
	Floor            catalog.Position `cbor:"6,keyasint,omitempty"`
	Reason           string           `cbor:"7,keyasint,omitempty"`
	RetryAfter       time.Duration    `cbor:"8,keyasint,omitempty"`
	DeadlineExceeded bool             `cbor:"9,keyasint,omitempty"`
	// HoldsTransaction is set while the replying entry holds an upstream
	// connection for an open transaction.
	HoldsTransaction bool `cbor:"10,keyasint,omitempty"`
}

const (
	// ErrNotSent reports that no part of a request was sent to the other entry.
	ErrNotSent = errors.ConstError("the other entry is unreachable")
	// ErrUnreadable reports that a forwarded request could not be decoded.
	ErrUnreadable = errors.ConstError("the forwarded request could not be decoded")
	// ErrTooLarge reports that a reply is too large to be sent to the other entry.
	ErrTooLarge = errors.ConstError("the reply is too large to be forwarded")
)

// PeerConn is a connection to another entry. It is used for one request or for
// all requests of one transaction.
type PeerConn struct {
	Peer catalog.VMID
	// Exchange sends a request and waits for the reply until the deadline. It
	// fails with ErrNotSent if no part of the request was sent.
	Exchange func(f ForwardedRequest, deadline time.Time) (ForwardReply, error)
	// Release ends the use of the connection. holdsTransaction is set if the
	// other entry may still hold a transaction, which that entry then rolls back.
	Release func(holdsTransaction bool)
}

// newForwardedRequest returns a request to be forwarded to another entry.
func (c *session) newForwardedRequest(st Statement, route catalog.Route, kind node.RequestKind, deadline catalog.Instant) ForwardedRequest {
	remaining := max(deadline.Sub(c.server.options.Now()), 0)
	f := ForwardedRequest{
		ID: st.ID, Verb: st.Verb, Kind: kind, Text: st.Text, Service: route.Service, Database: c.database, Organisation: c.organisation,
		PrimaryOnly: route.NeedsPrimary() || route.MaxAge < time.Millisecond, Priority: route.Priority, Values: c.values,
		MaxAge: route.MaxAge.Milliseconds(), Objective: route.Objective.Milliseconds(), Remaining: remaining.Milliseconds(),
		WaitTime: (max(route.Timeout-remaining, 0) + c.waitTime).Milliseconds(),
	}
	if route.Reads == catalog.ReadsOwnWrites {
		f.Floor = c.floor
	}
	if st.Verb == VerbExecute {
		f.Text, f.Template, f.MayWrite = st.Value, c.statements[st.Name].template, c.statements[st.Name].mayWrite
	}
	return f
}

// forwardReplyGrace is how long after the deadline of a forwarded request this
// entry still waits for the reply.
const forwardReplyGrace = 500 * time.Millisecond

// forward sends a request to another entry and returns its reply. If the other
// entry then holds the caller's transaction, the connection to it is kept.
func (c *session) forward(id catalog.RequestID, to catalog.VMID, f ForwardedRequest, deadline catalog.Instant) (ForwardReply, node.ForwardOutcome) {
	peer, err := c.server.options.AcquirePeer(to)
	if err != nil {
		return ForwardReply{}, node.ForwardDeclined
	}
	reply, err := peer.Exchange(f, c.server.options.Pool.wallTime(deadline.Add(forwardReplyGrace)))
	switch {
	case errors.Is(err, ErrNotSent):
		peer.Release(false)
		return ForwardReply{}, node.ForwardDeclined
	case err != nil:
		peer.Release(true)
		return ForwardReply{}, node.ForwardLost
	case reply.Declined:
		peer.Release(false)
		return ForwardReply{}, node.ForwardDeclined
	case reply.HoldsTransaction && c.tx != nil:
		c.tx.peer, c.tx.firstForward = peer, id
	default:
		peer.Release(reply.HoldsTransaction)
	}
	return reply, node.ForwardAnswered
}

// releasePeer releases the connection to the entry that holds the transaction, if
// another entry does, and reports the end of the transaction there to the
// reducer. holdsTransaction is passed to the connection's Release.
func (c *session) releasePeer(holdsTransaction bool) {
	if c.tx.peer == nil {
		return
	}
	c.tx.peer.Release(holdsTransaction)
	c.tx.peer = nil
	c.server.options.Feed(node.ForwardedTransactionEnded{Request: c.tx.firstForward})
}

// forwardInTransaction forwards a statement of a transaction to the entry that
// holds the transaction.
func (c *session) forwardInTransaction(st Statement, route catalog.Route, d Decision) outcome {
	now := c.server.options.Now()
	deadline := now.Add(route.Timeout)
	peer := c.tx.peer
	d.ForwardedTo = peer.Peer
	reply, err := peer.Exchange(c.newForwardedRequest(st, route, node.KindInTransaction, deadline), c.server.options.Pool.wallTime(deadline.Add(forwardReplyGrace)))
	if err == nil {
		if !reply.HoldsTransaction {
			c.releasePeer(false)
		}
		return c.outcomeOfReply(reply, d, now)
	}
	c.releasePeer(true)
	o := outcome{verdict: node.VerdictUnknown, reason: "the entry that held the transaction fell silent"}
	if errors.Is(err, ErrNotSent) {
		o.verdict = node.VerdictNotRun
	}
	c.server.logForwardOutcome(d, o, now)
	return o
}

// outcomeOfReply converts another entry's reply to an outcome. The other entry
// has logged the decision. This entry logs it too unless the verdict is done.
func (c *session) outcomeOfReply(r ForwardReply, d Decision, since catalog.Instant) outcome {
	o := outcome{
		verdict: r.Verdict, reply: Reply{Body: r.Body, Code: r.Code, Position: r.Position},
		floor: r.Floor, reason: r.Reason, retryAfter: r.RetryAfter, deadlineExceeded: r.DeadlineExceeded,
	}
	if o.verdict != node.VerdictDone {
		c.server.logForwardOutcome(d, o, since)
	}
	return o
}

// logForwardOutcome logs the decision on a request that was forwarded to another
// entry.
func (s *Server) logForwardOutcome(d Decision, o outcome, since catalog.Instant) {
	d.Verdict, d.Reason, d.Duration = verdictNames[o.verdict], o.reason, s.options.Now().Sub(since)
	s.logDecision(d)
}

// ServeForwarded runs a request that another entry forwards. If the request
// leaves a transaction open, ServeForwarded also runs the requests that follow,
// until the transaction has ended. If receive or reply fails, it rolls the
// transaction back and returns. Where the other entry can still be told, it is: it
// would otherwise wait until its deadline.
func (s *Server) ServeForwarded(from catalog.VMID, receive func() (ForwardedRequest, error), reply func(ForwardReply) error) {
	c := &session{server: s, forwardedFrom: from}
	defer c.dropTransaction()
	for {
		f, err := receive()
		if errors.Is(err, ErrUnreadable) {
			_ = reply(c.refuseUnreadable())
		}
		if err != nil {
			return
		}
		s.activeForwards.Add(1)
		r := c.runForwarded(f)
		err = reply(r)
		if errors.Is(err, ErrTooLarge) {
			r = ForwardReply{Verdict: node.VerdictUnknown, Floor: r.Floor, Reason: ErrTooLarge.Error()}
			err = reply(r)
		}
		s.activeForwards.Add(-1)
		if err != nil || !r.HoldsTransaction {
			return
		}
	}
}

// refuseUnreadable returns the reply to a request that could not be decoded, and so
// has not run. A transaction that is open is rolled back.
func (c *session) refuseUnreadable() ForwardReply {
	if c.tx == nil {
		return ForwardReply{Declined: true}
	}
	return ForwardReply{Verdict: node.VerdictNotRun, Reason: ErrUnreadable.Error()}
}

// runForwarded runs one forwarded request.
func (c *session) runForwarded(f ForwardedRequest) ForwardReply {
	if f.Kind == node.KindInTransaction {
		if c.tx == nil || c.tx.conn == 0 {
			return ForwardReply{Verdict: node.VerdictNotRun, Reason: "the transaction was rolled back"}
		}
	} else {
		c.dropTransaction()
		c.tx = nil
		if c.server.rejectsForwards.Load() || c.server.isolated.Load() {
			return ForwardReply{Declined: true}
		}
	}
	route, st := f.route(), f.statement()
	if f.Kind == node.KindBegin || f.Kind == node.KindBeginRead {
		c.tx = &transaction{route: route, readOnly: f.Kind == node.KindBeginRead}
	}
	c.database, c.organisation, c.values, c.floor, c.waitTime = f.Database, f.Organisation, f.Values, f.Floor, milliseconds(f.WaitTime)
	c.statements = map[string]preparedStatement{st.Name: {mayWrite: f.MayWrite, template: f.Template}}
	o := c.request(st, route, f.Kind)
	if o.mayRunElsewhere && f.Kind != node.KindInTransaction {
		c.tx = nil
		return ForwardReply{Declined: true}
	}
	r := ForwardReply{
		Verdict: o.verdict, Body: o.reply.Body, Code: o.reply.Code, Position: o.reply.Position,
		Floor: o.floor, Reason: strings.ToValidUTF8(o.reason, "?"), RetryAfter: o.retryAfter, DeadlineExceeded: o.deadlineExceeded,
		HoldsTransaction: c.tx != nil && c.tx.conn != 0,
	}
	if !r.HoldsTransaction {
		c.tx = nil
	}
	return r
}
