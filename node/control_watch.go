package node

import (
	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/registry"
)

// checkService starts a failover if the service needs one, or advances the
// failover in progress.
func (c *Control) checkService(s catalog.Service) {
	if !c.isLeader {
		return
	}
	if f := c.failovers[s.ID]; f != nil {
		c.advanceFailover(s, f)
		return
	}
	p := c.state.Primary(s.ID)
	switch {
	case p.Epoch == 0:
		c.bootstrapPrimary(s)
	case !p.Ready:
		if c.now.Before(c.graceEndsAt) {
			// The earlier leader may still be calling for the same service.
			c.markSuspect(s.ID)
			return
		}
		c.resumePromotion(s, p)
	case c.isPrimaryDown(p):
		c.startFailover(s, p, failoverUnplanned, "")
	case c.isPrimaryLeaving(p):
		c.startFailover(s, p, failoverLeaving, "")
	case c.spentEpochs[s.ID] >= p.Epoch:
		c.startFailover(s, p, failoverRenewal, "")
	}
}

// bootstrapPrimary finds the first primary of a service. Usually the group has
// one already; if none has announced itself, control elects one after all
// instances are known, or after those that are known have been without a primary
// for unresponsiveReplicaWait.
func (c *Control) bootstrapPrimary(s catalog.Service) {
	for _, u := range c.instancesOf(s.ID) {
		if u.announcement.Role == catalog.RolePrimary && !u.announcement.Leaving {
			c.startFailover(s, c.state.Primary(s.ID), failoverBootstrap, "")
			return
		}
	}
	known := len(c.instancesOf(s.ID))
	if known == 0 {
		return
	}
	if c.noPrimarySince[s.ID] == 0 {
		c.noPrimarySince[s.ID] = max(c.now, c.graceEndsAt)
	}
	isKnown := known >= s.Instances && c.graceEndsAt.Add(c.options.Timings.AnnouncementTTL).Before(c.now)
	if isKnown || c.noPrimarySince[s.ID].Add(unresponsiveReplicaWait).Before(c.now) {
		c.startFailover(s, c.state.Primary(s.ID), failoverUnplanned, "")
	}
}

// resumePromotion continues a promotion that an earlier leader began. It elects
// the instance again for a new epoch, because the epoch fences the promotion
// and two leaders must not use the same one.
func (c *Control) resumePromotion(s catalog.Service, p catalog.Primary) {
	f := &failover{epoch: p.Epoch, target: p.Instance, oldPrimary: p.Instance, startedAt: c.now, phaseStartedAt: c.now}
	c.failovers[s.ID] = f
	c.proposeElection(s, f)
}

func (c *Control) isPrimaryLeaving(p catalog.Primary) bool {
	u := c.upstreams[p.Instance]
	leaving := u != nil && (u.announcement.Leaving || c.state.IsDrained(p.Instance))
	return (leaving || c.isAnnouncementOverdue(u)) && c.hasUsableReplica(p)
}

// isAnnouncementOverdue reports whether an upstream has stopped announcing
// itself, so that the entries give it no new work. The result is false while no
// entry of the upstream's site reports, because entries beyond a network cut may
// still receive the announcements. If the upstream's site is unknown, an entry of
// each site must report. A new leader waits until an announcement must have
// reached it.
func (c *Control) isAnnouncementOverdue(u *upstreamView) bool {
	if c.options.DistributesUpstreams {
		// Entries continue to use an upstream that they can reach.
		return false
	}
	announcedAt := c.graceEndsAt
	if u != nil {
		announcedAt = max(announcedAt, u.announcedAt)
	}
	if c.now.Before(announcedAt.Add(c.options.Timings.AnnouncementTTL)) {
		return false
	}
	listening := c.listeningSites()
	if u != nil {
		return listening[u.announcement.Site]
	}
	for _, site := range c.options.Entries {
		if !listening[site] {
			return false
		}
	}
	return true
}

// listeningSites returns the sites with an entry that has reported for so long that an
// announcement must have reached it.
func (c *Control) listeningSites() map[catalog.SiteID]bool {
	since := c.now.Add(-c.options.Timings.AnnouncementTTL)
	sites := map[catalog.SiteID]bool{}
	for _, v := range c.entries {
		if c.hasRecentReport(v) && !v.reportsSince.After(since) {
			sites[v.site] = true
		}
	}
	return sites
}

func (c *Control) hasUsableReplica(p catalog.Primary) bool {
	for _, u := range c.instancesOf(p.Service) {
		if u.announcement.Instance != p.Instance && c.isUsable(u) {
			return true
		}
	}
	return false
}

// isUsable reports whether an upstream may be given new work.
func (c *Control) isUsable(u *upstreamView) bool {
	fresh := c.now.Before(u.announcedAt.Add(c.options.Timings.AnnouncementTTL))
	return fresh && !u.announcement.Leaving && !c.state.IsDrained(u.announcement.Instance)
}

