package node

import (
	"maps"
	"slices"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// grantView is one grant that was given and may still be held.
type grantView struct {
	connections int
	until       catalog.Instant
}

// allocation is what one entry has and wants of one upstream's connections.
type allocation struct {
	site catalog.SiteID
	// grants are those that may still be held, the newest first.
	grants []grantView
	// want is that of the entry's last report, zero if it names none.
	want wire.Demand
}

// outstanding is the most that the entry may hold beyond its local share.
func (l *allocation) outstanding(now catalog.Instant) int {
	most := 0
	for _, g := range l.grants {
		if now.Before(g.until) {
			most = max(most, g.connections)
		}
	}
	return most
}

// give notes a grant and drops those that it makes needless.
func (l *allocation) give(g grantView, now catalog.Instant) {
	kept := []grantView{g}
	for _, old := range l.grants {
		if now.Before(old.until) && (old.connections > g.connections || old.until.After(g.until)) {
			kept = append(kept, old)
		}
	}
	l.grants = kept
}

// renew replaces the grants by one, where an entry gives up at once what a newer
// grant does not cover. It reports whether the entry must be told: not if it
// has a grant of as many connections for long enough.
func (l *allocation) renew(connections int, until, now catalog.Instant) bool {
	if len(l.grants) > 0 && l.grants[0].connections == connections && l.grants[0].until.Sub(now) > until.Sub(now)/2 {
		return false
	}
	l.grants = nil
	return true
}

// allocation returns an entry's allocation at an upstream, a new one if
// there is none yet.
func (c *Control) allocation(id catalog.InstanceID, vm catalog.VMID, site catalog.SiteID) *allocation {
	of := c.allocations[id]
	if of == nil {
		of = map[catalog.VMID]*allocation{}
		c.allocations[id] = of
	}
	l := of[vm]
	if l == nil {
		l = &allocation{site: site}
		of[vm] = l
	}
	return l
}

// takeWants replaces what an entry wants by its newest report.
func (c *Control) takeWants(vm catalog.VMID, v *entryView, list []wire.Demand) {
	for _, w := range v.wants {
		if l := c.allocations[w.Instance][vm]; l != nil {
			l.want = wire.Demand{}
		}
	}
	v.wants = list
	for _, w := range list {
		c.allocation(w.Instance, vm, v.site).want = w
	}
}

// grant decides the entry's connections to each upstream that it asked for.
func (c *Control) grant(vm catalog.VMID, v *entryView, length time.Duration) []wire.Grant {
	var out []wire.Grant
	for _, w := range v.wants {
		id := w.Instance
		u := c.upstreams[id]
		s, ok := c.state.Service(w.Service)
		if u == nil || !ok || u.said.Service != w.Service {
			continue
		}
		n := c.share(vm, v, s, u, w)
		l := c.allocation(id, vm, v.site)
		if c.options.DistributesUpstreams {
			// An entry that tells its wants again may have missed the answer.
			if !l.renew(n, v.seenAt.Add(length), c.now) && v.wantsKept {
				continue
			}
		}
		l.give(grantView{connections: n, until: v.seenAt.Add(length)}, c.now)
		out = append(out, wire.Grant{Service: w.Service, Instance: id, Connections: n, Length: length})
	}
	return out
}

// share is the entry's part of an upstream's connections. The sum over all
// entries of what may be held never passes what can be granted.
func (c *Control) share(vm catalog.VMID, v *entryView, s catalog.Service, u *upstreamView, w wire.Demand) int {
	local := 0
	if v.site == u.said.Site {
		local = s.Limits.LocalShare
	}
	id := u.said.Instance
	if c.now.Before(c.graceEnds) && !c.options.DistributesUpstreams {
		// Grants of the leader before are not known here. What the entry
		// holds is within its own, so renewing just that is safe. Upstreams
		// that bound their connections themselves need no such care.
		return max(w.Held-local, 0)
	}
	wanted := max(w.Desired-local, 0)
	grantable := c.grantable(s, u)
	others, wants, starved := c.otherGrants(vm, id, u.said.Site, s)
	if c.options.DistributesUpstreams {
		return c.shareListed(vm, s, u, w, grantable-others, starved, append(wants, wanted))
	}
	most := grantable
	if starved {
		most = fairShare(grantable, append(wants, wanted))
	}
	return max(min(wanted, most, grantable-others), 0)
}

// shareListed is the entry's part where an upstream admits fewer connections
// than there are entries. They go to those whose requests want them; one that
// no request uses is taken back as soon as another entry lacks it.
func (c *Control) shareListed(vm catalog.VMID, s catalog.Service, u *upstreamView, w wire.Demand, free int, starved bool, wants []int) int {
	id := u.said.Instance
	if w.Idle {
		if starved {
			return 0
		}
		return max(min(w.Desired, free), 0)
	}
	most := w.Desired
	if starved {
		most = min(most, fairShare(c.grantable(s, u), wants))
	}
	for free < most && c.reclaim(vm, s.ID, id) {
		free++
	}
	if free <= 0 && len(wants) <= c.grantable(s, u) {
		// Those who hold more than their part give it up with their next
		// report.
		return min(most, 1)
	}
	return max(min(most, free), 0)
}

// reclaim takes an idle connection back from another entry. It reports whether
// there was one.
func (c *Control) reclaim(vm catalog.VMID, service catalog.ServiceID, id catalog.InstanceID) bool {
	for _, name := range sortedVMs(slices.Collect(maps.Keys(c.allocations[id]))) {
		l, v := c.allocations[id][name], c.entries[name]
		if name == vm || v == nil || !l.want.Idle || max(l.outstanding(c.now), l.want.Held) == 0 {
			continue
		}
		l.grants, l.want.Held = nil, 0
		a := c.newAnswer(v)
		a.Grants = []wire.Grant{{Service: service, Instance: id, Length: c.options.Timings.GrantLength}}
		c.emit(SendMessage{To: name, Message: wire.Message{Answer: a}})
		return true
	}
	return false
}

// grantable is how many connections of an upstream are not set aside for
// control or for the entries of its own site.
func (c *Control) grantable(s catalog.Service, u *upstreamView) int {
	near := c.entriesAt[u.said.Site]
	return max(s.Limits.Connections-s.Limits.Reserved-near*s.Limits.LocalShare, 0)
}

// otherGrants sums what other entries may hold, lists what they want, and tells
// whether one of them wants more than it has.
func (c *Control) otherGrants(vm catalog.VMID, id catalog.InstanceID, site catalog.SiteID, s catalog.Service) (sum int, wants []int, starved bool) {
	for name, l := range c.allocations[id] {
		if name == vm {
			continue
		}
		held := max(l.outstanding(c.now), l.want.Held)
		sum += held
		wanted := l.want.Desired
		if l.want.Idle {
			continue
		}
		if l.site == site {
			wanted -= s.Limits.LocalShare
		}
		if wanted <= 0 {
			continue
		}
		wants = append(wants, wanted)
		starved = starved || held < wanted
	}
	return sum, wants, starved
}

// fairShare is the most that one of several entries may have so that those who
// want less have all they want, rounded up: an entry with a single connection
// could not probe while a statement is stuck on it.
func fairShare(grantable int, wants []int) int {
	slices.Sort(wants)
	for n, w := range wants {
		left := len(wants) - n
		share := max((grantable+left-1)/left, 1)
		if w > share {
			return share
		}
		grantable = max(grantable-w, 0)
	}
	return grantable + wants[len(wants)-1]
}
