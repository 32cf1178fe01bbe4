package node

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// handleAnnouncement stores an upstream's announcement if it is the newest. An
// announcement that came from the upstream itself is relayed to the other
// entries; a relayed one is not relayed again, which avoids loops.
func (e *Entry) handleAnnouncement(a catalog.Announcement, direct bool) {
	if err := a.Check(); err != nil {
		for _, x := range e.refusals.refuse(e.now, a, err) {
			e.emit(x)
		}
		return
	}
	s := e.service(a.Service)
	i := s.instance(a.Instance)
	isNew := i == nil
	if isNew {
		i = s.addInstance(a.Instance)
	}
	if direct && (i.directAnnouncement.Instance == "" || a.Newer(i.directAnnouncement)) {
		if sameExceptPosition(i.directAnnouncement, a) && !s.isObserved && e.now.Before(i.announcementQueuedAt.Add(relayInterval)) {
			i.directAnnouncement = a
		} else {
			e.queueAnnouncement(i, a)
		}
	}
	if !isNew && !a.Newer(i.announcement) {
		if a.Leaving && a.Incarnation == i.announcement.Incarnation {
			e.markLeaving(i, a)
		}
		return
	}
	old := i.announcement
	i.announcement, i.announcedAt, i.site = a, e.now, a.Site
	i.inOwnSite = a.Site == e.options.Site
	if isNew || a.Incarnation != old.Incarnation {
		e.resetInstance(i)
	}
	if a.Leaving {
		e.markLeaving(i, a)
	}
	if !isNew && a.Address != old.Address {
		e.retireConns(i)
	}
	if direct {
		e.relayAnnouncement(i, isNew || a.Incarnation != old.Incarnation || a.Role != old.Role || a.Leaving != old.Leaving)
	}
}

// markLeaving marks the known incarnation of an upstream as leaving. That holds
// whatever the sequence of the announcement that said so.
func (e *Entry) markLeaving(i *entryInstance, a catalog.Announcement) {
	if i.isLeaving {
		return
	}
	e.emit(Log{Part: "entry", Text: "An upstream is leaving.", Pairs: []string{
		"instance", string(i.id), "service", string(a.Service), "life", strconv.FormatUint(a.Incarnation, 10),
		"sequence", strconv.FormatUint(a.Sequence, 10), "leader", string(e.report.leader), "connections", strconv.Itoa(len(i.conns)),
	}})
	i.isLeaving = true
	e.retireConns(i)
}

// queueAnnouncement includes an announcement in the reports to control until
// control has acknowledged it.
func (e *Entry) queueAnnouncement(i *entryInstance, a catalog.Announcement) {
	if !i.announcementPending {
		e.report.pendingAnnouncements = append(e.report.pendingAnnouncements, i)
	}
	i.directAnnouncement, i.announcementPending, i.announcementSequence, i.announcementQueuedAt = a, true, 0, e.now
}

// sameExceptPosition reports whether two announcements of an upstream differ in
// nothing but their sequence and position.
func sameExceptPosition(old, a catalog.Announcement) bool {
	a.Sequence, a.Position = old.Sequence, old.Position
	return a == old
}

// resetInstance clears the state that belongs to an earlier incarnation of the
// upstream, which may have lost data in the restart.
func (e *Entry) resetInstance(i *entryInstance) {
	i.isLeaving = false
	i.positionKnown, i.freshnessKnown, i.role = false, false, catalog.RoleUnknown
	i.received, i.behindCount = catalog.Position{}, 0
	i.bestLatency, i.limitCutAt = 0, 0
	i.evidence = wire.EvidenceNone
	i.adaptiveLimit = float64(i.slots())
	i.nextProbe, i.openAfter, i.backoff = e.now, e.now, 0
}

