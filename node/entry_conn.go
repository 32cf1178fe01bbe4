package node

import (
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// allowance is how many connections to the upstream may be held now: the
// newest grant, and for an upstream of the own site the standing share.
func allowance(i *entryInstance, now catalog.Instant) int {
	n := i.standingShare()
	if last := len(i.grants) - 1; last >= 0 && now.Before(i.grants[last].until) {
		n += i.grants[last].connections
	}
	return n
}

func (i *entryInstance) standingShare() int {
	if i.own && i.service.accepted {
		return i.service.settings.Limits.LocalShare
	}
	return 0
}

// tolerated is how many connections control still counts: the largest grant
// that has not run out, and the standing share.
func (i *entryInstance) tolerated() int {
	n := i.standingShare()
	if len(i.grants) > 0 {
		n += i.grants[0].connections
	}
	return n
}

func (e *Entry) takeGrant(g wire.Grant, sent catalog.Instant) {
	s := e.service(g.Service)
	i := s.instance(g.Instance)
	if i == nil {
		i = s.addInstance(g.Instance)
		i.heard = e.now.Add(-e.options.Timings.AnnouncementTTL)
		e.restart(i)
	}
	until := sent.Add(g.Length - e.options.Timings.Drift)
	kept := len(i.grants)
	for kept > 0 && (i.grants[kept-1].connections <= g.Connections || !i.grants[kept-1].until.Before(until)) {
		kept--
	}
	i.grants = append(i.grants[:kept:kept], instanceGrant{connections: g.Connections, until: until})
}

// trim closes what is held beyond the allowance: idle connections at once,
// others when they are free, at the latest when the grant that allowed them
// runs out.
func (e *Entry) trim(i *entryInstance) {
	for len(i.grants) > 0 && !e.now.Before(i.grants[0].until) {
		i.grants = i.grants[1:]
	}
	if len(i.grants) > 0 {
		e.wake(i.grants[0].until)
	}
	over := i.open() - e.allowed(i, e.now)
	if over <= 0 {
		return
	}
	e.closeSome(i, over, connIdle)
	over = i.open() - max(i.tolerated(), e.allowed(i, e.now))
	for _, state := range []connState{connOpening, connProbing, connBusy, connHeld} {
		over -= e.closeSome(i, over, state)
	}
}

// closeSome closes up to n connections in a state, the newest first.
func (e *Entry) closeSome(i *entryInstance, n int, state connState) int {
	closed := 0
	for k := len(i.conns) - 1; k >= 0 && closed < n; k-- {
		if i.conns[k].state == state {
			e.closeConn(i.conns[k])
			closed++
		}
	}
	return closed
}

// open counts the connections that were not told to close.
func (i *entryInstance) open() int {
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

// free gives a connection back once its request or probe has ended.
func (e *Entry) free(c *entryConn) {
	c.request = nil
	if c.state == connClosing {
		return
	}
	if c.doomed || c.instance.open() > e.allowed(c.instance, e.now) {
		e.closeConn(c)
		return
	}
	c.state, c.idleSince = connIdle, e.now
}

// pick returns an idle connection for a request, or nil. The last connection
// that does no work is kept for probes when there are two or more.
func (e *Entry) pick(i *entryInstance) *entryConn {
	var idle *entryConn
	spare, established := 0, 0
	for _, c := range i.conns {
		if c.state != connOpening && c.state != connClosing {
			established++
		}
		if c.state == connIdle || c.state == connProbing {
			spare++
		}
		if c.state == connIdle && !c.doomed && idle == nil {
			idle = c
		}
	}
	kept := !e.options.UpstreamsFromControl && spare < 2 && established >= 2
	if idle == nil || kept {
		i.short++
		return nil
	}
	return idle
}

func (e *Entry) takeOpened(v ConnOpened) {
	c := e.conns[v.Conn]
	if c == nil {
		return
	}
	i := c.instance
	e.touch(i.service)
	i.backoff, i.openAfter = 0, e.now
	e.seeAlive(i)
	if c.state == connOpening {
		e.free(c)
	}
}

func (e *Entry) takeSettled(v ConnReusable) {
	if c := e.conns[v.Conn]; c != nil && c.state == connLate {
		e.touch(c.instance.service)
		e.seeAlive(c.instance)
		e.free(c)
	}
}

func (e *Entry) takeLost(v ConnLost) {
	c := e.conns[v.Conn]
	if c == nil {
		return
	}
	i := c.instance
	e.touch(i.service)
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
		e.backOff(i)
	}
	if v.Evidence == wire.EvidenceRefused || v.Evidence == wire.EvidenceSilent {
		e.seeEvidence(i, v.Evidence)
	}
}

// backOff puts off the next opening, each time twice as long, with jitter.
func (e *Entry) backOff(i *entryInstance) {
	i.backoff = max(backoffFirst, min(2*i.backoff, backoffMost))
	jitter := time.Duration(e.draw() % uint64(i.backoff))
	i.openAfter = e.now.Add(i.backoff/2 + jitter)
}

// settleConns opens what the work of this step lacked and closes what has
// been idle for long.
func (e *Entry) settleConns(i *entryInstance) {
	e.noteDemand(i)
	if e.stopped || (e.leaving && i.short == 0) {
		return
	}
	e.closeIdle(i)
	if !i.service.isSubscribed {
		e.closeSome(i, len(i.conns), connIdle)
	}
	if !e.takesWork(i) || i.announcement.Address == "" {
		return
	}
	missing := e.target(i) - i.open()
	room := e.allowed(i, e.now) - len(i.conns)
	if missing > room && e.wantedNow(i) > i.wantedTold {
		e.report.urgent = true
	}
	missing = min(missing, room)
	if missing <= 0 {
		return
	}
	if e.now.Before(i.openAfter) && !i.confirm {
		e.wake(i.openAfter)
		return
	}
	if i.backoff > 0 || i.confirm || e.options.UpstreamsFromControl {
		// Opening takes one of the upstream's slots for a while, so that many
		// at once would stop its work.
		missing = min(missing, 1-i.opening())
	}
	i.confirm = false
	for ; missing > 0; missing-- {
		e.openConn(i)
	}
}

func (i *entryInstance) opening() int {
	n := 0
	for _, c := range i.conns {
		if c.state == connOpening {
			n++
		}
	}
	return n
}

// target is how many connections the instance should have now.
func (e *Entry) target(i *entryInstance) int {
	inUse := i.running
	for _, c := range i.conns {
		if c.state == connHeld {
			inUse++
		}
	}
	if e.options.UpstreamsFromControl {
		// Connections are scarce, so that one is kept for probes only while an
		// upstream does not answer.
		spare := 0
		if e.worthProbing(i) {
			spare = 1
		}
		return min(max(inUse+i.short+spare, e.leastConns(i)), i.service.settings.Limits.Connections)
	}
	least := 1
	if e.inUse(i.service) {
		least = 2
	}
	return min(max(inUse+i.short+1, least), i.service.settings.Limits.Connections)
}

func (e *Entry) inUse(s *entryService) bool {
	return s.wasUsed && e.now.Before(s.used.Add(usedBound))
}

func (e *Entry) openConn(i *entryInstance) {
	e.nextConn++
	c := &entryConn{id: e.nextConn, instance: i, state: connOpening}
	e.conns[c.id] = c
	i.conns = append(i.conns, c)
	e.emit(OpenConn{
		Conn: c.id, Service: i.service.id, Instance: i.id,
		Address: i.announcement.Address, Deadline: e.now.Add(e.options.Timings.Suspect),
	})
}

// closeIdle closes connections that were idle for long, but for the first
// ones that are kept warm.
func (e *Entry) closeIdle(i *entryInstance) {
	keep := 1
	switch {
	case e.options.UpstreamsFromControl && !e.isOwner(i.service):
		keep = 0
	case e.inUse(i.service):
		keep = 2
	}
	for k := len(i.conns) - 1; k >= 0 && i.open() > keep; k-- {
		c := i.conns[k]
		if c.state != connIdle {
			continue
		}
		if c.idleSince.Add(idleBound).After(e.now) {
			e.wake(c.idleSince.Add(idleBound))
			continue
		}
		e.closeConn(c)
	}
}

// noteDemand keeps the most connections that the work of the last second
// would have used.
func (e *Entry) noteDemand(i *entryInstance) {
	if !e.now.Before(i.demandUntil) {
		i.demand[1] = i.demand[0]
		if !e.now.Before(i.demandUntil.Add(demandWindow)) {
			i.demand[1] = 0
		}
		i.demand[0] = 0
		i.demandUntil = e.now.Add(demandWindow)
	}
	inUse := i.running + i.short
	for _, c := range i.conns {
		if c.state == connHeld {
			inUse++
		}
	}
	i.demand[0] = max(i.demand[0], inUse)
}

// leastConns is how many connections are kept while no request uses them.
func (e *Entry) leastConns(i *entryInstance) int {
	if e.options.UpstreamsFromControl && !e.isOwner(i.service) {
		return 0
	}
	if i.id == i.service.primary.Instance || i == e.nearest(i.service) {
		return 1
	}
	return 0
}

// demanded is the most connections that requests have used of late.
func (i *entryInstance) demanded() int {
	return max(i.demand[0], i.demand[1])
}

// wantedNow is what requests want; those kept idle do not count where
// connections are scarce.
func (e *Entry) wantedNow(i *entryInstance) int {
	if e.options.UpstreamsFromControl {
		return i.demanded()
	}
	return e.wanted(i)
}

// wanted is what the work of the last second would use, and one for probes.
func (e *Entry) wanted(i *entryInstance) int {
	if !e.takesWork(i) {
		return 0
	}
	if e.options.EqualShares {
		return i.equalShare(len(e.options.Peers))
	}
	if e.options.UpstreamsFromControl {
		return min(max(i.demanded(), e.leastConns(i)), i.service.settings.Limits.Connections)
	}
	n := max(i.demand[0], i.demand[1]) + 1
	if e.inUse(i.service) {
		n = max(n, 2)
	}
	return min(n, i.service.settings.Limits.Connections)
}
