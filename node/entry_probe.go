package node

import (
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

func (e *Entry) seeAlive(i *entryInstance) {
	i.alive, i.wasAlive = e.now, true
	i.evidence, i.evidenceAt = wire.EvidenceAlive, e.now
}

// seeEvidence notes a failed attempt. Against a primary it is reported at
// once, and a refusal is confirmed by one attempt to connect.
func (e *Entry) seeEvidence(i *entryInstance, v wire.Evidence) {
	wasRefused := i.evidence == wire.EvidenceRefused
	if !e.isBad(i) {
		i.badSince = e.now
	}
	i.evidence, i.evidenceAt = v, e.now
	if v == wire.EvidenceRefused {
		i.known, i.isFresh = false, false
	}
	if i.service.primary.Instance != i.id {
		if v == wire.EvidenceSilent {
			e.leaveSilent(i)
		}
		return
	}
	e.report.urgent = e.report.urgent || i.service.isObserved
	if v == wire.EvidenceRefused && !wasRefused {
		i.confirm, i.nextProbe = true, e.now
	}
}

// leaveSilent gives up the reads at a replica that stopped answering, so that
// they run again elsewhere, and sends it no new ones until it answers.
func (e *Entry) leaveSilent(i *entryInstance) {
	i.known, i.isFresh = false, false
	for _, c := range i.conns {
		if c.state == connBusy && !c.inTransaction && c.request.isRead() {
			e.closeConn(c)
		}
	}
}

// settleProbe asks an upstream for its role and position when it is time, or
// at once if requests wait for the answer.
func (e *Entry) settleProbe(i *entryInstance) {
	if e.stopped || i.probeConn != 0 || !i.service.accepted {
		return
	}
	if e.options.UpstreamsFromControl && !e.worthProbing(i) {
		return
	}
	due := i.nextProbe
	if after, wanted := e.probeWanted(i); wanted {
		due = min(i.probedAt.Add(after), i.nextProbe)
	} else if !i.service.isSubscribed {
		return
	}
	var idle *entryConn
	for _, c := range i.conns {
		if c.state == connIdle && !c.doomed {
			idle = c
			break
		}
	}
	if idle == nil {
		return
	}
	if due.After(e.now) {
		e.wake(due)
		return
	}
	idle.state = connProbing
	i.probeConn, i.probedAt, i.probeStep = idle.id, e.now, e.steps
	i.nextProbe = e.now.Add(e.options.Timings.ProbeInterval)
	e.emit(Probe{Conn: idle.id, Deadline: e.now.Add(e.options.Timings.ProbeTimeout)})
}

// worthProbing reports whether an upstream that takes part in callers' work has
// been silent for long. Answers to callers tell all that a probe would, and a
// probe takes one of the upstream's slots.
func (e *Entry) worthProbing(i *entryInstance) bool {
	most := e.options.Timings.ProbeInterval
	if i.running == 0 {
		if i.id != i.service.primary.Instance || !e.inUse(i.service) {
			return false
		}
		most = idleProbe
	}
	due := max(i.alive, i.askedAt).Add(most)
	if due.After(e.now) {
		e.wake(due)
		return false
	}
	return true
}

// idleProbe is how long a primary that no caller uses for the moment may be
// silent. Its loss shows at the next request; a probe only makes that earlier.
const idleProbe = 2 * time.Second

// probeWanted reports whether requests wait for the upstream's position, and
// how long after the last probe it is worth asking again.
func (e *Entry) probeWanted(i *entryInstance) (after time.Duration, wanted bool) {
	s := i.service
	switch {
	case s.primary.Instance == i.id:
		return 0, s.waitsForPrimary()
	case len(s.replicating) > 0:
		return majorityProbe, true
	default:
		return proofProbe, s.waitsForReplica()
	}
}

// waitsForPrimary reports whether a request waits for the primary's position.
func (s *entryService) waitsForPrimary() bool {
	for _, r := range s.replicating {
		if r.reached.Zero() {
			return true
		}
	}
	for _, q := range s.waiting {
		for _, r := range q {
			if r.FloorUnknown && !r.floorKnown {
				return true
			}
		}
	}
	return false
}

// waitsForReplica reports whether a read waits for a replica to catch up.
func (s *entryService) waitsForReplica() bool {
	for _, q := range s.waiting {
		for _, r := range q {
			if r.proof {
				return true
			}
		}
	}
	return false
}

func (e *Entry) takeProbe(v ProbeDone) {
	c := e.conns[v.Conn]
	if c == nil || c.instance.probeConn != c.id {
		return
	}
	i := c.instance
	e.touch(i.service)
	i.probeConn = 0
	if c.state == connClosing && v.Evidence != wire.EvidenceAlive {
		return
	}
	if v.Evidence != wire.EvidenceAlive {
		e.seeEvidence(i, v.Evidence)
		e.closeConn(c)
		return
	}
	e.seeAlive(i)
	i.received = catalog.Position{Term: v.Position.Term, Offset: max(v.Received, v.Position.Offset)}
	e.learn(i, v.Role, v.Position, asked{sentAt: v.SentAt, step: i.probeStep})
	if c.state == connProbing {
		e.free(c)
	}
}

// asked says when a question for a position left. Step is the step that sent
// it, zero if that is not known; it orders what happened at one instant.
type asked struct {
	sentAt catalog.Instant
	step   uint64
}

// follows reports whether the question left after the request arrived.
func (a asked) follows(r *entryRequest) bool {
	if a.sentAt == r.arrived {
		return a.step >= r.step
	}
	return a.sentAt.After(r.arrived)
}

// learn takes an upstream's first-hand word of its role and position.
func (e *Entry) learn(i *entryInstance, role catalog.Role, at catalog.Position, a asked) {
	sentAt := a.sentAt
	if sentAt.Before(i.knownAt) {
		return
	}
	if role != catalog.RoleUnknown {
		i.role = role
	}
	i.known, i.knownAt, i.position = true, sentAt, at
	if i.received.Term != at.Term {
		i.received = at
	}
	s := i.service
	if s.primary.Instance == i.id {
		if e.leaseHolds(s, s.primary.Epoch, e.now) && (i.role == catalog.RolePrimary || e.options.UpstreamsFromControl) && at.Term >= s.primary.Term {
			e.pushRing(s, ringEntry{sentAt: sentAt, position: at})
			e.floorsFrom(s, a, at)
		}
		return
	}
	if e.options.UpstreamsFromControl && s.primary.Ready {
		i.role = catalog.RoleReplica
	}
	e.refresh(s, i)
}

// held is how far the upstream holds its group's log.
func (i *entryInstance) held() catalog.Position {
	if i.received.Less(i.position) {
		return i.position
	}
	return i.received
}

// pushRing adds a position of the primary. Entries closer together than two
// probes are thinned out, so that the ring reaches far enough back.
func (e *Entry) pushRing(s *entryService, x ringEntry) {
	n := len(s.ring)
	if n > 0 && x.sentAt.Before(s.ring[n-1].sentAt) {
		return
	}
	if n > 1 && s.ring[n-1].sentAt.Sub(s.ring[n-2].sentAt) < e.options.Timings.ProbeInterval/2 {
		s.ring = s.ring[:n-1]
	}
	if len(s.ring) >= ringSize {
		s.ring = append(s.ring[:0:0], s.ring[1:]...)
	}
	s.ring = append(s.ring, x)
	for _, i := range s.instances {
		if i.id != s.primary.Instance {
			e.refresh(s, i)
		}
	}
}

// refresh works out how fresh a replica is known to be.
func (e *Entry) refresh(s *entryService, i *entryInstance) {
	if !i.known {
		return
	}
	for n := len(s.ring) - 1; n >= 0; n-- {
		x := s.ring[n]
		if i.isFresh && !x.sentAt.After(i.fresh) {
			return
		}
		if s.primary.Forks.Covers(i.position, x.position) {
			i.fresh, i.isFresh = x.sentAt, true
			return
		}
	}
}

// floorsFrom answers the reads that waited for the primary's position and
// arrived before the question was sent.
func (e *Entry) floorsFrom(s *entryService, a asked, at catalog.Position) {
	for _, q := range s.waiting {
		for _, r := range q {
			if r.FloorUnknown && !r.floorKnown && a.follows(r) {
				r.floorKnown = true
				if r.Floor.Less(at) {
					r.Floor = at
				}
				e.span("floor-wait", r, r.arrived)
			}
		}
	}
}
