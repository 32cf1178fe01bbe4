package node

import (
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

func (e *Entry) handleRequest(v RequestArrived) {
	if e.requests[v.Request] != nil {
		return
	}
	s := e.services[v.Service]
	r := e.newRequest(v)
	e.requests[r.Request] = r
	if !e.catchUp.inForce {
		e.refuse(r, "the entry has no configuration yet", 2*e.options.Timings.ReportInterval)
		return
	}
	if s == nil || !s.accepted {
		e.refuse(r, "the service is not in the accepted configuration", maxRetryAfter)
		return
	}
	e.markDirty(s)
	s.retryTokens = min(s.retryTokens+retryTokensPerRequest, maxRetryTokens)
	e.increment("requests")
	if e.refuseOverLimit(r) {
		return
	}
	if e.mayForward(r) && (e.isAwaitingOwners() || e.forward(s, r)) {
		if r.forwardedTo == "" {
			e.enqueue(r)
		}
		return
	}
	e.markInUse(r)
	if v.Kind == KindInTransaction {
		e.runInTransaction(r)
		return
	}
	if e.draining {
		e.refuse(r, "this entry is stopping", minRetryAfter)
		return
	}
	e.enqueue(r)
}

// newRequest returns the state of a request that arrives now.
func (e *Entry) newRequest(v RequestArrived) *entryRequest {
	r := &entryRequest{RequestArrived: v, service: e.services[v.Service], arrivedAt: e.now, arrivalStep: e.steps, queuedAt: e.now}
	r.Class = min(v.Class, ClassBrowse)
	r.primaryOnly = e.options.ReadFromPrimary || v.PrimaryOnly
	r.floorKnown = !v.FloorUnknown || r.primaryOnly
	return r
}

// runInTransaction runs a statement of an open transaction on the connection of
// that transaction.
func (e *Entry) runInTransaction(r *entryRequest) {
	c := e.conns[r.HeldConn]
	if c == nil || !c.inTransaction || c.state != connHeld || c.instance.service != r.service {
		e.refuse(r, "the transaction was rolled back", minRetryAfter)
		return
	}
	if c.atPrimary && !e.leaseValid(r.service, c.epoch, e.now) {
		e.closeConn(c)
		e.refuse(r, "the transaction was rolled back: the primary's lease has ended", minRetryAfter)
		return
	}
	e.chargeOrganisation(r)
	e.startRequest(r, c)
}

func (e *Entry) handleRequestCanceled(v RequestCanceled) {
	r := e.requests[v.Request]
	if r == nil || r.connID != 0 {
		return
	}
	s := r.service
	e.markDirty(s)
	s.waiting[r.Class] = removeRequest(s.waiting[r.Class], r)
	r.leaveQueue()
	s.replicating = removeRequest(s.replicating, r)
	delete(e.requests, r.Request)
}

func (e *Entry) handleTransactionAbandoned(v TransactionAbandoned) {
	if c := e.conns[v.Conn]; c != nil {
		c.state = connClosing
		e.markDirty(c.instance.service)
	}
}

// startRequest runs a request on a connection that is free, or that belongs to
// the request's transaction.
func (e *Entry) startRequest(r *entryRequest, c *entryConn) {
	i, s := c.instance, r.service
	r.instance, r.connID, r.startedAt = i, c.id, e.now
	r.atPrimary = i.id == s.primary.Instance
	r.epoch = s.primary.Epoch
	if r.Kind == KindInTransaction {
		r.epoch, r.atPrimary = c.epoch, c.atPrimary
	}
	if r.atPrimary {
		e.recordPrimaryWork(r)
	}
	if i.running == 0 {
		i.busySince = e.now
	}
	if r.Kind != KindInTransaction {
		i.recordWait(e.now.Sub(r.queuedAt), e.now)
	}
	i.running++
	s.running = append(s.running, r)
	c.state, c.request = connBusy, r
	if r.Organisation != "" && r.Kind != KindInTransaction {
		i.recordUse(c, e.now)
	}
	r.awaitsReplica = false
	if r.Kind != KindInTransaction {
		c.inTransaction = r.Kind == KindBegin || r.Kind == KindBeginRead
		c.mayWrite, c.atPrimary, c.epoch = !r.isRead(), r.atPrimary, r.epoch
	}
	r.mayWrite = c.mayWrite
	e.emitSpan("queue-wait", r, r.queuedAt)
	run := RunRequest{Request: r.Request, Conn: c.id, Verify: r.verifyFirst}
	if r.verifyFirst {
		run.Floor, run.Forks = r.Floor, s.primary.Forks
	}
	if r.isRead() && !r.atPrimary {
		run.After = r.requiredPosition
	}
	run.BufferAnswer = r.Kind == KindRead && r.atPrimary && s.settings.Ack == catalog.AckReplicated
	run.QueryPosition = c.mayWrite || run.BufferAnswer || e.now.Sub(i.positionQueriedAt) >= e.options.Timings.ProbeInterval/2
	e.emit(run)
}

func (e *Entry) handleRequestDone(v RequestDone) {
	r := e.requests[v.Request]
	if r == nil || r.connID == 0 || r.connID != v.Conn {
		return
	}
	i := r.instance
	e.markDirty(r.service)
	i.running--
	r.connID = 0
	e.uncountOverdue(r)
	r.service.running = removeRequest(r.service.running, r)
	r.mayHaveRun = r.mayHaveRun || v.Outcome == OutcomeLost || v.Outcome == OutcomeCompleted || v.Outcome == OutcomeFailed ||
		v.Outcome == OutcomeBehind && !e.options.UpstreamsFromControl
	e.emitSpan("upstream-run", r, r.startedAt)
	e.recordOutcome(r, i, v)
	if r.isRead() {
		i.recordReadAt(v)
	}
	c := e.conns[v.Conn]
	e.finishConn(c, v)
	switch {
	case r.isRead():
		e.finishRead(r, c, v)
	case r.Kind == KindInTransaction:
		e.finishInTransaction(r, c, v)
	default:
		e.finishWrite(r, v)
	}
}

// recordOutcome updates the state of the upstream according to how a request
// ended there.
func (e *Entry) recordOutcome(r *entryRequest, i *entryInstance, v RequestDone) {
	if v.Outcome == OutcomeLost || v.Outcome == OutcomeNotSent {
		return
	}
	e.recordAlive(i)
	switch v.Outcome {
	case OutcomeReadOnly:
		if r.epoch == r.service.primary.Epoch {
			i.role, i.positionQueriedAt = catalog.RoleReplica, e.now
		}
		i.nextProbe = e.now
	case OutcomeFailed:
		// Requests often fail fast, so without this an upstream that fails some
		// of them would seem to have the lowest latency of its group.
		i.recordLatency(failedLatency, e.now)
	case OutcomeNotReady:
		i.pausedUntil = e.now.Add(initialBackoff + time.Duration(e.nextRandom()%uint64(initialBackoff)))
	case OutcomeCompleted:
		latency := e.now.Sub(r.startedAt)
		r.service.serviceTime += (latency - r.service.serviceTime) / 8
		i.recordLatency(latency, e.now)
		e.recordCost(r, latency)
		e.recordReadTime(r, i, latency)
		if r.isRead() && r.Database != "" {
			r.service.baselines.record(r.Database, latency)
		}
		if !e.options.UpstreamsFromControl {
			e.adaptConcurrency(i, latency)
		}
	}
	if v.Position.IsZero() {
		return
	}
	role := catalog.RoleUnknown
	if r.Kind == KindWrite && v.Outcome == OutcomeCompleted && !i.positionKnown {
		role = catalog.RolePrimary
	}
	e.recordPosition(i, role, v.Position, positionQuery{sentAt: v.PositionQueriedAt})
	probe := e.options.Timings.ProbeInterval
	i.nextProbe = min(e.now.Add(probe), i.probedAt.Add(maxSkippedProbes*probe))
}

// finishConn decides how a connection is used after its request has ended.
func (e *Entry) finishConn(c *entryConn, v RequestDone) {
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
		if v.CallerDisconnected || (c.atPrimary && (c.epoch < s.primary.Epoch || c.epoch <= s.fencedEpoch)) {
			e.closeConn(c)
		}
		return
	}
	c.inTransaction = false
	if v.TimedOut {
		c.state = connAwaitingLateAnswer
		return
	}
	if !v.Reusable {
		c.state = connClosing
		return
	}
	e.releaseConn(c)
}

func (e *Entry) finishInTransaction(r *entryRequest, c *entryConn, v RequestDone) {
	switch v.Outcome {
	case OutcomeCompleted:
		if v.InTransaction || !r.mayWrite {
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
		e.refuse(r, "the transaction was rolled back", minRetryAfter)
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

// refuse ends a request that this entry will not run. If the request may
// already have run at an upstream, the verdict is unknown.
func (e *Entry) refuse(r *entryRequest, reason string, after time.Duration) {
	verdict := VerdictNotRun
	if r.mayHaveRun {
		verdict = VerdictUnknown
	}
	e.answer(r, AnswerRequest{
		Request: r.Request, Verdict: verdict, Reason: reason, RetryAfter: clampRetry(after),
		RetryElsewhere: verdict == VerdictNotRun && e.canRunElsewhere(r),
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
		e.increment("refusals")
	case a.Verdict == VerdictUnknown:
		e.increment("unknown-outcomes")
	case a.FromReplica:
		e.increment("replica-reads")
	case r.isRead():
		e.increment("primary-reads")
	case r.Kind == KindInTransaction:
		e.increment("transaction-statements")
	default:
		e.increment("writes")
	}
}
