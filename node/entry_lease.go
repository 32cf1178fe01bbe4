package node

import (
	"strconv"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// leaseValid reports whether work of an epoch may be acknowledged now.
func leaseValid(s *entryService, epoch catalog.Epoch, now catalog.Instant) bool {
	return epoch != 0 && epoch == s.leaseEpoch && epoch > s.revoked && now.Before(s.leaseUntil)
}

// canStart reports whether new work may start at the primary.
func (e *Entry) canStart(s *entryService) bool {
	epoch := s.primary.Epoch
	return s.primary.Ready && epoch > s.draining && e.leaseHolds(s, epoch, e.now)
}

func (e *Entry) takeLease(l wire.Lease, sent catalog.Instant) {
	p := l.Primary
	s := e.service(p.Service)
	if p.Epoch < s.primary.Epoch {
		return
	}
	if p.Epoch > s.primary.Epoch {
		e.changePrimary(s, p)
	} else {
		p.Ready = p.Ready || s.primary.Ready
		e.takeReady(s, p.Ready && !s.primary.Ready)
		s.primary = p
	}
	if l.Length <= 0 || !p.Ready || p.Epoch <= s.revoked || p.Epoch <= s.draining {
		return
	}
	until := sent.Add(l.Length - e.options.Timings.Drift)
	if s.leaseEpoch != p.Epoch {
		s.leaseEpoch, s.leaseUntil = p.Epoch, until
		return
	}
	if until.After(s.leaseUntil) {
		s.leaseUntil = until
	}
}

// renewLeases renews the leases of all services subscribed to, whose primaries
// control found to be those known here.
func (e *Entry) renewLeases(length time.Duration, sent catalog.Instant) {
	for _, s := range e.report.listed {
		if s.isSubscribed && s.primary.Ready {
			e.touch(s)
			e.takeLease(wire.Lease{Primary: s.primary, Length: length}, sent)
		}
	}
}

// changePrimary takes a choice of a higher epoch. What the old primary's
// connections held can't be committed any more.
func (e *Entry) changePrimary(s *entryService, p catalog.Primary) {
	old := s.primaryInstance()
	s.primary = p
	e.count("primary-changes")
	e.emit(Log{Part: "entry", Text: "The primary changed.", Pairs: []string{
		"service", string(s.id), "primary", string(p.Instance),
		"epoch", strconv.FormatUint(uint64(p.Epoch), 10),
	}})
	e.takeReady(s, p.Ready)
	if old == nil {
		return
	}
	e.closeTransactions(s, p.Epoch-1)
	if old.id == p.Instance {
		return
	}
	old.known, old.role, old.isFresh = false, catalog.RoleUnknown, false
	e.abandon(old)
}

// takeReady forgets what the primary said before it was promoted.
func (e *Entry) takeReady(s *entryService, isNew bool) {
	i := s.primaryInstance()
	if !isNew || i == nil {
		return
	}
	i.role, i.known, i.isFresh = catalog.RoleUnknown, false, false
	i.knownAt, i.nextProbe = e.now, e.now
}

// closeTransactions closes the connections whose transactions began at the
// primary in the epoch or before.
func (e *Entry) closeTransactions(s *entryService, epoch catalog.Epoch) {
	for _, i := range s.instances {
		for _, c := range i.conns {
			if c.inTransaction && c.atPrimary && c.epoch <= epoch {
				e.closeConn(c)
			}
		}
	}
}

func (e *Entry) takeRevoke(from catalog.VMID, v wire.Revoke) {
	s := e.service(v.Service)
	if !v.Drain || v.Epoch <= s.revoked {
		e.fence(s, v.Epoch)
		e.sendFenced(s, from, v.Epoch)
		return
	}
	if v.Epoch > s.draining {
		s.draining = v.Epoch
	}
	for _, vm := range s.drainFor {
		if vm == from {
			return
		}
	}
	s.drainFor = append(s.drainFor, from)
}

// fence gives up the lease of an epoch and of all before it, for good.
func (e *Entry) fence(s *entryService, epoch catalog.Epoch) {
	if epoch <= s.revoked {
		return
	}
	s.revoked = epoch
	e.closeTransactions(s, epoch)
	e.count("leases-revoked")
}

func (e *Entry) sendFenced(s *entryService, to catalog.VMID, epoch catalog.Epoch) {
	e.emit(SendMessage{To: to, Message: wire.Message{FenceAck: &wire.FenceAck{
		VM: e.options.VM, Incarnation: e.options.Incarnation, Service: s.id, Epoch: epoch,
	}}})
}

// settleLease ends a drain whose work has ended and notes a lost lease.
func (e *Entry) settleLease(s *entryService) {
	held := e.leaseHolds(s, s.primary.Epoch, e.now)
	if len(s.drainFor) > 0 {
		if !held || !s.writing(s.draining) {
			e.fence(s, s.draining)
			for _, vm := range s.drainFor {
				e.sendFenced(s, vm, s.draining)
			}
			s.drainFor = nil
			held = e.leaseHolds(s, s.primary.Epoch, e.now)
		}
	}
	if held {
		e.wake(s.leaseUntil)
		if s.unledSince != 0 {
			e.noteGap(s)
		}
		s.ledEpoch = s.primary.Epoch
		return
	}
	if s.unledSince == 0 {
		s.unledSince = e.now
		if s.isSubscribed {
			e.count("leases-lost")
		}
	}
}

// noteGap ends a time without a lease.
func (e *Entry) noteGap(s *entryService) {
	gap := e.now.Sub(s.unledSince)
	e.emit(Span{Name: "without-lease", Service: s.id, Start: s.unledSince, End: e.now})
	s.unledSince = 0
	if s.ledEpoch != 0 && s.ledEpoch != s.primary.Epoch && (s.gap == 0 || gap < s.gap) {
		s.gap = gap
	}
}

// writing reports whether work of the epoch or before is in progress.
func (s *entryService) writing(epoch catalog.Epoch) bool {
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
