package node

import (
	"strconv"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// leaseValid reports whether the entry holds a lease of the epoch, so that work
// of that epoch may be acknowledged now.
func leaseValid(s *entryService, epoch catalog.Epoch, now catalog.Instant) bool {
	return epoch != 0 && epoch == s.leaseEpoch && epoch > s.fencedEpoch && now.Before(s.leaseUntil)
}

// canStartAtPrimary reports whether new work may start at the primary.
func (e *Entry) canStartAtPrimary(s *entryService) bool {
	epoch := s.primary.Epoch
	return s.primary.Ready && epoch > s.drainingEpoch && e.leaseValid(s, epoch, e.now)
}

// applyLease records a primary and, if the length is greater than zero, a lease.
// The length counts from sent, which is when the report that control answers
// was sent, and is reduced by the maximum drift of clocks, so that the lease
// ends here before control considers it expired. A lease of an epoch that is
// fenced or being drained is ignored.
func (e *Entry) applyLease(l wire.Lease, sent catalog.Instant) {
	p := l.Primary
	s := e.service(p.Service)
	if p.Epoch < s.primary.Epoch {
		return
	}
	if p.Epoch > s.primary.Epoch {
		e.changePrimary(s, p)
	} else {
		p.Ready = p.Ready || s.primary.Ready
		e.resetPromotedPrimary(s, p.Ready && !s.primary.Ready)
		s.primary = p
	}
	if l.Length <= 0 || !p.Ready {
		return
	}
	if s.isEpochSpent() {
		e.increment("leases-ignored")
		return
	}
	until := sent.Add(l.Length - e.options.Timings.MaxDrift)
	if s.leaseEpoch != p.Epoch {
		s.leaseEpoch, s.leaseUntil = p.Epoch, until
		return
	}
	if until.After(s.leaseUntil) {
		s.leaseUntil = until
	}
}

// isEpochSpent reports whether the entry accepts no leases of its primary's epoch
// any more, because it has given up that epoch or is about to.
func (s *entryService) isEpochSpent() bool {
	epoch := s.primary.Epoch
	return epoch != 0 && epoch <= max(s.fencedEpoch, s.drainingEpoch)
}

// renewLeases extends the leases of all subscribed services. It may be called
// only if the primaries that control has on record match those known here.
func (e *Entry) renewLeases(length time.Duration, sent catalog.Instant) {
	for _, s := range e.report.services {
		if s.isSubscribed && s.primary.Ready {
			e.markDirty(s)
			e.applyLease(wire.Lease{Primary: s.primary, Length: length}, sent)
		}
	}
}

// changePrimary applies the election of a primary in a higher epoch.
// Transactions open at the old primary can no longer be committed, so their
// connections are closed.
func (e *Entry) changePrimary(s *entryService, p catalog.Primary) {
	old := s.primaryInstance()
	s.primary = p
	e.increment("primary-changes")
	e.emit(Log{Part: "entry", Text: "The primary changed.", Pairs: []string{
		"service", string(s.id), "primary", string(p.Instance),
		"epoch", strconv.FormatUint(uint64(p.Epoch), 10),
	}})
	e.resetPromotedPrimary(s, p.Ready)
	if old == nil {
		return
	}
	e.closeTransactions(s, p.Epoch-1)
	if old.id == p.Instance {
		return
	}
	old.positionKnown, old.role, old.freshnessKnown = false, catalog.RoleUnknown, false
	e.retireConns(old)
}

// resetPromotedPrimary discards the role and position that the primary had
// before its promotion.
func (e *Entry) resetPromotedPrimary(s *entryService, isNew bool) {
	i := s.primaryInstance()
	if !isNew || i == nil {
		return
	}
	i.role, i.positionKnown, i.freshnessKnown = catalog.RoleUnknown, false, false
	i.positionQueriedAt, i.nextProbe = e.now, e.now
}

// closeTransactions closes the connections whose transactions began at the
// primary in the given epoch or an earlier one.
func (e *Entry) closeTransactions(s *entryService, epoch catalog.Epoch) {
	for _, i := range s.instances {
		for _, c := range i.conns {
			if c.inTransaction && c.atPrimary && c.epoch <= epoch {
				e.closeConn(c)
			}
		}
	}
}

func (e *Entry) handleRevoke(from catalog.VMID, v wire.Revoke) {
	s := e.service(v.Service)
	if !v.Drain || v.Epoch <= s.fencedEpoch {
		e.fence(s, v.Epoch, from)
		e.sendFenced(s, from, v.Epoch)
		return
	}
	if v.Epoch > s.drainingEpoch {
		s.drainingEpoch = v.Epoch
	}
	for _, vm := range s.drainRequesters {
		if vm == from {
			return
		}
	}
	s.drainRequesters = append(s.drainRequesters, from)
}

// fence permanently gives up the leases of an epoch and of all earlier ones, as
// the given control VM has requested.
func (e *Entry) fence(s *entryService, epoch catalog.Epoch, requester catalog.VMID) {
	if epoch <= s.fencedEpoch {
		return
	}
	s.fencedEpoch = epoch
	e.closeTransactions(s, epoch)
	e.increment("leases-revoked")
	e.emit(Log{Part: "entry", Text: "Gave up the leases of an epoch.", Pairs: []string{
		"service", string(s.id), "epoch", strconv.FormatUint(uint64(epoch), 10), "requester", string(requester),
		"leader", string(e.report.leader),
	}})
}

func (e *Entry) sendFenced(s *entryService, to catalog.VMID, epoch catalog.Epoch) {
	e.emit(SendMessage{To: to, Message: wire.Message{FenceAck: &wire.FenceAck{
		VM: e.options.VM, Incarnation: e.options.Incarnation, Service: s.id, Epoch: epoch,
	}}})
}

// reconcileLease completes a drain whose work has ended, and records when the
// lease is lost or regained.
func (e *Entry) reconcileLease(s *entryService) {
	hasLease := e.leaseValid(s, s.primary.Epoch, e.now)
	if len(s.drainRequesters) > 0 {
		if !hasLease || !s.hasWorkUpToEpoch(s.drainingEpoch) {
			e.fence(s, s.drainingEpoch, s.drainRequesters[0])
			for _, vm := range s.drainRequesters {
				e.sendFenced(s, vm, s.drainingEpoch)
			}
			s.drainRequesters = nil
			hasLease = e.leaseValid(s, s.primary.Epoch, e.now)
		}
	}
	if hasLease {
		e.scheduleWake(s.leaseUntil)
		if s.noLeaseSince != 0 {
			e.recordLeaseGap(s)
		}
		s.lastLeaseEpoch = s.primary.Epoch
		return
	}
	if s.noLeaseSince == 0 {
		s.noLeaseSince = e.now
		if s.isSubscribed {
			e.increment("leases-lost")
		}
	}
}

// recordLeaseGap records the end of a period without a lease, and the shortest
// such period across a change of primary.
func (e *Entry) recordLeaseGap(s *entryService) {
	gap := e.now.Sub(s.noLeaseSince)
	e.emit(Span{Name: "without-lease", Service: s.id, Start: s.noLeaseSince, End: e.now})
	s.noLeaseSince = 0
	if s.lastLeaseEpoch != 0 && s.lastLeaseEpoch != s.primary.Epoch && (s.failoverGap == 0 || gap < s.failoverGap) {
		s.failoverGap = gap
	}
}

// hasWorkUpToEpoch reports whether work at the primary of the given epoch or an
// earlier one is still in progress.
func (s *entryService) hasWorkUpToEpoch(epoch catalog.Epoch) bool {
	for _, r := range s.running {
		if r.Kind != KindRead && r.atPrimary && r.epoch <= epoch {
			return true
		}
	}
	for _, r := range s.replicating {
		if r.epoch <= epoch {
			return true
		}
	}
	for _, i := range s.instances {
		for _, c := range i.conns {
			if c.inTransaction && c.atPrimary && c.state != connClosing && c.epoch <= epoch {
				return true
			}
		}
	}
	return false
}
