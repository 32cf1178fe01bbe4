package node

import (
	"sort"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// grantView is one grant that was given and may still be held.
type grantView struct {
	connections int
	until       catalog.Instant
}

// outstanding is the most that the entry may hold of an upstream beyond its
// local share.
func (v *entryView) outstanding(id catalog.InstanceID, now catalog.Instant) int {
	most := 0
	for _, g := range v.grants[id] {
		if now.Before(g.until) {
			most = max(most, g.connections)
		}
	}
	return most
}

// give notes a grant and drops those that it makes needless.
func (v *entryView) give(id catalog.InstanceID, g grantView, now catalog.Instant) {
	kept := []grantView{g}
	for _, old := range v.grants[id] {
		if now.Before(old.until) && (old.connections > g.connections || old.until.After(g.until)) {
			kept = append(kept, old)
		}
	}
	v.grants[id] = kept
}

// grant decides the entry's connections to each upstream that it asked for.
func (c *Control) grant(vm catalog.VMID, v *entryView, length time.Duration) []wire.Grant {
	var out []wire.Grant
	for _, id := range wantedInstances(v) {
		w := v.wants[id]
		u := c.upstreams[id]
		s, ok := c.state.Service(w.Service)
		if u == nil || !ok || u.said.Service != w.Service {
			continue
		}
		n := c.share(vm, v, s, u, w)
		v.give(id, grantView{connections: n, until: v.seenAt.Add(length)}, c.now)
		out = append(out, wire.Grant{Service: w.Service, Instance: id, Connections: n, Length: length})
	}
	return out
}

func wantedInstances(v *entryView) []catalog.InstanceID {
	ids := make([]catalog.InstanceID, 0, len(v.wants))
	for id := range v.wants {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// share is the entry's part of an upstream's connections. The sum over all
// entries of what may be held never passes what can be lent.
func (c *Control) share(vm catalog.VMID, v *entryView, s catalog.Service, u *upstreamView, w wire.Want) int {
	local := 0
	if v.site == u.said.Site {
		local = s.Limits.LocalShare
	}
	id := u.said.Instance
	if c.now.Before(c.graceEnds) {
		// Grants of the leader before are not known here. What the entry
		// holds is within its own, so renewing just that is safe.
		return max(w.Held-local, 0)
	}
	wanted := max(w.Wanted-local, 0)
	lendable := c.lendable(s, u)
	others, asking, starved := c.otherGrants(vm, id, u.said.Site, s)
	most := lendable
	if starved {
		most = max(lendable/(asking+1), 1)
	}
	return max(min(wanted, most, lendable-others), 0)
}

// lendable is how many connections of an upstream are not set aside for
// control or for the entries of its own site.
func (c *Control) lendable(s catalog.Service, u *upstreamView) int {
	near := 0
	for _, site := range c.options.Entries {
		if site == u.said.Site {
			near++
		}
	}
	return max(s.Limits.Connections-s.Limits.Reserved-near*s.Limits.LocalShare, 0)
}

// otherGrants sums what other entries may hold, counts those that ask for
// some, and tells whether one of them wants more than it has.
func (c *Control) otherGrants(vm catalog.VMID, id catalog.InstanceID, site catalog.SiteID, s catalog.Service) (sum, asking int, starved bool) {
	for name, v := range c.entries {
		if name == vm {
			continue
		}
		held := v.outstanding(id, c.now)
		sum += held
		wanted := v.wants[id].Wanted
		if v.site == site {
			wanted -= s.Limits.LocalShare
		}
		if wanted <= 0 {
			continue
		}
		asking++
		starved = starved || held < wanted
	}
	return sum, asking, starved
}
