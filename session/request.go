package session

import (
	"fmt"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
)

// outcome is how a request ended.
type outcome struct {
	verdict node.Verdict
	// reply is the upstream's last one.
	reply Reply
	// isOwn is set if an error is passed on in the upstream's own words.
	isOwn  bool
	floor  catalog.Position
	reason string
	// retryAfter is the hint when to come back.
	retryAfter time.Duration
	// late is set if the deadline has passed.
	late bool
	// elsewhere is set if another entry may well run what has not run here.
	elsewhere bool
}

func (o *outcome) text() string {
	if o.retryAfter > 0 {
		return fmt.Sprintf("%s; try again in %d ms", o.reason, o.retryAfter.Milliseconds())
	}
	return o.reason
}

// Decision is one decision on a request, with what decided it.
type Decision struct {
	Request  string
	Database string
	Service  catalog.ServiceID
	Verb     Verb
	// Verdict is done, not-run or unknown.
	Verdict string
	Reason  string
	// Instance ran it last, if any did.
	Instance catalog.InstanceID
	// Tries counts how often it was sent to an upstream.
	Tries int
	// Floor is the position that was asked for.
	Floor catalog.Position
	// Epoch is that of the primary known, LeaseLeft how long its lease ran.
	Epoch     catalog.Epoch
	LeaseLeft time.Duration
	// Version is that of the configuration in force.
	Version  catalog.Version
	Took     time.Duration
	WaitTime time.Duration
	// From is the entry that passed the request on to this one, Via the one
	// that this entry passed it on to.
	ForwardedFrom, Via catalog.VMID
}

func (s *Server) decided(d Decision) {
	_, d.Version = s.routes.idle()
	s.options.Decided(d)
}

var verdictNames = [...]string{"done", "not-run", "unknown"}

// classOf orders requests by the priority of their route.
func classOf(r catalog.Route) node.Class {
	return node.Class(min(max(r.Priority, 0), int(node.ClassBrowse)))
}

// request has the entry run one statement and waits for what comes of it.
func (c *session) request(st Statement, route catalog.Route, kind node.RequestKind) outcome {
	d := Decision{Request: st.ID, Database: c.database, Service: route.Service, Verb: st.Verb, ForwardedFrom: c.from}
	if c.tx != nil && c.tx.way != nil {
		return c.requestThere(st, route, d)
	}
	id, effects := c.server.register()
	defer c.server.unregister(id)
	now := c.server.options.Now()
	in := node.RequestArrived{
		Request: id, Service: route.Service, Database: c.database, Kind: kind, Class: classOf(route),
		PrimaryOnly: route.Reads == catalog.ReadsPrimary, MaxAge: route.MaxAge,
		Deadline: now.Add(route.Timeout), Objective: route.Objective, Forwarded: c.from != "", Waited: c.waited,
	}
	if c.tx != nil {
		in.HeldConn = c.tx.held
	}
	if route.Reads == catalog.ReadsOwnWrites {
		in.Floor = c.floor
	}
	d.Floor = in.Floor
	c.server.options.Feed(in)
	var o outcome
	var ranAt catalog.Instant
	for e := range effects {
		switch v := e.(type) {
		case node.RunRequest:
			ranAt = c.server.options.Now()
			d.Tries++
			if u := c.server.options.Pool.conn(v.Conn); u != nil {
				d.Instance = u.instance
			}
			done, reply := c.exchange(st, kind, v, in.Deadline)
			o.reply = reply
			c.hold(v.Conn, done.InTransaction)
			c.server.options.Feed(done)
			if done.TimedOut {
				go c.server.options.Pool.settle(v.Conn)
			}
		case node.ForwardRequest:
			d.Via = v.To
			reply, how := c.forward(id, v.To, c.forwarded(st, route, kind, in.Deadline), in.Deadline)
			c.server.options.Feed(node.ForwardDone{Request: id, Outcome: how, HoldsTransaction: c.tx != nil && c.tx.way != nil})
			if how == node.ForwardAnswered {
				return c.takeReply(reply, d, now)
			}
		case node.AnswerRequest:
			o.elsewhere = v.RetryElsewhere
			o.verdict, o.floor, o.reason, o.retryAfter = v.Verdict, v.Floor, v.Reason, v.RetryAfter
			end := c.server.options.Now()
			o.late = !end.Before(in.Deadline)
			d.Epoch, d.LeaseLeft = v.Epoch, v.LeaseLeft
			d.Verdict, d.Reason, d.Took = verdictNames[v.Verdict], v.Reason, end.Sub(now)
			if ranAt != 0 {
				d.WaitTime = ranAt.Sub(now)
			}
			if c.tx != nil && v.Verdict != node.VerdictDone {
				c.tx.held = 0
			}
			c.server.decided(d)
			return o
		}
	}
	return o
}

// hold notes whether a connection is that of the caller's transaction.
func (c *session) hold(conn catalog.ConnID, is bool) {
	switch {
	case c.tx == nil:
	case is:
		c.tx.held = conn
	default:
		c.tx.held = 0
	}
}
