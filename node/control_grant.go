package node

import (
	"maps"
	"slices"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// activeGrant is a grant that an entry may still hold.
type activeGrant struct {
	connections int
	expiresAt   catalog.Instant
}

// allocation holds one entry's grants of connections to one upstream, and its
// demand for them.
type allocation struct {
	site catalog.SiteID
	// grants holds the grants that have not expired, the newest first.
	grants []activeGrant
	// demand is the entry's last reported demand, zero if it reported none for
	// this upstream.
	demand wire.Demand
	// decidedRevision is the revision of the upstream's allocations, and
	// decidedVersion the version of the configuration, for which the newest grant
	// was decided.
	decidedRevision uint64
	decidedVersion  catalog.Version
}

// outstanding returns the number of connections that the entry may hold beyond
// its local share.
func (l *allocation) outstanding(now catalog.Instant) int {
	connections := 0
	for _, g := range l.grants {
		if now.Before(g.expiresAt) {
			connections = max(connections, g.connections)
		}
	}
	return connections
}

// addGrant adds a grant and removes the grants that it covers or that have
// expired.
func (l *allocation) addGrant(g activeGrant, now catalog.Instant) {
	kept := []activeGrant{g}
	for _, old := range l.grants {
		if now.Before(old.expiresAt) && (old.connections > g.connections || old.expiresAt.After(g.expiresAt)) {
			kept = append(kept, old)
		}
	}
	l.grants = kept
}

// supersedeGrants removes all grants so that one new grant replaces them. That
// is safe only where an entry that receives a grant closes the connections that
// the grant does not cover. If the newest grant is for the same number of
// connections and lasts long enough, supersedeGrants keeps all grants and
// returns false, since the entry need not be sent another one.
func (l *allocation) supersedeGrants(connections int, until, now catalog.Instant) bool {
	if len(l.grants) > 0 && l.grants[0].connections == connections && l.lastsLongEnough(until, now) {
		return false
	}
	l.grants = nil
	return true
}

// lastsLongEnough reports whether the newest grant need not be replaced yet by one
// that expires at until.
func (l *allocation) lastsLongEnough(until, now catalog.Instant) bool {
	return l.grants[0].expiresAt.Sub(now) > until.Sub(now)/2
}

// allocation returns an entry's allocation at an upstream and creates it if
// needed.
func (c *Control) allocation(id catalog.InstanceID, vm catalog.VMID, site catalog.SiteID) *allocation {
	byEntry := c.allocations[id]
	if byEntry == nil {
		byEntry = map[catalog.VMID]*allocation{}
		c.allocations[id] = byEntry
	}
	l := byEntry[vm]
	if l == nil {
		l = &allocation{site: site}
		byEntry[vm] = l
	}
	return l
}

// updateDemands replaces the entry's demands by those of its newest report.
func (c *Control) updateDemands(vm catalog.VMID, v *entryView, list []wire.Demand) {
	listed := make(map[catalog.InstanceID]bool, len(list))
	for _, d := range list {
		listed[d.Instance] = true
		c.setDemand(c.allocation(d.Instance, vm, v.site), d)
	}
	for _, d := range v.demands {
		if l := c.allocations[d.Instance][vm]; l != nil && !listed[d.Instance] {
			c.setDemand(l, wire.Demand{Instance: d.Instance})
		}
	}
	v.demands = list
}

func (c *Control) setDemand(l *allocation, d wire.Demand) {
	if l.demand == d {
		return
	}
	l.demand = d
	c.allocationRevisions[d.Instance]++
}

// isDecided reports whether a grant is still what the leader would decide now. All
// entries report several times a second, and most of their demands don't change.
func (c *Control) isDecided(id catalog.InstanceID, l *allocation, until catalog.Instant) bool {
	return l.decidedVersion == c.state.Version && l.decidedRevision == c.allocationRevisions[id] &&
		len(l.grants) > 0 && l.lastsLongEnough(until, c.now)
}

// grantConnections decides how many connections the entry gets to each upstream
// that it reported a demand for.
func (c *Control) grantConnections(vm catalog.VMID, v *entryView, length time.Duration) []wire.Grant {
	var grants []wire.Grant
	for _, d := range v.demands {
		id := d.Instance
		l, until := c.allocation(id, vm, v.site), v.reportedAt.Add(length)
		if c.options.DistributesUpstreams && v.demandsUnchanged && c.isDecided(id, l, until) {
			continue
		}
		u := c.upstreams[id]
		s, ok := c.state.Service(d.Service)
		if u == nil || !ok || u.announcement.Service != d.Service {
			continue
		}
		n := c.connectionShare(vm, v, s, u, d)
		isChanged := len(l.grants) == 0 || l.grants[0].connections != n
		l.decidedVersion, l.decidedRevision = c.state.Version, c.allocationRevisions[id]
		if c.options.DistributesUpstreams {
			// An unchanged grant is omitted, unless the entry sent its demands
			// again. It may then have missed the answer with the grant.
			if !l.supersedeGrants(n, until, c.now) && v.demandsUnchanged {
				continue
			}
		}
		if isChanged {
			c.allocationRevisions[id]++
			l.decidedRevision = c.allocationRevisions[id]
		}
		l.addGrant(activeGrant{connections: n, expiresAt: until}, c.now)
		grants = append(grants, wire.Grant{Service: d.Service, Instance: id, Connections: n, Length: length})
	}
	return grants
}

// connectionShare returns how many of an upstream's connections the entry gets.
// Unless upstreams limit their connections themselves, the sum over all entries
// never exceeds the number that can be granted.
func (c *Control) connectionShare(vm catalog.VMID, v *entryView, s catalog.Service, u *upstreamView, d wire.Demand) int {
	local := 0
	if v.site == u.announcement.Site {
		local = s.Limits.LocalShare
	}
	id := u.announcement.Instance
	if c.now.Before(c.graceEndsAt) && !c.options.DistributesUpstreams {
		// This leader does not know the grants of the previous leader. The
		// connections that the entry holds are within its grant, so renewing
		// only these is safe. An upstream that limits its connections itself
		// does not need this.
		return max(d.Held-local, 0)
	}
	wanted := max(d.Desired-local, 0)
	grantable := c.grantableConnections(s, u)
	others, demands, starved := c.otherGrants(vm, id, u.announcement.Site, s)
	if c.options.DistributesUpstreams {
		return c.shareByDemand(vm, s, u, d, grantable-others, starved, append(demands, wanted))
	}
	limit := grantable
	if starved {
		limit = fairShare(grantable, append(demands, wanted))
	}
	return max(min(wanted, limit, grantable-others), 0)
}

// shareByDemand returns how many connections the entry gets. The upstream may
// accept fewer connections than there are entries, so they go to entries whose
// requests need them. An idle connection is reclaimed as soon as another entry
// lacks one.
func (c *Control) shareByDemand(vm catalog.VMID, s catalog.Service, u *upstreamView, d wire.Demand, free int, starved bool, demands []int) int {
	id := u.announcement.Instance
	if c.hasKept(id) {
		return c.shareByUse(vm, s, u, d)
	}
	if d.Idle {
		if starved {
			return 0
		}
		return max(min(d.Desired, free), 0)
	}
	limit := d.Desired
	if starved {
		limit = min(limit, fairShare(c.grantableConnections(s, u), demands))
	}
	for free < limit && c.reclaimIdle(vm, s.ID, id) {
		free++
	}
	if free <= 0 && len(demands) <= c.grantableConnections(s, u) {
		// No connection is free now, but entries that hold more than their
		// share give up the excess with their next report.
		return min(limit, 1)
	}
	return max(min(limit, free), 0)
}

// reclaimIdle revokes the grant of one other entry whose connections are idle.
// It reports whether there was such an entry.
func (c *Control) reclaimIdle(vm catalog.VMID, service catalog.ServiceID, id catalog.InstanceID) bool {
	for _, name := range sortedVMs(slices.Collect(maps.Keys(c.allocations[id]))) {
		l, v := c.allocations[id][name], c.entries[name]
		if name == vm || v == nil || !l.demand.Idle || max(l.outstanding(c.now), l.demand.Held) == 0 {
			continue
		}
		l.grants, l.demand.Held = nil, 0
		c.allocationRevisions[id]++
		a := c.newAnswer(v)
		a.Grants = []wire.Grant{{Service: service, Instance: id, Length: c.options.Timings.GrantLength}}
		c.emit(SendMessage{To: name, Message: wire.Message{Answer: a}})
		return true
	}
	return false
}

// grantableConnections returns how many connections of an upstream are reserved
// neither for control nor for the entries at its own site.
func (c *Control) grantableConnections(s catalog.Service, u *upstreamView) int {
	localEntries := c.entryCounts[u.announcement.Site]
	return max(s.Limits.Connections-s.Limits.Reserved-localEntries*s.Limits.LocalShare, 0)
}

// otherGrants returns the number of connections that the other entries may
// hold, their demands, and whether one of them has less than it demands.
func (c *Control) otherGrants(vm catalog.VMID, id catalog.InstanceID, site catalog.SiteID, s catalog.Service) (sum int, demands []int, starved bool) {
	for name, l := range c.allocations[id] {
		if name == vm {
			continue
		}
		held := max(l.outstanding(c.now), l.demand.Held)
		sum += held
		wanted := l.demand.Desired
		if l.demand.Idle {
			continue
		}
		if l.site == site {
			wanted -= s.Limits.LocalShare
		}
		if wanted <= 0 {
			continue
		}
		demands = append(demands, wanted)
		starved = starved || held < wanted
	}
	return sum, demands, starved
}

// fairShare returns the most connections that one entry may get. Entries that
// demand fewer get all they demand, and the others share the rest equally. The
// equal share is rounded up, because an entry with a single connection can't
// probe while a statement blocks that connection.
func fairShare(grantable int, demands []int) int {
	slices.Sort(demands)
	for n, d := range demands {
		left := len(demands) - n
		share := max((grantable+left-1)/left, 1)
		if d > share {
			return share
		}
		grantable = max(grantable-d, 0)
	}
	return grantable + demands[len(demands)-1]
}
