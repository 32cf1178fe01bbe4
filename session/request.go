package session

import (
	"fmt"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
)

// outcome is the result of a request.
type outcome struct {
	verdict node.Verdict
	// reply is the upstream's last reply.
	reply Reply
	// isUpstreamError is set if the upstream reported an error. The body of the
	// reply is then forwarded to the caller unchanged.
	isUpstreamError bool
	floor           catalog.Position
	reason          string
	// retryAfter is the delay after which the caller should retry, zero if none
	// is suggested.
	retryAfter time.Duration
	// deadlineExceeded is set if the request ended after its deadline.
	deadlineExceeded bool
	// mayRunElsewhere is set if the request was not run, but another entry may
	// be able to run it.
	mayRunElsewhere bool
}

func (o *outcome) errorText() string {
	if o.retryAfter > 0 {
		return fmt.Sprintf("%s; try again in %d ms", o.reason, o.retryAfter.Milliseconds())
	}
	return o.reason
}

// Decision is the log record of how a request was decided.
type Decision struct {
	Request  string
	Database string
	// Organisation is the organisation of the caller, empty if it has none.
	Organisation catalog.OrganisationID
	Service      catalog.ServiceID
	Verb         Verb
	// Verdict is done, not-run or unknown.
	Verdict string
	Reason  string
	// Instance is the upstream that the request was last sent to, empty if none.
	Instance catalog.InstanceID
	// Attempts counts the runs that the reducer started for the request.
	Attempts int
	// Floor is the minimum position required of the upstream.
	Floor catalog.Position
	// Epoch is the epoch of the primary that the entry knows, LeaseLeft is the
	// remaining time of that primary's lease.
	Epoch     catalog.Epoch
	LeaseLeft time.Duration
	// Version is the version of the configuration in force.
	Version catalog.Version
	// Duration is the time from the arrival of the request to its end, WaitTime
	// the time from its arrival to its last run.
	Duration time.Duration
	WaitTime time.Duration
	// ForwardedFrom is the entry that forwarded the request to this one,
	// ForwardedTo the entry to which this one forwarded it.
	ForwardedFrom, ForwardedTo catalog.VMID
}

func (s *Server) logDecision(d Decision) {
	_, d.Version = s.routes.transactionIdleAndVersion()
	s.options.LogDecision(d)
}

var verdictNames = [...]string{"done", "not-run", "unknown"}

// request submits one statement to the entry's reducer, carries out the
// reducer's effects for it and returns the outcome.
func (c *session) request(st Statement, route catalog.Route, kind node.RequestKind) outcome {
	d := Decision{Request: st.ID, Database: c.database, Organisation: c.organisation, Service: route.Service, Verb: st.Verb, ForwardedFrom: c.forwardedFrom}
	if c.tx != nil && c.tx.peer != nil {
		return c.forwardInTransaction(st, route, d)
	}
	id, effects := c.server.register()
	defer c.server.unregister(id)
	now := c.server.options.Now()
	in := node.NewRequest(route, kind, c.floor, now)
	in.Request, in.Database, in.Organisation = id, c.database, c.organisation
	in.Forwarded, in.Waited = c.forwardedFrom != "", c.waitTime
	if c.tx != nil {
		in.HeldConn = c.tx.conn
	}
	d.Floor = in.Floor
	c.server.options.Feed(in)
	var o outcome
	var ranAt catalog.Instant
	for e := range effects {
		switch v := e.(type) {
		case node.RunRequest:
			ranAt = c.server.options.Now()
			d.Attempts++
			if conn := c.server.options.Pool.conn(v.Conn); conn != nil {
				d.Instance = conn.instance
			}
			done, reply := c.execute(st, kind, v, in.Deadline)
			o.reply = reply
			c.setTransactionConn(v.Conn, done.InTransaction)
			c.server.options.Feed(done)
			if done.TimedOut {
				go c.server.options.Pool.drainLateReplies(v.Conn)
			}
		case node.ForwardRequest:
			d.ForwardedTo = v.To
			reply, forwardOutcome := c.forward(id, v.To, c.newForwardedRequest(st, route, kind, in.Deadline), in.Deadline)
			c.server.options.Feed(node.ForwardDone{Request: id, Outcome: forwardOutcome, HoldsTransaction: c.tx != nil && c.tx.peer != nil})
			if forwardOutcome == node.ForwardAnswered {
				return c.outcomeOfReply(reply, d, now)
			}
		case node.AnswerRequest:
			o.mayRunElsewhere = v.RetryElsewhere
			o.verdict, o.floor, o.reason, o.retryAfter = v.Verdict, v.Floor, v.Reason, v.RetryAfter
			end := c.server.options.Now()
			o.deadlineExceeded = !end.Before(in.Deadline)
			d.Epoch, d.LeaseLeft = v.Epoch, v.LeaseLeft
			d.Verdict, d.Reason, d.Duration = verdictNames[v.Verdict], v.Reason, end.Sub(now)
			if ranAt != 0 {
				d.WaitTime = ranAt.Sub(now)
			}
			if c.tx != nil && v.Verdict != node.VerdictDone {
				c.tx.conn = 0
			}
			c.server.logDecision(d)
			return o
		}
	}
	return o
}

// setTransactionConn records the connection that the open transaction, if any,
// holds after a run.
func (c *session) setTransactionConn(conn catalog.ConnID, inTransaction bool) {
	switch {
	case c.tx == nil:
	case inTransaction:
		c.tx.conn = conn
	default:
		c.tx.conn = 0
	}
}
