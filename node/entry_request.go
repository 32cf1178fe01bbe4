package node

import (
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

func (e *Entry) takeRequest(v RequestArrived) {
	if e.requests[v.Request] != nil {
		return
	}
	s := e.services[v.Service]
	r := &entryRequest{RequestArrived: v, service: s, arrived: e.now, step: e.steps, queued: e.now}
	r.Class = min(v.Class, ClassBrowse)
	r.primaryOnly = e.options.ReadFromPrimary || v.PrimaryOnly
	r.floorKnown = !v.FloorUnknown || r.primaryOnly
	e.requests[r.Request] = r
	if !e.catchUp.inForce {
		e.refuse(r, "the entry has no configuration yet", 2*e.options.Timings.ReportInterval)
		return
	}
	if s == nil || !s.accepted {
		e.refuse(r, "the service is not in the accepted configuration", retryMost)
		return
	}
	e.touch(s)
	s.tokens = min(s.tokens+retryShare, retryBurst)
	e.count("requests")
	if e.mayForward(r) && (e.awaitsOwners() || e.forward(s, r)) {
		if r.forwardedTo == "" {
			s.waiting[r.Class] = append(s.waiting[r.Class], r)
		}
		return
	}
	e.use(r)
	if v.Kind == KindInTransaction {
		e.runInside(r)
		return
	}
	if e.leaving {
		e.refuse(r, "this entry is stopping", retryLeast)
		return
	}
	s.waiting[r.Class] = append(s.waiting[r.Class], r)
}

// runInside runs a statement of an open transaction on its connection.
func (e *Entry) runInside(r *entryRequest) {
	c := e.conns[r.HeldConn]
	if c == nil || !c.inTransaction || c.state != connHeld || c.instance.service != r.service {
		e.refuse(r, "the transaction was rolled back", retryLeast)
		return
	}
	if c.atPrimary && !e.leaseHolds(r.service, c.epoch, e.now) {
		e.closeConn(c)
		e.refuse(r, "the transaction was rolled back: the primary's lease has ended", retryLeast)
		return
	}
	e.start(r, c)
}

func (e *Entry) takeWithdrawn(v RequestCanceled) {
	r := e.requests[v.Request]
	if r == nil || r.conn != 0 {
		return
	}
	s := r.service
	e.touch(s)
	s.waiting[r.Class] = without(s.waiting[r.Class], r)
	s.replicating = without(s.replicating, r)
	delete(e.requests, r.Request)
}

func (e *Entry) takeDropped(v TransactionAbandoned) {
	if c := e.conns[v.Conn]; c != nil {
		c.state = connClosing
		e.touch(c.instance.service)
	}
}

// start runs a request on a connection that is free for it.
func (e *Entry) start(r *entryRequest, c *entryConn) {
	i, s := c.instance, r.service
	r.instance, r.conn, r.startedAt = i, c.id, e.now
	r.atPrimary = i.id == s.primary.Instance
	r.epoch = s.primary.Epoch
	if r.Kind == KindInTransaction {
		r.epoch, r.atPrimary = c.epoch, c.atPrimary
	}
	if i.running == 0 {
		i.askedAt = e.now
	}
	i.running++
	s.running = append(s.running, r)
	c.state, c.request = connBusy, r
	r.proof = false
	if r.Kind != KindInTransaction {
		c.inTransaction = r.Kind == KindBegin || r.Kind == KindBeginRead
		c.writes, c.atPrimary, c.epoch = !r.isRead(), r.atPrimary, r.epoch
	}
	r.writes = c.writes
	e.span("queue-wait", r, r.queued)
	run := RunRequest{Request: r.Request, Conn: c.id, Verify: r.verify}
	if r.verify {
		run.Floor, run.Forks = r.Floor, s.primary.Forks
	}
	if r.isRead() && !r.atPrimary {
		run.After = r.after
	}
	run.BufferAnswer = r.Kind == KindRead && r.atPrimary && s.settings.Ack == catalog.AckReplicated
	run.QueryPosition = c.writes || run.BufferAnswer || e.now.Sub(i.knownAt) >= e.options.Timings.ProbeInterval/2
	e.emit(run)
}

func (e *Entry) takeDone(v RequestDone) {
	r := e.requests[v.Request]
	if r == nil || r.conn == 0 || r.conn != v.Conn {
		return
	}
	i := r.instance
	e.touch(r.service)
	i.running--
	r.conn = 0
	r.service.running = without(r.service.running, r)
	r.ran = r.ran || v.Outcome == OutcomeLost || v.Outcome == OutcomeCompleted || v.Outcome == OutcomeFailed ||
		v.Outcome == OutcomeBehind && !e.options.UpstreamsFromControl
	e.span("upstream-run", r, r.startedAt)
	e.noteDone(r, i, v)
	c := e.conns[v.Conn]
	e.settleConn(c, v)
	switch {
	case r.isRead():
		e.finishRead(r, c, v)
	case r.Kind == KindInTransaction:
		e.finishInside(r, c, v)
	default:
		e.finishWrite(r, v)
	}
}

// noteDone learns from how a request ended.
func (e *Entry) noteDone(r *entryRequest, i *entryInstance, v RequestDone) {
	if v.Outcome == OutcomeLost || v.Outcome == OutcomeNotSent {
		return
	}
	e.seeAlive(i)
	switch v.Outcome {
	case OutcomeReadOnly:
		if r.epoch == r.service.primary.Epoch {
			i.role, i.knownAt = catalog.RoleReplica, e.now
		}
		i.nextProbe = e.now
	case OutcomeFailed:
		// Failures come fast: an upstream that fails in part would look like the
		// quickest of its group.
		i.note(failedTook, e.now)
	case OutcomeNotReady:
		i.pausedUntil = e.now.Add(backoffFirst + time.Duration(e.draw()%uint64(backoffFirst)))
	case OutcomeCompleted:
		took := e.now.Sub(r.startedAt)
		r.service.serve += (took - r.service.serve) / 8
		i.note(took, e.now)
		if r.isRead() && r.Database != "" {
			r.service.work.note(r.Database, took)
		}
		e.adapt(i, took)
	}
	if v.Position.Zero() {
		return
	}
	role := catalog.RoleUnknown
	if r.Kind == KindWrite && v.Outcome == OutcomeCompleted && !i.known {
		role = catalog.RolePrimary
	}
	e.learn(i, role, v.Position, asked{sentAt: v.PositionQueriedAt})
	probe := e.options.Timings.ProbeInterval
	i.nextProbe = min(e.now.Add(probe), i.probedAt.Add(probesSpared*probe))
}

// settleConn decides what becomes of the connection a request has left.
func (e *Entry) settleConn(c *entryConn, v RequestDone) {
	if c == nil {
		return
	}
	c.request = nil
	if c.state == connClosing {
		return
	}
	if v.InTransaction {
		c.state, c.inTransaction = connHeld, true
		s := c.instance.service
		if v.CallerDisconnected || (c.atPrimary && (c.epoch < s.primary.Epoch || c.epoch <= s.revoked)) {
			e.closeConn(c)
		}
		return
	}
	c.inTransaction = false
	if v.TimedOut {
		c.state = connLate
		return
	}
	if !v.Reusable {
		c.state = connClosing
		return
	}
	e.free(c)
}

func (e *Entry) finishInside(r *entryRequest, c *entryConn, v RequestDone) {
	switch v.Outcome {
	case OutcomeCompleted:
		if v.InTransaction || !r.writes {
			e.answerDone(r)
			return
		}
		e.acknowledge(r, v)
	case OutcomeLost, OutcomeBehind, OutcomeFailed:
		e.answerUnknown(r, "the connection broke within the transaction")
	default:
		if c != nil && c.inTransaction {
			e.closeConn(c)
		}
		e.refuse(r, "the transaction was rolled back", retryLeast)
	}
}

func (e *Entry) answerDone(r *entryRequest) {
	e.answer(r, AnswerRequest{
		Request: r.Request, Verdict: VerdictDone, Floor: r.Floor,
		FromReplica: !r.atPrimary,
	})
}

func (e *Entry) answerUnknown(r *entryRequest, reason string) {
	e.answer(r, AnswerRequest{Request: r.Request, Verdict: VerdictUnknown, Reason: reason})
}

// refuse ends a request that will not run. One that may have run at an
// upstream already is answered as unknown, since that is the truth.
func (e *Entry) refuse(r *entryRequest, reason string, after time.Duration) {
	verdict := VerdictNotRun
	if r.ran {
		verdict = VerdictUnknown
	}
	e.answer(r, AnswerRequest{
		Request: r.Request, Verdict: verdict, Reason: reason, RetryAfter: clampRetry(after),
		RetryElsewhere: verdict == VerdictNotRun && e.declines(r),
	})
}

func (e *Entry) answer(r *entryRequest, a AnswerRequest) {
	delete(e.requests, r.Request)
	if s := r.service; s != nil {
		a.Epoch = s.primary.Epoch
		if s.leaseUntil != 0 {
			a.LeaseLeft = s.leaseUntil.Sub(e.now)
		}
	}
	e.emit(a)
	switch {
	case a.Verdict == VerdictNotRun:
		e.count("refusals")
	case a.Verdict == VerdictUnknown:
		e.count("unknown-outcomes")
	case a.FromReplica:
		e.count("replica-reads")
	case r.isRead():
		e.count("primary-reads")
	case r.Kind == KindInTransaction:
		e.count("transaction-statements")
	default:
		e.count("writes")
	}
}
