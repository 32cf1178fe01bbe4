package node

import (
	"slices"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// placeRead runs a read at a replica that is shown to be new enough, else at
// one that likely is and is asked first, else at the leased primary.
func (e *Entry) placeRead(s *entryService, r *entryRequest, p *placement) bool {
	if !r.floorKnown {
		return e.awaitFloor(s, r, p)
	}
	if e.options.UpstreamsFromControl {
		return e.placeListed(s, r, p)
	}
	r.proof = false
	shown, likely := e.candidates(s, r)
	for _, i := range shown {
		if e.startRead(r, i, false) {
			return true
		}
	}
	if len(shown) == 0 {
		for _, i := range likely {
			if e.startRead(r, i, true) {
				return true
			}
		}
	}
	if len(shown) > 0 && p.replica < replicaSlots(shown) && !e.hopeless(r, p.replica) {
		p.replica++
		return false
	}
	if e.startAtPrimary(s, r, p) {
		return true
	}
	if len(shown) > 0 {
		return e.awaitReplica(s, r, p)
	}
	return e.awaitProof(s, r, p)
}

// awaitFloor keeps a read of an unknown floor until the primary was asked.
func (e *Entry) awaitFloor(s *entryService, r *entryRequest, p *placement) bool {
	i := s.primaryInstance()
	if i == nil || !e.takesWork(i) || !e.leaseHolds(s, s.primary.Epoch, e.now) {
		return e.awaitPrimary(s, r, p)
	}
	if e.hopeless(r, 0) {
		e.refuse(r, "the primary's position did not come in time", s.serve)
		return true
	}
	return false
}

func replicaSlots(is []*entryInstance) int {
	n := 0
	for _, i := range is {
		n += max(1, int(i.limit))
	}
	return n
}

// candidates returns the replicas shown to satisfy a read and those that
// likely do, the best first. The next call reuses both lists.
func (e *Entry) candidates(s *entryService, r *entryRequest) (shown, likely []*entryInstance) {
	shown, likely = e.shown[:0], e.likely[:0]
	for _, i := range s.instances {
		if r.primaryOnly || !e.isReplica(s, i) || !e.young(i, r.MaxAge) {
			continue
		}
		if s.primary.Forks.Covers(i.position, r.Floor) {
			shown = append(shown, i)
		} else if r.verifies < verifyTries && i != r.avoid && e.likelyCovers(s, i, r.Floor) {
			likely = append(likely, i)
		}
	}
	e.shown, e.likely = shown, likely
	rank(shown, r)
	rank(likely, r)
	return shown, likely
}

func rank(is []*entryInstance, r *entryRequest) {
	slices.SortStableFunc(is, func(a, b *entryInstance) int { return a.load(r) - b.load(r) })
}

// load orders candidates: a failed one last, then by running requests, and at
// equal numbers the own site first.
func (i *entryInstance) load(r *entryRequest) int {
	n := 2 * (i.running + i.short)
	if !i.own {
		n++
	}
	if i == r.avoid {
		n += 1 << 20
	}
	return n
}

// isReplica reports whether the upstream is known first-hand to be a replica
// of the group's living history, and takes new work.
func (e *Entry) isReplica(s *entryService, i *entryInstance) bool {
	return i.id != s.primary.Instance && i.known && i.role == catalog.RoleReplica &&
		i.evidence == wire.EvidenceAlive && e.usable(i) && e.onHistory(s, i)
}

// onHistory reports whether all that the upstream holds is part of the history
// of the current primary.
func (e *Entry) onHistory(s *entryService, i *entryInstance) bool {
	if i.position.Term > s.primary.Term {
		return false
	}
	for _, k := range s.primary.Forks {
		if k.Term > i.position.Term && i.position.Offset > k.At {
			return false
		}
	}
	return true
}

// young reports whether a replica is shown to be no older than an age. Drift
// allows for the time until the read runs.
func (e *Entry) young(i *entryInstance, age time.Duration) bool {
	if age == 0 {
		return true
	}
	return i.isFresh && e.now.Sub(i.fresh) <= age-e.options.Timings.Drift
}

// likelyCovers estimates by the replica's lag when it was last asked whether
// it has reached a position by now.
func (e *Entry) likelyCovers(s *entryService, i *entryInstance, floor catalog.Position) bool {
	if !i.isFresh || i.position.Term != floor.Term {
		return false
	}
	lag := i.knownAt.Sub(i.fresh)
	for _, x := range s.ring {
		if !x.position.Less(floor) {
			return !e.now.Before(x.sentAt.Add(lag))
		}
	}
	return false
}

func (e *Entry) startRead(r *entryRequest, i *entryInstance, verify bool) bool {
	if !i.hasSlot(r.Class) {
		return false
	}
	c := e.pick(i)
	if c == nil {
		return false
	}
	r.verify = verify
	e.start(r, c)
	return true
}

// startAtPrimary runs a read at the leased primary if it has a free slot, also
// while the lease is being drained.
// Browsing leaves it alone while bookings wait there.
func (e *Entry) startAtPrimary(s *entryService, r *entryRequest, p *placement) bool {
	i := e.primaryReady(s)
	if i == nil && r.Kind == KindRead && e.leaseHolds(s, s.primary.Epoch, e.now) {
		i = e.primaryTakes(s)
	}
	if i == nil || i == r.avoid && len(s.instances) > 1 && r.tries > 1 {
		return false
	}
	if r.Class == ClassBrowse && p.booking {
		return false
	}
	return e.startRead(r, i, false)
}

// awaitReplica lets a read wait for a place at a replica that satisfies it.
func (e *Entry) awaitReplica(s *entryService, r *entryRequest, p *placement) bool {
	return e.awaitTurn(s, r, &p.replica)
}

// awaitProof lets a read wait for the next probes or for the primary. Without
// the primary nothing newer can be shown, so a cut-off entry refuses at once.
func (e *Entry) awaitProof(s *entryService, r *entryRequest, p *placement) bool {
	r.proof = true
	if e.primaryReady(s) == nil {
		return e.awaitPrimary(s, r, p)
	}
	return e.awaitSlot(s, r, p)
}

func (e *Entry) finishRead(r *entryRequest, c *entryConn, v RequestDone) {
	canRepeat := !v.AnswerStarted && !v.CallerDisconnected
	switch v.Outcome {
	case OutcomeCompleted:
		if r.atPrimary && canRepeat && !e.leaseHolds(r.service, r.epoch, e.now) {
			e.repeatStale(r, c)
			return
		}
		if canRepeat && e.showsUnreplicated(r, v) {
			r.doneAt, r.reached = e.now, v.Position
			r.service.replicating = append(r.service.replicating, r)
			return
		}
		e.answerDone(r)
	case OutcomeBehind:
		r.verifies++
		e.requeue(r)
	case OutcomeLost, OutcomeFailed:
		if !canRepeat || !e.retry(r, readTries) {
			e.answerUnknown(r, "the connection broke before the answer arrived")
		}
	default:
		r.primaryOnly = r.primaryOnly || v.Outcome == OutcomeReadOnly
		if v.CallerDisconnected || !e.retry(r, readTries) {
			e.refuse(r, "the upstream took no statements", r.service.serve)
		}
	}
}

// showsUnreplicated reports whether a read at the primary may show a write that
// no majority holds yet, so that a failover could take it back. Its answer is
// held back until a majority has caught up with what the primary had.
func (e *Entry) showsUnreplicated(r *entryRequest, v RequestDone) bool {
	return r.Kind == KindRead && r.atPrimary && r.service.settings.Ack == catalog.AckReplicated && !v.Position.Zero()
}

// endHeldRead ends a read whose answer is held back. It waits for a majority no
// longer than a lease: with most of the group gone, reading goes on.
func (e *Entry) endHeldRead(s *entryService, r *entryRequest) bool {
	if !e.leaseHolds(s, r.epoch, e.now) {
		if !e.retry(r, readTries) {
			e.answerUnknown(r, "the primary's lease ended before the answer was given")
		}
		return true
	}
	until := min(r.Deadline, r.doneAt.Add(e.options.Timings.LeaseLength))
	if e.now.Before(until) && e.holders(s, r) < s.settings.Instances/2 {
		e.wake(until)
		return false
	}
	e.span("replication-wait", r, r.doneAt)
	e.answerDone(r)
	return true
}

// repeatStale runs a read again whose answer came from a primary that may have
// been replaced.
func (e *Entry) repeatStale(r *entryRequest, c *entryConn) {
	if c != nil && c.inTransaction {
		e.closeConn(c)
	}
	if !e.retry(r, readTries) {
		e.answerUnknown(r, "the primary's lease ended before the answer arrived")
	}
}
