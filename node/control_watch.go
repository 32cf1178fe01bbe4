package node

import (
	"sort"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/registry"
	"github.com/kingcupknot/kingcupknot/wire"
)

// sitesToSuspect is how many sites must agree that a primary is gone, if that
// many report at all.
const sitesToSuspect = 2

// watchService starts and drives what a service needs from control.
func (c *Control) watchService(s catalog.Service) {
	if !c.leading {
		return
	}
	if f := c.failovers[s.ID]; f != nil {
		c.driveFailover(s, f)
		return
	}
	p := c.state.Primary(s.ID)
	switch {
	case p.Epoch == 0:
		c.bootstrap(s)
	case !p.Ready:
		c.resume(s, p)
	case c.primaryGone(p):
		c.startFailover(s, p, planNone, "")
	case c.primaryLeaving(p):
		c.startFailover(s, p, planLeaving, "")
	}
}

// bootstrap finds the first primary of a service: the group already has one.
func (c *Control) bootstrap(s catalog.Service) {
	for _, u := range c.instancesOf(s.ID) {
		if u.said.Role == catalog.RolePrimary && !u.said.Leaving {
			c.startFailover(s, c.state.Primary(s.ID), planFirst, "")
			return
		}
	}
	if c.graceEnds.Add(c.options.Timings.Announce).Before(c.now) && len(c.instancesOf(s.ID)) >= s.Instances {
		c.startFailover(s, c.state.Primary(s.ID), planNone, "")
	}
}

