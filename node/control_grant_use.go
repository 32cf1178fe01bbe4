package node

import (
	"maps"
	"slices"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// Connections of organisations are worth keeping while no request needs them. If
// idle connections were reclaimed from an entry all at once, as in shareByDemand,
// the grants of entries with a few requests per second would oscillate, and each
// change would cause connections to be opened. So control divides an upstream's
// connections first by what requests need and then by what is worth keeping, and
// reclaims no more than another entry needs. This answers the load of 73 or more
// organisations with 54 connections per upstream for 12 to 20 owners.

// keptDivisor divides an upstream's connections; the result is how many of them are
// open at the most while requests need fewer. An upstream counts the connections of
// a VM that lost power for seconds after the loss. If all connections were open, the
// entries could connect again only after that time.
const keptDivisor = 2

// hasKept reports whether an entry keeps connections of organisations to the
// upstream.
func (c *Control) hasKept(id catalog.InstanceID) bool {
	for _, l := range c.allocations[id] {
		if l.demand.Kept > 0 {
			return true
		}
	}
	return false
}

// shareByUse returns how many connections the entry gets.
func (c *Control) shareByUse(vm catalog.VMID, s catalog.Service, u *upstreamView, d wire.Demand) int {
	id := u.announcement.Instance
	grantable := c.grantableConnections(s, u)
	needed, desired := []int{d.Desired - d.Kept}, []int{d.Desired}
	free := grantable
	for name, l := range c.allocations[id] {
		if name != vm {
			free -= max(l.outstanding(c.now), l.demand.Held)
			needed, desired = append(needed, l.demand.Desired-l.demand.Kept), append(desired, l.demand.Desired)
		}
	}
	need := min(d.Desired-d.Kept, fairShare(grantable, slices.Clone(needed)))
	limit := max(need, min(d.Desired, fairShare(grantable/keptDivisor, desired)))
	for free < need && c.reclaimKept(vm, s.ID, id, need-free) {
		free = grantable
		for name, l := range c.allocations[id] {
			if name != vm {
				free -= max(l.outstanding(c.now), l.demand.Held)
			}
		}
	}
	if free <= 0 && need > 0 && len(needed) <= grantable {
		// As in shareByDemand, entries that hold more than their share give up the
		// excess with their next report.
		return 1
	}
	return max(min(limit, free), 0)
}

// reclaimKept reduces the grant of the entry that holds the most connections beyond
// those that its requests need, by up to half of these and at most n. It reports
// whether there was such an entry.
func (c *Control) reclaimKept(vm catalog.VMID, service catalog.ServiceID, id catalog.InstanceID, n int) bool {
	var from catalog.VMID
	most := 0
	for _, name := range sortedVMs(slices.Collect(maps.Keys(c.allocations[id]))) {
		l := c.allocations[id][name]
		excess := max(l.outstanding(c.now), l.demand.Held) - (l.demand.Desired - l.demand.Kept)
		if name != vm && c.entries[name] != nil && excess > most {
			from, most = name, excess
		}
	}
	if most == 0 {
		return false
	}
	l, v := c.allocations[id][from], c.entries[from]
	left := max(l.outstanding(c.now), l.demand.Held) - min(n, (most+1)/2)
	until := v.reportedAt.Add(c.options.Timings.GrantLength)
	c.allocationRevisions[id]++
	l.demand.Held = min(l.demand.Held, left)
	l.grants = nil
	if left > 0 {
		l.grants = []activeGrant{{connections: left, expiresAt: until}}
	}
	a := c.newAnswer(v)
	a.Grants = []wire.Grant{{Service: service, Instance: id, Connections: left, Length: c.options.Timings.GrantLength}}
	c.emit(SendMessage{To: from, Message: wire.Message{Answer: a}})
	return true
}
