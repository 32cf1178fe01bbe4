package node

import (
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// placeWrite starts a write or a transaction at the leased primary.
func (e *Entry) placeWrite(s *entryService, r *entryRequest, p *placement) bool {
	e.recordPrimaryWork(r)
	i := e.readyPrimary(s)
	if i == nil || e.options.UpstreamsFromControl && e.isFailing(i) {
		return e.awaitPrimary(s, r, p)
	}
	if e.hasSlot(i, r) {
		if c := e.pickConn(i, r); c != nil {
			e.startRequest(r, c)
			return true
		}
	}
	return e.awaitSlot(s, r, p)
}

// awaitSlot lets a request wait for a slot of the primary, or refuses it if it
// can't meet its deadline. It reports whether it refused the request.
func (e *Entry) awaitSlot(s *entryService, r *entryRequest, p *placement) bool {
	if e.awaitQueue(s, r, &p.waitingForPrimary) {
		return true
	}
	p.hasBooking = p.hasBooking || r.Class == ClassBooking
	return false
}

// awaitQueue lets a request wait behind those ahead of it, or refuses it at
// once if it would miss its deadline there. It reports whether it refused the
// request.
func (e *Entry) awaitQueue(s *entryService, r *entryRequest, ahead *int) bool {
	if e.exceedsShare(s, r, *ahead) {
		e.refuse(r, overloadReason, s.retryDelay(r, overloadDelay))
		return true
	}
	if e.willMissDeadline(r, *ahead) {
		e.refuse(r, "the queue is too long for the deadline", s.retryDelay(r, s.estimatedWait(*ahead)))
		return true
	}
	*ahead++
	return false
}

// awaitPrimary lets a request wait for a primary with a lease while one can be
// expected before the request's deadline, and otherwise refuses the request at
// once. It reports whether it refused the request.
func (e *Entry) awaitPrimary(s *entryService, r *entryRequest, p *placement) bool {
	t := e.options.Timings
	if e.isControlSilent() {
		e.refuse(r, "control is out of reach, so there is no lease for the primary", t.LeaseLength)
		return true
	}
	if s.noLeaseSince != 0 && e.now.Sub(s.noLeaseSince) > maxPrimaryOutage {
		e.refuse(r, "the service has had no primary for long", time.Second)
		return true
	}
	if e.draining && !e.leaseValid(s, s.primary.Epoch, e.now) {
		e.refuse(r, "this entry is stopping", minRetryAfter)
		return true
	}
	if since, gap := e.primaryOutage(s); since != 0 && gap > 0 && !since.Add(gap).Before(r.Deadline) {
		e.refuse(r, "the primary is being replaced", since.Add(gap).Sub(e.now))
		return true
	}
	e.scheduleWake(e.report.answeredSentAt.Add(t.LeaseLength + 2*t.ElectionTimeout + 1))
	if s.noLeaseSince != 0 {
		e.scheduleWake(s.noLeaseSince.Add(maxPrimaryOutage + 1))
	}
	if i := s.primaryInstance(); i != nil && e.now.Before(i.pausedUntil) {
		e.scheduleWake(i.pausedUntil)
	}
	return e.awaitSlot(s, r, p)
}

// primaryOutage returns since when this entry has had no usable primary for the
// service, zero if there is one, and how long such an outage is expected to
// last. The expected length is zero for an entry that has just started, since
// the missing lease does not imply a failover there.
func (e *Entry) primaryOutage(s *entryService) (since catalog.Instant, gap time.Duration) {
	since, gap = s.noLeaseSince, s.failoverGap
	if !e.options.UpstreamsFromControl {
		return since, gap
	}
	if i := s.primaryInstance(); since == 0 && i != nil && e.isFailing(i) {
		since = i.failingSince
	}
	if gap == 0 && s.lastLeaseEpoch != 0 {
		gap = typicalFailoverGap
	}
	return since, gap
}

// typicalFailoverGap is the expected length of a failover until one has been
// observed: the suspicion timeout, a lease, and a promotion of 0.6 s.
const typicalFailoverGap = 1800 * time.Millisecond

func (e *Entry) finishWrite(r *entryRequest, v RequestDone) {
	switch v.Outcome {
	case OutcomeCompleted:
		if v.InTransaction {
			e.answerDone(r)
			return
		}
		e.acknowledge(r, v)
	case OutcomeNotSent, OutcomeReadOnly, OutcomeNotReady:
		if v.CallerDisconnected || !e.retry(r, maxWriteTries) {
			e.refuse(r, "the primary took no statements", r.service.serviceTime)
		}
	default:
		e.answerUnknown(r, "the connection broke before the answer arrived")
	}
}

// acknowledge ends a write after its answer has arrived. The outcome is unknown
// without a valid lease of the epoch in which the write ran, because the
// primary may have been replaced.
func (e *Entry) acknowledge(r *entryRequest, v RequestDone) {
	s := r.service
	if !e.leaseValid(s, r.epoch, e.now) {
		e.answerUnknown(r, "the primary's lease ended before the answer arrived")
		return
	}
	r.doneAt, r.reachedPosition = e.now, v.Position
	if !v.Position.IsZero() && s.settings.Ack != catalog.AckReplicated {
		e.completeWrite(r)
		return
	}
	s.replicating = append(s.replicating, r)
}

func (e *Entry) completeWrite(r *entryRequest) {
	if r.Floor.Less(r.reachedPosition) {
		r.Floor = r.reachedPosition
	}
	e.answerDone(r)
}

// reconcileReplication acknowledges the writes that a majority has received,
// and ends as unknown those whose lease or deadline has expired.
func (e *Entry) reconcileReplication(s *entryService) {
	if len(s.replicating) == 0 {
		return
	}
	kept := s.replicating[:0]
	for _, r := range s.replicating {
		if !e.finishReplication(s, r) {
			kept = append(kept, r)
		}
	}
	s.replicating = kept
}

// finishReplication answers or retries a request whose answer waits for a
// majority, and reports whether the request has stopped waiting.
func (e *Entry) finishReplication(s *entryService, r *entryRequest) bool {
	if r.isRead() {
		return e.finishHeldRead(s, r)
	}
	if !e.leaseValid(s, r.epoch, e.now) {
		e.answerUnknown(r, "the primary's lease ended before a majority held the write")
		return true
	}
	if !e.now.Before(r.Deadline) {
		e.answerUnknown(r, "a majority did not hold the write before the deadline")
		return true
	}
	e.scheduleWake(r.Deadline)
	if i := r.instance; r.reachedPosition.IsZero() && i.positionKnown && !i.positionQueriedAt.Before(r.doneAt) {
		r.reachedPosition = i.position
	}
	if r.reachedPosition.IsZero() {
		return false
	}
	if s.settings.Ack == catalog.AckReplicated && e.countHolders(s, r) < s.settings.Instances/2 {
		return false
	}
	e.emitSpan("replication-wait", r, r.doneAt)
	e.completeWrite(r)
	return true
}

// countHolders returns the number of replicas known to have received the log up
// to the position that the request has reached.
func (e *Entry) countHolders(s *entryService, r *entryRequest) int {
	n := 0
	for _, i := range s.instances {
		if i != r.instance && i.positionKnown && i.role == catalog.RoleReplica && e.isOnHistory(s, i) &&
			s.primary.Forks.Covers(i.heldPosition(), r.reachedPosition) {
			n++
		}
	}
	return n
}
