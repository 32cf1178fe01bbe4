package session

import (
	"time"

	"github.com/kingcupknot/kingcupknot/node"
)

// minIdleTime is how long a caller must have been idle before its session is
// ended. It only makes it rarer that a statement crosses the end of its session:
// silence does not show that a caller is idle, since this process may itself have
// been unable to run.
const minIdleTime = 60 * time.Millisecond

// sessionEndGrace is how long a session that is being ended still waits for the
// caller to close the connection. Statements that arrive within this time are
// refused rather than cut off.
const sessionEndGrace = 2 * time.Second

// busySessionGrace is how long the sessions of callers that never become idle
// may continue during a planned stop. After it they are ended right after an
// answer.
const busySessionGrace = 300 * time.Millisecond

// failedTransactionGrace is how long the session of a caller whose transaction
// was rolled back by a planned stop is kept open. The caller gets the error as
// the answer to the next statement that it sends within this time.
const failedTransactionGrace = 500 * time.Millisecond

// scheduleInterrupt sets the time at which the wait for the caller's next
// statement is interrupted: the earliest time at which the session or its
// transaction may have to end, or never if there is none.
func (c *session) scheduleInterrupt() {
	var at time.Time
	stop := c.server.stop.Load()
	if c.tx == nil {
		if stop != nil || c.server.isolated.Load() {
			at = c.lastActive.Add(minIdleTime)
		}
	} else {
		at = c.tx.idleDeadline
		if deadline := stop.deadlineOf(c.tx); stop != nil && (at.IsZero() || deadline.Before(at)) {
			at = deadline
		}
	}
	c.caller.InterruptAt(at)
}

// enforceDeadlines rolls back a transaction whose deadline has passed. It
// reports whether the session must end.
func (c *session) enforceDeadlines() bool {
	now := time.Now()
	stop := c.server.stop.Load()
	if c.tx == nil && c.shouldReconnect {
		return true
	}
	if c.tx == nil {
		isIdle := now.Sub(c.lastActive) >= minIdleTime || stop != nil && now.After(stop.busyDeadline)
		return (stop != nil || c.server.isolated.Load()) && isIdle
	}
	isIdleTooLong := !c.tx.idleDeadline.IsZero() && now.After(c.tx.idleDeadline)
	if isIdleTooLong || stop != nil && now.After(stop.transactionDeadline) {
		c.failTransaction()
		c.tx.idleDeadline = time.Time{}
	}
	return stop != nil && c.tx.failed && now.After(stop.deadlineOf(c.tx))
}

// deadlineOf returns when a planned stop rolls back an open transaction. For a
// failed transaction it returns when the session ends: the caller gets the
// error with its next statement and needs time to send that.
func (s *plannedStop) deadlineOf(t *transaction) time.Time {
	switch {
	case s == nil:
		return time.Time{}
	case t.failed:
		return s.transactionDeadline.Add(failedTransactionGrace)
	default:
		return s.transactionDeadline
	}
}

// end ends the session between two statements of the caller. The error that end
// sends makes an idle caller close the connection. If the caller has sent a
// statement meanwhile, the error is the answer to it. The statement does not run,
// and another error follows for the caller that is idle then.
func (c *session) end() {
	const reason = "not run: this entry ends the session; connect again"
	code := CodeBusy
	if c.tx != nil {
		code = CodeAborted
	}
	c.caller.InterruptAt(time.Now().Add(sessionEndGrace))
	for {
		c.caller.Refuse(code, reason)
		st, err := c.caller.Receive()
		if err != nil {
			return
		}
		c.server.logDecision(Decision{Request: st.ID, Database: c.database, Verb: st.Verb, Verdict: verdictNames[node.VerdictNotRun], Reason: reason})
		if c.caller.Answer(Answer{Body: []byte{}, State: c.state()}) != nil {
			return
		}
	}
}