// watchSuspects drives the services that something is amiss with, and now and
// then looks at all.
func (c *Control) watchSuspects() {
	if c.watchAllAt <= c.now {
		c.watchAllAt = c.now.Add(watchAllEvery)
		for _, s := range c.state.Services {
			c.watchService(s)
		}
		c.forgetEntries()
		return
	}
	var ids []catalog.ServiceID
	for id := range c.failovers {
		ids = append(ids, id)
	}
	for id, until := range c.suspects {
		if until < c.now {
			delete(c.suspects, id)
		} else if c.failovers[id] == nil {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	for _, id := range ids {
		if s, ok := c.state.Service(id); ok {
			c.watchService(s)
		}
	}
}

// suspect has a service looked at in every sweep for a while.
func (c *Control) suspect(id catalog.ServiceID) {
	c.suspects[id] = c.now.Add(suspectedFor)
}

const (
	watchAllEvery = time.Second
	warmEvery     = 10 * time.Second
	suspectedFor  = 3 * time.Second
)

// resume goes on with a promotion that an earlier leader began. It is elected
// anew: the epoch fences the promotion, and two leaders must not use the same.
func (c *Control) resume(s catalog.Service, p catalog.Primary) {
	f := &failover{epoch: p.Epoch, target: p.Instance, from: p.Instance, startedAt: c.now, phaseAt: c.now}
	c.failovers[s.ID] = f
	c.elect(s, f)
}

func (c *Control) primaryLeaving(p catalog.Primary) bool {
	u := c.upstreams[p.Instance]
	leaves := u != nil && (u.said.Leaving || c.state.IsDrained(p.Instance))
	return (leaves || c.isQuiet(u)) && c.hasReplica(p)
}

// isQuiet reports whether an upstream announces itself no more, so that the
// entries give it no new work. That is not believed unless its site, or every
// site if it is unknown, still reports: an upstream beyond a cut may be heard
// by others. A new leader waits until it could have heard it.
func (c *Control) isQuiet(u *upstreamView) bool {
	if c.options.DistributesUpstreams {
		// Entries go on using an upstream that they reach.
		return false
	}
	heard := c.graceEnds
	if u != nil {
		heard = max(heard, u.heardAt)
	}
	if c.now.Before(heard.Add(c.options.Timings.Announce)) {
		return false
	}
	reporting := c.sitesReporting()
	if u != nil {
		return reporting[u.said.Site]
	}
	for _, site := range c.options.Entries {
		if !reporting[site] {
			return false
		}
	}
	return true
}

// sitesReporting are the sites whose entries reported lately.
func (c *Control) sitesReporting() map[catalog.SiteID]bool {
	sites := map[catalog.SiteID]bool{}
	for _, v := range c.entries {
		if c.now.Sub(v.seenAt) <= evidenceReports*c.options.Timings.ReportInterval {
			sites[v.site] = true
		}
	}
	return sites
}

func (c *Control) hasReplica(p catalog.Primary) bool {
	for _, u := range c.instancesOf(p.Service) {
		if u.said.Instance != p.Instance && c.usable(u) {
			return true
		}
	}
	return false
}

// usable reports whether an upstream may be given new work.
func (c *Control) usable(u *upstreamView) bool {
	fresh := c.now.Before(u.heardAt.Add(c.options.Timings.Announce))
	return fresh && !u.said.Leaving && !c.state.IsDrained(u.said.Instance)
}

// instancesOf lists the upstreams of a service that were heard of, in order.
func (c *Control) instancesOf(id catalog.ServiceID) []*upstreamView {
	return c.groups[id]
}

// primaryGone weighs what the entries saw of a primary. One site alone is not
// believed, and an entry that reached the primary since outweighs the others.
func (c *Control) primaryGone(p catalog.Primary) bool {
	t := c.options.Timings
	refused, silent, sites := map[catalog.SiteID]bool{}, map[catalog.SiteID]bool{}, map[catalog.SiteID]bool{}
	var lastAlive, lastRefused catalog.Instant
	for vm, o := range c.evidence[p.Instance] {
		v := c.entries[vm]
		if v == nil || c.now.Sub(v.seenAt) > evidenceReports*t.ReportInterval {
			continue
		}
		sites[v.site] = true
		lastAlive = max(lastAlive, v.lastAlive(o))
		if o.evidence == wire.EvidenceRefused && o.at >= o.aliveAt {
			refused[v.site] = true
			lastRefused = max(lastRefused, o.at)
		}
		if o.evidence == wire.EvidenceSilent || o.evidence == wire.EvidenceRefused {
			silent[v.site] = true
		}
	}
	need := min(sitesToSuspect, len(sites))
	if need == 0 {
		return false
	}
	if len(refused) >= need && lastAlive <= lastRefused {
		return true
	}
	return len(silent) >= need && lastAlive != 0 && c.now.Sub(lastAlive) >= t.Suspect
}

const evidenceReports = 4

// warm asks upstreams for their position now and then, so that control's own
// connection to each is open when a failover needs it.
func (c *Control) warm() {
	if c.warmAt > c.now {
		return
	}
	c.warmAt = c.now.Add(warmEvery)
	for _, s := range c.state.Services {
		for _, u := range c.instancesOf(s.ID) {
			if c.usable(u) {
				c.warmUp(u)
			}
		}
	}
}

func (c *Control) warmUp(u *upstreamView) {
	c.askUpstream(u, c.now.Add(c.options.Timings.Suspect))
}

// askUpstream asks an upstream for role and position, and returns the number of
// the question.
func (c *Control) askUpstream(u *upstreamView, deadline catalog.Instant) uint64 {
	c.surveys++
	c.emit(Survey{
		Survey: c.surveys, Service: u.said.Service, Instance: u.said.Instance,
		Address: u.said.Address, Deadline: deadline,
	})
	return c.surveys
}

// followPrimaries tells upstreams of an older term to follow the primary.
func (c *Control) followPrimaries() {
	if c.followAt > c.now {
		return
	}
	c.followAt = c.now.Add(joinEvery)
	for _, s := range c.state.Services {
		p := c.state.Primary(s.ID)
		if p.Ready && c.failovers[s.ID] == nil {
			c.follow(p)
		}
	}
}

func (c *Control) follow(p catalog.Primary) {
	primary := c.upstreams[p.Instance]
	if primary == nil {
		return
	}
	for _, u := range c.instancesOf(p.Service) {
		if u == primary || u.said.Leaving || c.now.Sub(u.heardAt) > c.options.Timings.Suspect {
			continue
		}
		if u.said.Role == catalog.RoleReplica && u.said.Position.Term >= p.Term {
			continue
		}
		if u.said.Role == catalog.RolePrimary {
			c.log("failover", "An old primary is back.", "instance", string(u.said.Instance))
		}
		c.emit(Follow{
			Service: p.Service, Instance: u.said.Instance, Address: u.said.Address,
			PrimaryInstance: p.Instance, PrimaryAddress: primary.said.Address,
		})
	}
}

// elected follows the agreement on a new primary.
func (c *Control) elected(e registry.ElectPrimary) {
	f := c.failovers[e.Service]
	s, ok := c.state.Service(e.Service)
	p := c.state.Primary(e.Service)
	if f == nil || !ok || p.Epoch != e.Epoch || p.Instance != e.Instance {
		return
	}
	f.epoch, f.target = e.Epoch, e.Instance
	c.promote(s, f)
}

// madeReady ends a failover: leases of the new epoch may be given.
func (c *Control) madeReady(r registry.PrimaryReady) {
	p := c.state.Primary(r.Service)
	if p.Epoch != r.Epoch || !p.Ready {
		return
	}
	if f := c.failovers[r.Service]; f != nil {
		c.emit(Span{Name: "failover", Service: r.Service, Start: f.startedAt, End: c.now})
		c.emit(Span{Name: "failover-promote", Service: r.Service, Start: f.phaseAt, End: c.now})
		c.log("failover", "A primary is ready.", "service", string(r.Service), "instance", string(p.Instance))
		if f.number != 0 {
			c.emit(AnswerCommand{Number: f.number, Reply: Reply{Code: ReplyOK, Version: c.state.Version, Text: "primary is now " + string(p.Instance)}})
		}
	}
	delete(c.failovers, r.Service)
	c.pushService(r.Service)
	c.follow(p)
}
