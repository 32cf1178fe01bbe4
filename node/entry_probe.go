package node

import (
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

func (e *Entry) recordAlive(i *entryInstance) {
	i.aliveAt, i.wasAlive = e.now, true
	i.evidence, i.evidenceAt = wire.EvidenceAlive, e.now
}

// recordFailure records a failed attempt to use an upstream. If the upstream is
// the primary, observers report the failure to control at once, and a refused
// connection is confirmed by one more attempt to connect.
func (e *Entry) recordFailure(i *entryInstance, v wire.Evidence) {
	wasRefused := i.evidence == wire.EvidenceRefused
	if !e.isFailing(i) {
		i.failingSince = e.now
	}
	i.evidence, i.evidenceAt = v, e.now
	if v == wire.EvidenceRefused {
		i.positionKnown, i.freshnessKnown = false, false
	}
	if i.service.primary.Instance != i.id {
		if v == wire.EvidenceTimeout {
			e.closeSilentReads(i)
		}
		return
	}
	e.report.urgent = e.report.urgent || i.service.isObserved
	if v == wire.EvidenceRefused && !wasRefused {
		i.confirmRefusal, i.nextProbe = true, e.now
	}
}

// closeSilentReads closes the connections of reads at a replica that stopped
// answering, so that the reads run again elsewhere. The replica gets no new
// reads until it answers.
func (e *Entry) closeSilentReads(i *entryInstance) {
	i.positionKnown, i.freshnessKnown = false, false
	for _, c := range i.conns {
		if c.state == connBusy && !c.inTransaction && c.request.isRead() {
			e.closeConn(c)
		}
	}
}

// probeIfDue probes an upstream for its role and position when the next probe
// is due, or earlier if requests wait for the result.
func (e *Entry) probeIfDue(i *entryInstance) {
	if e.stopped || i.probeConn != 0 || !i.service.accepted {
		return
	}
	if e.options.UpstreamsFromControl && !e.needsProbe(i) {
		return
	}
	due := i.nextProbe
	if after, isRequested := e.isProbeRequested(i); isRequested {
		due = min(i.probedAt.Add(after), i.nextProbe)
	} else if !i.service.isSubscribed {
		return
	}
	var idle *entryConn
	for _, c := range i.conns {
		if c.state == connIdle && !c.closeWhenFree {
			idle = c
			break
		}
	}
	if idle == nil {
		return
	}
	if due.After(e.now) {
		e.scheduleWake(due)
		return
	}
	idle.state = connProbing
	i.probeConn, i.probedAt, i.probeStep = idle.id, e.now, e.steps
	i.nextProbe = e.now.Add(e.options.Timings.ProbeInterval)
	e.emit(Probe{Conn: idle.id, Deadline: e.now.Add(e.options.Timings.ProbeTimeout)})
}

// needsProbe reports whether an upstream that requests depend on has not
// answered for too long. Others are not probed, because answers to requests
// carry the same information and a probe occupies one of the upstream's slots.
func (e *Entry) needsProbe(i *entryInstance) bool {
	maxSilence := e.options.Timings.ProbeInterval
	if i.running == 0 {
		if i.id != i.service.primary.Instance || !e.isInUse(i.service) {
			return false
		}
		maxSilence = idleProbeInterval
	}
	due := max(i.aliveAt, i.busySince).Add(maxSilence)
	if due.After(e.now) {
		e.scheduleWake(due)
		return false
	}
	return true
}

// idleProbeInterval is how long a primary without running requests may go
// without an answer before it is probed. Without that probe, only the next
// request would detect that the primary has failed.
const idleProbeInterval = 2 * time.Second

// isProbeRequested reports whether requests wait for the upstream's position,
// and the minimum time since the last probe.
func (e *Entry) isProbeRequested(i *entryInstance) (after time.Duration, isRequested bool) {
	s := i.service
	switch {
	case s.primary.Instance == i.id:
		return 0, s.waitsForPrimary()
	case len(s.replicating) > 0:
		return majorityProbeInterval, true
	default:
		return catchUpProbeInterval, s.waitsForReplica()
	}
}

// waitsForPrimary reports whether a request waits for the primary's position.
func (s *entryService) waitsForPrimary() bool {
	for _, r := range s.replicating {
		if r.reachedPosition.IsZero() {
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
			if r.awaitsReplica {
				return true
			}
		}
	}
	return false
}

func (e *Entry) handleProbeDone(v ProbeDone) {
	c := e.conns[v.Conn]
	if c == nil || c.instance.probeConn != c.id {
		return
	}
	i := c.instance
	e.markDirty(i.service)
	i.probeConn = 0
	if c.state == connClosing && v.Evidence != wire.EvidenceAlive {
		return
	}
	if v.Evidence != wire.EvidenceAlive {
		e.recordFailure(i, v.Evidence)
		e.closeConn(c)
		return
	}
	e.recordAlive(i)
	i.received = catalog.Position{Term: v.Position.Term, Offset: max(v.Received, v.Position.Offset)}
	e.recordPosition(i, v.Role, v.Position, positionQuery{sentAt: v.SentAt, step: i.probeStep})
	if c.state == connProbing {
		e.releaseConn(c)
	}
}

// positionQuery identifies when an upstream was asked for its position: at
// sentAt, in the given step. The step is zero if unknown; it orders events that
// happen at the same instant.
type positionQuery struct {
	sentAt catalog.Instant
	step   uint64
}

// sentAfter reports whether the query was sent after the request arrived.
func (a positionQuery) sentAfter(r *entryRequest) bool {
	if a.sentAt == r.arrivedAt {
		return a.step >= r.arrivalStep
	}
	return a.sentAt.After(r.arrivedAt)
}

// recordPosition stores the role and position that the upstream itself
// reported.
func (e *Entry) recordPosition(i *entryInstance, role catalog.Role, at catalog.Position, a positionQuery) {
	sentAt := a.sentAt
	if sentAt.Before(i.positionQueriedAt) {
		return
	}
	if role != catalog.RoleUnknown {
		i.role = role
	}
	i.positionKnown, i.positionQueriedAt, i.position = true, sentAt, at
	if i.received.Term != at.Term {
		i.received = at
	}
	s := i.service
	if s.primary.Instance == i.id {
		if e.leaseValid(s, s.primary.Epoch, e.now) && (i.role == catalog.RolePrimary || e.options.UpstreamsFromControl) && at.Term >= s.primary.Term {
			e.addPrimaryPosition(s, positionSample{sentAt: sentAt, position: at})
			e.resolveFloors(s, a, at)
		}
		return
	}
	if e.options.UpstreamsFromControl && s.primary.Ready {
		i.role = catalog.RoleReplica
	}
	e.updateFreshness(s, i)
}

// heldPosition returns the position up to which the upstream has received its
// group's log.
func (i *entryInstance) heldPosition() catalog.Position {
	if i.received.Less(i.position) {
		return i.position
	}
	return i.received
}

// addPrimaryPosition adds a position of the primary to the samples. Samples
// that are closer together than half a probe interval are thinned out, so that
// the samples reach back far enough.
func (e *Entry) addPrimaryPosition(s *entryService, x positionSample) {
	n := len(s.primaryPositions)
	if n > 0 && x.sentAt.Before(s.primaryPositions[n-1].sentAt) {
		return
	}
	if n > 1 && s.primaryPositions[n-1].sentAt.Sub(s.primaryPositions[n-2].sentAt) < e.options.Timings.ProbeInterval/2 {
		s.primaryPositions = s.primaryPositions[:n-1]
	}
	if len(s.primaryPositions) >= maxPrimaryPositions {
		s.primaryPositions = append(s.primaryPositions[:0:0], s.primaryPositions[1:]...)
	}
	s.primaryPositions = append(s.primaryPositions, x)
	for _, i := range s.instances {
		if i.id != s.primary.Instance {
			e.updateFreshness(s, i)
		}
	}
}

// updateFreshness computes how recent a replica's data is known to be.
func (e *Entry) updateFreshness(s *entryService, i *entryInstance) {
	if !i.positionKnown {
		return
	}
	for n := len(s.primaryPositions) - 1; n >= 0; n-- {
		x := s.primaryPositions[n]
		if i.freshnessKnown && !x.sentAt.After(i.freshAsOf) {
			return
		}
		if s.primary.Forks.Covers(i.position, x.position) {
			i.freshAsOf, i.freshnessKnown = x.sentAt, true
			return
		}
	}
}

// resolveFloors sets the floor of the waiting reads that arrived before the
// primary was asked for its position.
func (e *Entry) resolveFloors(s *entryService, a positionQuery, at catalog.Position) {
	for _, q := range s.waiting {
		for _, r := range q {
			if r.FloorUnknown && !r.floorKnown && a.sentAfter(r) {
				r.floorKnown = true
				if r.Floor.Less(at) {
					r.Floor = at
				}
				e.emitSpan("floor-wait", r, r.arrivedAt)
			}
		}
	}
}
