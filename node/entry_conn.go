package node

import (
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// connLimit returns the number of connections to the upstream that may be open
// now: the newest grant and, for an upstream of the own site, the local share.
func connLimit(i *entryInstance, now catalog.Instant) int {
	n := i.localShare()
	if last := len(i.grants) - 1; last >= 0 && now.Before(i.grants[last].until) {
		n += i.grants[last].connections
	}
	return n
}

func (i *entryInstance) localShare() int {
	if i.inOwnSite && i.service.accepted {
		return i.service.settings.Limits.LocalShare
	}
	return 0
}

// hardConnLimit returns the number of connections that control still counts for
// this entry: the largest grant that has not expired, and the local share.
func (i *entryInstance) hardConnLimit() int {
	n := i.localShare()
	if len(i.grants) > 0 {
		n += i.grants[0].connections
	}
	return n
}

// applyGrant records a grant. Its length counts from sent, which is when the
// report that control answers was sent, and is reduced by the maximum drift of
// clocks, so that the grant expires here before control reassigns it.
func (e *Entry) applyGrant(g wire.Grant, sent catalog.Instant) {
	s := e.service(g.Service)
	i := s.instance(g.Instance)
	if i == nil {
		i = s.addInstance(g.Instance)
		i.announcedAt = e.now.Add(-e.options.Timings.AnnouncementTTL)
		e.resetInstance(i)
	}
	until := sent.Add(g.Length - e.options.Timings.MaxDrift)
	kept := len(i.grants)
	for kept > 0 && (i.grants[kept-1].connections <= g.Connections || !i.grants[kept-1].until.Before(until)) {
		kept--
	}
	i.grants = append(i.grants[:kept:kept], instanceGrant{connections: g.Connections, until: until})
}

// trimConns closes the connections above the limit: idle ones at once, others
// when they become free. A connection that is still in use is closed when the
// grant that allowed it expires.
func (e *Entry) trimConns(i *entryInstance) {
	for len(i.grants) > 0 && !e.now.Before(i.grants[0].until) {
		i.grants = i.grants[1:]
	}
	if len(i.grants) > 0 {
		e.scheduleWake(i.grants[0].until)
	}
	over := i.openCount() - e.connLimit(i, e.now)
	if over <= 0 {
		return
	}
	if i.servesOrganisations() {
		e.closeLeastUsed(i, i.idleCandidates(i.service.firstWaiting(), e.now), over)
	}
	e.closeConns(i, i.openCount()-e.connLimit(i, e.now), connIdle)
	over = i.openCount() - max(i.hardConnLimit(), e.connLimit(i, e.now))
	for _, state := range []connState{connOpening, connProbing, connBusy, connHeld} {
		over -= e.closeConns(i, over, state)
	}
}

// closeConns closes up to n connections that are in the given state, the newest
// first, and returns how many it closed.
func (e *Entry) closeConns(i *entryInstance, n int, state connState) int {
	closed := 0
	for k := len(i.conns) - 1; k >= 0 && closed < n; k-- {
		if i.conns[k].state == state {
			e.closeConn(i.conns[k])
			closed++
		}
	}
	return closed
}

// openCount returns the number of connections that are not being closed.
func (i *entryInstance) openCount() int {
	n := 0
	for _, c := range i.conns {
		if c.state != connClosing {
			n++
		}
	}
	return n
}

func (e *Entry) closeConn(c *entryConn) {
	if c.state == connClosing {
		return
	}
	c.state = connClosing
	e.emit(CloseConn{Conn: c.id})
}

// releaseConn makes a connection idle after its request or probe has ended, or
// closes it if it is no longer allowed.
func (e *Entry) releaseConn(c *entryConn) {
	c.request = nil
	if c.state == connClosing {
		return
	}
	if c.closeWhenFree || c.instance.openCount() > e.connLimit(c.instance, e.now) {
		e.closeConn(c)
		return
	}
	c.state, c.idleSince = connIdle, e.now
}

// pickConn returns an idle connection of the request's organisation. If there is
// none, it records that the request lacks one and returns nil. If two or more
// connections are established, one that runs no request is reserved for probes,
// except with UpstreamsFromControl.
func (e *Entry) pickConn(i *entryInstance, r *entryRequest) *entryConn {
	var idle *entryConn
	unused, established := 0, 0
	for _, c := range i.conns {
		if c.state != connOpening && c.state != connClosing {
			established++
		}
		if c.state == connIdle || c.state == connProbing {
			unused++
		}
		if idle == nil && c.isIdleFor(r.Organisation) {
			idle = c
		}
	}
	reserved := !e.options.UpstreamsFromControl && unused < 2 && established >= 2
	if idle == nil || reserved {
		e.recordLack(i, r)
		return nil
	}
	return idle
}

func (e *Entry) handleConnOpened(v ConnOpened) {
	c := e.conns[v.Conn]
	if c == nil {
		return
	}
	i := c.instance
	e.markDirty(i.service)
	i.backoff, i.openAfter = 0, e.now
	e.recordAlive(i)
	if c.state == connOpening {
		i.place.recordOpening(e.now.Sub(c.openedAt))
		e.releaseConn(c)
	}
}

func (e *Entry) handleConnReusable(v ConnReusable) {
	if c := e.conns[v.Conn]; c != nil && c.state == connAwaitingLateAnswer {
		e.markDirty(c.instance.service)
		e.recordAlive(c.instance)
		e.releaseConn(c)
	}
}

func (e *Entry) handleConnLost(v ConnLost) {
	c := e.conns[v.Conn]
	if c == nil {
		return
	}
	i := c.instance
	e.markDirty(i.service)
	delete(e.conns, v.Conn)
	for n, x := range i.conns {
		if x == c {
			i.conns = append(i.conns[:n:n], i.conns[n+1:]...)
			break
		}
	}
	if i.probeConn == c.id {
		i.probeConn = 0
	}
	if c.state == connOpening {
		if c.organisation != "" && v.Evidence == wire.EvidenceNone {
			e.recordOpeningRefused(i)
		}
		e.applyBackoff(i)
	}
	if v.Evidence == wire.EvidenceRefused || v.Evidence == wire.EvidenceTimeout {
		e.recordFailure(i, v.Evidence)
	}
}

// applyBackoff delays the next attempt to connect, by exponential backoff with
// jitter.
func (e *Entry) applyBackoff(i *entryInstance) {
	i.backoff = max(initialBackoff, min(2*i.backoff, maxBackoff))
	jitter := time.Duration(e.nextRandom() % uint64(i.backoff))
	i.openAfter = e.now.Add(i.backoff/2 + jitter)
}

// reconcileConns opens the connections that requests of this step lacked and
// closes those that have been idle for too long.
func (e *Entry) reconcileConns(i *entryInstance) {
	e.recordDemand(i)
	if e.stopped || (e.draining && i.connShortfall == 0) {
		return
	}
	e.closeIdleConns(i)
	if !i.service.isSubscribed {
		e.closeConns(i, len(i.conns), connIdle)
	}
	if !e.acceptsWork(i) || i.announcement.Address == "" {
		return
	}
	if i.servesOrganisations() {
		e.openForOrganisations(i)
		return
	}
	missing := e.targetConns(i) - i.openCount()
	room := e.connLimit(i, e.now) - len(i.conns)
	if missing > room && e.neededConns(i) > i.neededAtReport {
		e.report.urgent = true
	}
	missing = min(missing, room)
	if missing <= 0 {
		return
	}
	if e.now.Before(i.openAfter) && !i.confirmRefusal {
		e.scheduleWake(i.openAfter)
		return
	}
	if i.backoff > 0 || i.confirmRefusal || e.options.UpstreamsFromControl {
		// Opening a connection occupies one of the upstream's slots for some
		// time, so opening many at once would block the upstream's other work.
		missing = min(missing, 1-i.openingCount())
	}
	i.confirmRefusal = false
	for ; missing > 0; missing-- {
		e.openConn(i, "")
	}
}

func (i *entryInstance) openingCount() int {
	n := 0
	for _, c := range i.conns {
		if c.state == connOpening {
			n++
		}
	}
	return n
}

// targetConns returns the number of connections to the upstream that should be
// open now.
func (e *Entry) targetConns(i *entryInstance) int {
	inUse := i.running
	for _, c := range i.conns {
		if c.state == connHeld {
			inUse++
		}
	}
	if e.options.UpstreamsFromControl {
		// Connections are scarce, so one is reserved for probes only while an
		// upstream does not answer.
		probeConns := 0
		if e.needsProbe(i) {
			probeConns = 1
		}
		return min(max(inUse+i.connShortfall+probeConns, e.minConns(i)), i.service.settings.Limits.Connections)
	}
	least := 1
	if e.isInUse(i.service) {
		least = 2
	}
	return min(max(inUse+i.connShortfall+1, least), i.service.settings.Limits.Connections)
}

func (e *Entry) isInUse(s *entryService) bool {
	return s.wasUsed && e.now.Before(s.usedAt.Add(serviceIdleTimeout))
}

// openConn opens a connection for an organisation, or one for probes and requests
// without organisation.
func (e *Entry) openConn(i *entryInstance, organisation catalog.OrganisationID) {
	e.nextConn++
	c := &entryConn{id: e.nextConn, instance: i, state: connOpening, organisation: organisation, openedAt: e.now}
	e.conns[c.id] = c
	i.conns = append(i.conns, c)
	e.emit(OpenConn{
		Conn: c.id, Service: i.service.id, Instance: i.id,
		Address: i.announcement.Address, Organisation: organisation, Deadline: e.now.Add(e.options.Timings.SuspectTimeout),
	})
}

// closeIdleConns closes connections that have been idle for connIdleTimeout. It
// keeps one open, or two while the service is in use. With
// UpstreamsFromControl, an entry that does not own the service keeps none. Of
// connections of organisations it keeps one, for probes, and those that are worth
// keeping.
func (e *Entry) closeIdleConns(i *entryInstance) {
	keep := 1
	switch {
	case e.options.UpstreamsFromControl && !e.isOwner(i.service):
		keep = 0
	case e.isInUse(i.service) && !i.servesOrganisations():
		keep = 2
	}
	for k := len(i.conns) - 1; k >= 0 && i.openCount() > keep; k-- {
		c := i.conns[k]
		if c.state != connIdle {
			continue
		}
		if c.idleSince.Add(connIdleTimeout).After(e.now) {
			e.scheduleWake(c.idleSince.Add(connIdleTimeout))
			continue
		}
		if e.isWorthKeeping(c) {
			e.scheduleWake(e.now.Add(connIdleTimeout))
			continue
		}
		e.closeConn(c)
	}
}

// recordDemand records the highest number of connections that requests needed
// at the same time, for the current and the previous demand window.
func (e *Entry) recordDemand(i *entryInstance) {
	if !e.now.Before(i.demandWindowEnd) {
		i.demand[1] = i.demand[0]
		if !e.now.Before(i.demandWindowEnd.Add(demandWindow)) {
			i.demand[1] = 0
		}
		i.demand[0] = 0
		i.demandWindowEnd = e.now.Add(demandWindow)
	}
	inUse := i.running + i.connShortfall + i.place.unplaced
	for _, c := range i.conns {
		if c.state == connHeld {
			inUse++
		}
	}
	i.demand[0] = max(i.demand[0], inUse)
}

// minConns returns the number of connections to keep open while no request uses
// them.
func (e *Entry) minConns(i *entryInstance) int {
	if e.options.UpstreamsFromControl && !e.isOwner(i.service) {
		return 0
	}
	if i.id == i.service.primary.Instance || i == e.preferredReplica(i.service) {
		return 1
	}
	return 0
}

// recentDemand returns the highest number of connections that requests needed
// in the last two demand windows.
func (i *entryInstance) recentDemand() int {
	return max(i.demand[0], i.demand[1])
}

// neededConns returns the number of connections that requests need now. It
// includes the connections that are kept idle, except with UpstreamsFromControl,
// where connections are scarce.
func (e *Entry) neededConns(i *entryInstance) int {
	if e.options.UpstreamsFromControl {
		return i.recentDemand()
	}
	return e.desiredConns(i)
}

// desiredConns returns the number of connections to request from control. It
// includes one for probes, except with UpstreamsFromControl.
func (e *Entry) desiredConns(i *entryInstance) int {
	if !e.acceptsWork(i) {
		return 0
	}
	if e.options.EqualShares {
		return i.equalShare(len(e.options.Peers))
	}
	if e.options.UpstreamsFromControl {
		return min(max(i.recentDemand(), e.minConns(i), e.usefulConns(i)), i.service.settings.Limits.Connections)
	}
	n := max(i.demand[0], i.demand[1]) + 1
	if e.isInUse(i.service) {
		n = max(n, 2)
	}
	return min(n, i.service.settings.Limits.Connections)
}
