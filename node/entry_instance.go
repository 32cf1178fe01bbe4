package node

import (
	"github.com/cespare/xxhash/v2"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// takeAnnouncement keeps the newest word of an upstream. One heard directly is
// relayed to the other entries; a relayed one is not, so there are no loops.
func (e *Entry) takeAnnouncement(a catalog.Announcement, direct bool) {
	s := e.service(a.Service)
	i := s.instance(a.Instance)
	isNew := i == nil
	if isNew {
		i = s.addInstance(a.Instance)
	}
	if direct && (i.direct.Instance == "" || a.Newer(i.direct)) {
		if same(i.direct, a) && !s.isObserved && e.now.Before(i.saidAt.Add(relayInterval)) {
			i.direct = a
		} else {
			e.tell(i, a)
		}
	}
	if !isNew && !a.Newer(i.announcement) {
		return
	}
	old := i.announcement
	i.announcement, i.heard, i.site = a, e.now, a.Site
	i.own = a.Site == e.options.Site
	if isNew || a.Incarnation != old.Incarnation {
		e.restart(i)
	}
	if a.Leaving && !i.isLeft {
		i.isLeft = true
		e.abandon(i)
	}
	if !isNew && a.Address != old.Address {
		e.abandon(i)
	}
	if direct {
		e.relay(i, isNew || a.Incarnation != old.Incarnation || a.Role != old.Role || a.Leaving != old.Leaving)
	}
}

// tell has control hear an announcement with the next reports.
func (e *Entry) tell(i *entryInstance, a catalog.Announcement) {
	if !i.pending {
		e.report.pending = append(e.report.pending, i)
	}
	i.direct, i.pending, i.includedIn, i.saidAt = a, true, 0, e.now
}

// same reports whether a later announcement differs in nothing but its position.
func same(old, a catalog.Announcement) bool {
	a.Sequence, a.Position = old.Sequence, old.Position
	return a == old
}

// restart forgets what was known of an earlier life of the upstream, which may
// have come back with less than it had.
func (e *Entry) restart(i *entryInstance) {
	i.isLeft = false
	i.known, i.isFresh, i.role = false, false, catalog.RoleUnknown
	i.received = catalog.Position{}
	i.lowest, i.cutAt = 0, 0
	i.evidence = wire.EvidenceNone
	i.limit = float64(i.slots())
	i.nextProbe, i.openAfter, i.backoff = e.now, e.now, 0
}

// abandon closes the connections that do no work now, and the others when
// they are free.
func (e *Entry) abandon(i *entryInstance) {
	for _, c := range i.conns {
		c.doomed = true
		if c.state == connIdle {
			e.closeConn(c)
		}
	}
}

// giveUp closes connections whose requests can't end well any more: those at
// a replaced primary, and reads at an upstream that went silent.
func (e *Entry) giveUp(i *entryInstance) {
	s := i.service
	silent := i.evidence == wire.EvidenceSilent && e.now.Sub(i.alive) > e.options.Timings.Suspect
	for _, c := range i.conns {
		r := c.request
		if c.state != connBusy || r == nil {
			continue
		}
		replaced := r.atPrimary && r.epoch < s.primary.Epoch && s.primary.Ready
		if replaced || (silent && r.Kind == KindRead) {
			e.closeConn(c)
		}
		if end := i.alive.Add(e.options.Timings.Suspect + 1); end.After(e.now) {
			e.wake(end)
		}
	}
}

// forget drops an upstream that has been gone for long.
func (e *Entry) forget(s *entryService) {
	kept := s.instances[:0]
	for _, i := range s.instances {
		listed := e.options.UpstreamsFromControl && !i.isLeft
		gone := !listed && e.now.Sub(i.heard) > usedBound && i.id != s.primary.Instance &&
			len(i.conns) == 0 && i.running == 0
		if gone {
			i.pending = false
			continue
		}
		kept = append(kept, i)
		if end := i.heard.Add(usedBound + 1); end.After(e.now) {
			e.wake(end)
		}
	}
	s.instances = kept
}

func (e *Entry) relay(i *entryInstance, urgent bool) {
	if !urgent && i.relayed && e.now.Before(i.relayedAt.Add(relayInterval)) {
		return
	}
	i.relayed, i.relayedAt = true, e.now
	if urgent {
		e.report.urgent = true
	}
	for _, vm := range e.options.Peers {
		a := i.announcement
		e.emit(SendMessage{To: vm, Message: wire.Message{Announcement: &a}})
	}
}

// takesWork reports whether new work may go to the upstream.
func (e *Entry) takesWork(i *entryInstance) bool {
	if !i.service.isSubscribed || i.isLeft {
		return false
	}
	return e.options.UpstreamsFromControl || e.now.Before(i.heard.Add(e.options.Timings.Announce))
}

// slots is how many statements the upstream runs side by side, by its own word
// if it gives one.
func (i *entryInstance) slots() int {
	if i.announcement.Slots > 0 {
		return i.announcement.Slots
	}
	return max(1, i.service.settings.Limits.Slots)
}

// observes reports whether this entry is one of the observers of a service
// within its site, chosen by rendezvous hashing.
func (e *Entry) observes(id catalog.ServiceID) bool {
	n := e.options.Observers
	if n == 0 || n >= len(e.siteVMs) {
		return true
	}
	own := rendezvous(e.options.VM, id)
	ahead := 0
	for _, vm := range e.siteVMs {
		w := rendezvous(vm, id)
		if w > own || (w == own && vm < e.options.VM) {
			ahead++
		}
	}
	return ahead < n
}

func rendezvous(vm catalog.VMID, id catalog.ServiceID) uint64 {
	return xxhash.Sum64String(string(vm) + "\x00" + string(id))
}