// retireConns closes the idle connections to an upstream, and each of the
// others when it becomes free.
func (e *Entry) retireConns(i *entryInstance) {
	for _, c := range i.conns {
		c.closeWhenFree = true
		if c.state == connIdle {
			e.closeConn(c)
		}
	}
}

// closeStuckConns closes connections whose requests can no longer succeed:
// those at a replaced primary, reads at an upstream that has stopped answering,
// and reads whose answers are overdue.
func (e *Entry) closeStuckConns(i *entryInstance) {
	s := i.service
	silent := i.evidence == wire.EvidenceTimeout && e.now.Sub(i.aliveAt) > e.options.Timings.SuspectTimeout
	for _, c := range i.conns {
		r := c.request
		if c.state != connBusy || r == nil {
			continue
		}
		e.closeIfOverdue(c)
		replaced := r.atPrimary && r.epoch < s.primary.Epoch && s.primary.Ready
		if replaced || (silent && r.Kind == KindRead) {
			e.closeConn(c)
		}
		if end := i.aliveAt.Add(e.options.Timings.SuspectTimeout + 1); end.After(e.now) {
			e.scheduleWake(end)
		}
	}
}

// dropExpiredInstances removes upstreams whose last announcement is too old,
// unless they are the primary or still in use. With UpstreamsFromControl it
// also keeps all upstreams that are not leaving.
func (e *Entry) dropExpiredInstances(s *entryService) {
	kept := s.instances[:0]
	for _, i := range s.instances {
		fromControl := e.options.UpstreamsFromControl && !i.isLeaving
		expired := !fromControl && e.now.Sub(i.announcedAt) > serviceIdleTimeout && i.id != s.primary.Instance &&
			len(i.conns) == 0 && i.running == 0
		if expired {
			i.announcementPending = false
			continue
		}
		kept = append(kept, i)
		if end := i.announcedAt.Add(serviceIdleTimeout + 1); end.After(e.now) {
			e.scheduleWake(end)
		}
	}
	s.instances = kept
}

func (e *Entry) relayAnnouncement(i *entryInstance, urgent bool) {
	if !urgent && i.wasRelayed && e.now.Before(i.relayedAt.Add(relayInterval)) {
		return
	}
	i.wasRelayed, i.relayedAt = true, e.now
	if urgent {
		e.report.urgent = true
	}
	for _, vm := range e.options.Peers {
		a := i.announcement
		e.emit(SendMessage{To: vm, Message: wire.Message{Announcement: &a}})
	}
}

// acceptsWork reports whether the upstream accepts new work according to its
// announcements. It returns false while the entry does not subscribe to the
// service.
func (e *Entry) acceptsWork(i *entryInstance) bool {
	if !i.service.isSubscribed || i.isLeaving {
		return false
	}
	return e.options.UpstreamsFromControl || e.now.Before(i.announcedAt.Add(e.options.Timings.AnnouncementTTL))
}

// slots returns the number of statements that the upstream runs concurrently:
// the number that it announced, or else the number in the settings.
func (i *entryInstance) slots() int {
	if i.announcement.Slots > 0 {
		return i.announcement.Slots
	}
	return max(1, i.service.settings.Limits.Slots)
}

// isObserverOf reports whether this entry is one of its site's observers of a
// service. They are selected by rendezvous hashing.
func (e *Entry) isObserverOf(id catalog.ServiceID) bool {
	n := e.options.Observers
	if n == 0 || n >= len(e.siteVMs) {
		return true
	}
	own := rendezvousWeight(e.options.VM, id)
	ahead := 0
	for _, vm := range e.siteVMs {
		w := rendezvousWeight(vm, id)
		if w > own || (w == own && vm < e.options.VM) {
			ahead++
		}
	}
	return ahead < n
}

func rendezvousWeight(vm catalog.VMID, id catalog.ServiceID) uint64 {
	var buffer [128]byte
	key := append(buffer[:0], vm...)
	key = append(key, 0)
	return xxhash.Sum64(append(key, id...))
}
