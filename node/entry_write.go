package node

import (
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// placeWrite runs a write or begins a transaction at the leased primary.
func (e *Entry) placeWrite(s *entryService, r *entryRequest, p *placement) bool {
	i := e.primaryReady(s)
	if i == nil || e.options.UpstreamsFromControl && e.isBad(i) {
		return e.awaitPrimary(s, r, p)
	}
	if i.hasSlot(r.Class) {
		if c := e.pick(i); c != nil {
			e.start(r, c)
			return true
		}
	}
	return e.awaitSlot(s, r, p)
}

// awaitSlot lets a request wait for the primary's slots if it can make it.
func (e *Entry) awaitSlot(s *entryService, r *entryRequest, p *placement) bool {
	if e.awaitTurn(s, r, &p.primary) {
		return true
	}
	p.booking = p.booking || r.Class == ClassBooking
	return false
}

// awaitTurn lets a request wait behind those ahead of it, or refuses it at once
// if it can't make its deadline there. It reports whether it was refused.
func (e *Entry) awaitTurn(s *entryService, r *entryRequest, ahead *int) bool {
	if e.hopeless(r, *ahead) {
		e.refuse(r, "the queue is too long for the deadline", s.waitFor(*ahead))
		return true
	}
	*ahead++
	return false
}

// awaitPrimary lets a request wait for a primary with a lease while there is
// hope for one before its deadline, and refuses it as soon as there is none.
func (e *Entry) awaitPrimary(s *entryService, r *entryRequest, p *placement) bool {
	t := e.options.Timings
	if e.cutOff() {
		e.refuse(r, "control is out of reach, so there is no lease for the primary", t.LeaseLength)
		return true
	}
	if s.unledSince != 0 && e.now.Sub(s.unledSince) > failoverBound {
		e.refuse(r, "the service has had no primary for long", time.Second)
		return true
	}
	if e.leaving && !e.leaseHolds(s, s.primary.Epoch, e.now) {
		e.refuse(r, "this entry is stopping", retryLeast)
		return true
	}
	if since, gap := e.outage(s); since != 0 && gap > 0 && !since.Add(gap).Before(r.Deadline) {
		e.refuse(r, "the primary is being replaced", since.Add(gap).Sub(e.now))
		return true
	}
	e.wake(e.report.answeredAt.Add(t.LeaseLength + 2*t.ElectionTimeout + 1))
	if s.unledSince != 0 {
		e.wake(s.unledSince.Add(failoverBound + 1))
	}
	if i := s.primaryInstance(); i != nil && e.now.Before(i.pausedUntil) {
		e.wake(i.pausedUntil)
	}
	return e.awaitSlot(s, r, p)
}

// outage returns since when the service has been without a primary for this
// entry, zero if it is not, and how long that takes as a rule. That is not known
// at an entry that has just started: there need not be any change of primary.
func (e *Entry) outage(s *entryService) (since catalog.Instant, gap time.Duration) {
	since, gap = s.unledSince, s.gap
	if !e.options.UpstreamsFromControl {
		return since, gap
	}
	if i := s.primaryInstance(); since == 0 && i != nil && e.isBad(i) {
		since = i.badSince
	}
	if gap == 0 && s.ledEpoch != 0 {
		gap = usualGap
	}
	return since, gap
}

// usualGap is how long a change of primary takes until one was seen: the time
// to suspect it, a lease, and a promotion of 0.6 s.
const usualGap = 1800 * time.Millisecond

func (e *Entry) finishWrite(r *entryRequest, v RequestDone) {
	switch v.Outcome {
	case OutcomeCompleted:
		if v.InTransaction {
			e.answerDone(r)
			return
		}
		e.acknowledge(r, v)
	case OutcomeNotSent, OutcomeReadOnly, OutcomeNotReady:
		if v.CallerDisconnected || !e.retry(r, writeTries) {
			e.refuse(r, "the primary took no statements", r.service.serve)
		}
	default:
		e.answerUnknown(r, "the connection broke before the answer arrived")
	}
}

// acknowledge ends a write whose answer has arrived. Without a valid lease of
// the epoch it ran in, the primary may have been replaced.
func (e *Entry) acknowledge(r *entryRequest, v RequestDone) {
	s := r.service
	if !e.leaseHolds(s, r.epoch, e.now) {
		e.answerUnknown(r, "the primary's lease ended before the answer arrived")
		return
	}
	r.doneAt, r.reached = e.now, v.Position
	if !v.Position.Zero() && s.settings.Ack != catalog.AckReplicated {
		e.ack(r)
		return
	}
	s.replicating = append(s.replicating, r)
}

func (e *Entry) ack(r *entryRequest) {
	if r.Floor.Less(r.reached) {
		r.Floor = r.reached
	}
	e.answerDone(r)
}

// settleReplication acknowledges the writes that a majority holds and gives up
// those whose lease or deadline has ended.
func (e *Entry) settleReplication(s *entryService) {
	if len(s.replicating) == 0 {
		return
	}
	kept := s.replicating[:0]
	for _, r := range s.replicating {
		if !e.endReplication(s, r) {
			kept = append(kept, r)
		}
	}
	s.replicating = kept
}

func (e *Entry) endReplication(s *entryService, r *entryRequest) bool {
	if r.isRead() {
		return e.endHeldRead(s, r)
	}
	if !e.leaseHolds(s, r.epoch, e.now) {
		e.answerUnknown(r, "the primary's lease ended before a majority held the write")
		return true
	}
	if !e.now.Before(r.Deadline) {
		e.answerUnknown(r, "a majority did not hold the write before the deadline")
		return true
	}
	e.wake(r.Deadline)
	if i := r.instance; r.reached.Zero() && i.known && !i.knownAt.Before(r.doneAt) {
		r.reached = i.position
	}
	if r.reached.Zero() {
		return false
	}
	if s.settings.Ack == catalog.AckReplicated && e.holders(s, r) < s.settings.Instances/2 {
		return false
	}
	e.span("replication-wait", r, r.doneAt)
	e.ack(r)
	return true
}

// holders counts the replicas seen to hold a write.
func (e *Entry) holders(s *entryService, r *entryRequest) int {
	n := 0
	for _, i := range s.instances {
		if i != r.instance && i.known && i.role == catalog.RoleReplica && e.onHistory(s, i) &&
			s.primary.Forks.Covers(i.held(), r.reached) {
			n++
		}
	}
	return n
}