// instancesOf returns the known upstreams of a service, sorted by instance id.
func (c *Control) instancesOf(id catalog.ServiceID) []*upstreamView {
	return c.upstreamsByService[id]
}

// detectLateness notes that this VM was not scheduled for a while. The reports that
// arrived meanwhile are handled later than they were sent, and those of an upstream
// that answers again may follow ones that say that it does not. The observations
// count again once each entry must have sent another report.
func (c *Control) detectLateness(now catalog.Instant) {
	interval := c.options.Timings.ReportInterval
	if c.isLeader && now.Sub(c.now) > interval/lateDivisor {
		c.lateUntil = now.Add(lateReportIntervals * interval)
		c.emit(Count{Name: "control-late", Delta: 1})
	}
}

const (
	// lateDivisor divides the report interval; the result is how long a leader,
	// which has a timer every sweepInterval, may be without an event.
	lateDivisor = 2
	// lateReportIntervals is how many report intervals after such a time the
	// reports sent within it may still be waiting.
	lateReportIntervals = 2
)

// keepConnectionsOpen queries the positions of all usable upstreams at
// intervals, so that control's own connections are open when a failover needs
// them.
func (c *Control) keepConnectionsOpen() {
	if c.nextKeepaliveAt > c.now {
		return
	}
	c.nextKeepaliveAt = c.now.Add(keepaliveInterval)
	for _, s := range c.state.Services {
		for _, u := range c.instancesOf(s.ID) {
			if c.isUsable(u) {
				c.keepConnectionOpen(u)
			}
		}
	}
}

func (c *Control) keepConnectionOpen(u *upstreamView) {
	c.surveyUpstream(u, c.now.Add(c.options.Timings.SuspectTimeout))
}

// surveyUpstream queries an upstream's role and position and returns the number
// of the request.
func (c *Control) surveyUpstream(u *upstreamView, deadline catalog.Instant) uint64 {
	c.lastSurveyNumber++
	c.emit(Survey{
		Survey: c.lastSurveyNumber, Service: u.announcement.Service, Instance: u.announcement.Instance,
		Address: u.announcement.Address, Deadline: deadline,
	})
	return c.lastSurveyNumber
}

// followPrimaries makes the other instances of each group follow the primary.
func (c *Control) followPrimaries() {
	if c.nextFollowAt > c.now {
		return
	}
	c.nextFollowAt = c.now.Add(maintenanceInterval)
	for _, s := range c.state.Services {
		p := c.state.Primary(s.ID)
		if p.Ready && c.failovers[s.ID] == nil {
			c.sendFollow(p)
		}
	}
}

func (c *Control) sendFollow(p catalog.Primary) {
	primary := c.upstreams[p.Instance]
	if primary == nil {
		return
	}
	for _, u := range c.instancesOf(p.Service) {
		if u == primary || u.announcement.Leaving || c.now.Sub(u.announcedAt) > c.options.Timings.SuspectTimeout {
			continue
		}
		if u.announcement.Role == catalog.RoleReplica && u.announcement.Position.Term >= p.Term {
			continue
		}
		if u.announcement.Role == catalog.RolePrimary {
			c.log("failover", "An old primary is back.", "instance", string(u.announcement.Instance))
		}
		c.emit(Follow{
			Service: p.Service, Instance: u.announcement.Instance, Address: u.announcement.Address,
			PrimaryInstance: p.Instance, PrimaryAddress: primary.announcement.Address,
		})
	}
}

// handleElected starts the promotion after the election was committed.
func (c *Control) handleElected(e registry.ElectPrimary) {
	f := c.failovers[e.Service]
	s, ok := c.state.Service(e.Service)
	p := c.state.Primary(e.Service)
	if f == nil || !ok || p.Epoch != e.Epoch || p.Instance != e.Instance {
		return
	}
	f.epoch, f.target = e.Epoch, e.Instance
	if c.options.DistributesUpstreams && f.kind == failoverBootstrap && f.targetPosition.Term != 0 {
		c.adoptPrimary(s, f)
		return
	}
	c.startPromotion(s, f)
}

// handleReady ends a failover. Entries may be granted leases of the new epoch
// from now on.
func (c *Control) handleReady(r registry.PrimaryReady) {
	p := c.state.Primary(r.Service)
	if p.Epoch != r.Epoch || !p.Ready {
		return
	}
	if f := c.failovers[r.Service]; f != nil {
		c.emit(Span{Name: "failover", Service: r.Service, Start: f.startedAt, End: c.now})
		c.emit(Span{Name: "failover-promote", Service: r.Service, Start: f.phaseStartedAt, End: c.now})
		c.log("failover", "A primary is ready.", "service", string(r.Service), "instance", string(p.Instance))
		if f.commandNumber != 0 {
			c.emit(AnswerCommand{Number: f.commandNumber, Reply: Reply{Code: ReplyOK, Version: c.state.Version, Text: "primary is now " + string(p.Instance)}})
		}
	}
	delete(c.failovers, r.Service)
	c.pushService(r.Service)
	c.sendFollow(p)
}
