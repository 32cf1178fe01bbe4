package node

import (
	"maps"
	"slices"
	"strconv"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/registry"
	"github.com/kingcupknot/kingcupknot/wire"
)

// adopt proposes a configuration, unless the version in force is as high.
func (c *Control) adopt(number uint64, f catalog.Configuration) {
	if f.Version <= c.state.Version {
		c.tell(number, Reply{Code: ReplyOK, Version: c.state.Version, Text: "A version as high is in force."})
		return
	}
	c.proposeFor(number, registry.Change{Adopt: &registry.AdoptConfiguration{
		Version: f.Version, Services: f.Services, Routes: f.Routes,
		TransactionIdle: f.TransactionIdle, Document: f.Document,
	}})
}

// proposeFor proposes a change whose agreement answers a command.
func (c *Control) proposeFor(number uint64, change registry.Change) {
	if !c.propose(change, number) {
		c.tell(number, Reply{
			Code: ReplyNotLeader, Leader: c.quorum.Leader(), RetryAfter: c.options.Timings.ElectionTimeout,
			Text: "This VM leads no more. Ask the leader.",
		})
	}
}

// announced takes an upstream's word. Its leaving is agreed on before it is
// answered, so that the next leader keeps new work from it too.
func (c *Control) announced(number uint64, a catalog.Announcement) {
	c.heard(a)
	if a.Leaving && !c.state.IsRetired(a.Instance, a.Incarnation) {
		c.proposeFor(number, registry.Change{Retire: &registry.RetireUpstream{Instance: a.Instance, Life: a.Incarnation}})
		return
	}
	c.tell(number, Reply{Code: ReplyOK, Version: c.state.Version})
}

func (c *Control) retireLife(number uint64, r RetireUpstream) {
	u := c.upstreams[r.Instance]
	if r.Life == 0 && u != nil {
		r.Life = u.said.Incarnation
	}
	if u == nil || c.state.IsRetired(r.Instance, r.Life) {
		c.tell(number, Reply{Code: ReplyOK, Version: c.state.Version, Text: "The upstream gets no new work."})
		return
	}
	c.proposeFor(number, registry.Change{Retire: &registry.RetireUpstream{Instance: r.Instance, Life: r.Life}})
}

// retired follows the agreement that an upstream gets no new work.
func (c *Control) retired(r registry.RetireUpstream) {
	u := c.upstreams[r.Instance]
	if u == nil || u.said.Incarnation > r.Life {
		return
	}
	if !u.said.Leaving {
		u.said.Leaving = true
		c.revise(u)
	}
	c.log("control", "An upstream is leaving.", "instance", string(r.Instance), "service", string(u.said.Service),
		"life", strconv.FormatUint(r.Life, 10))
	c.suspect(u.said.Service)
	c.pushAll()
}

// revise notes that the entries have to hear of an upstream.
func (c *Control) revise(u *upstreamView) {
	c.revision++
	u.revision = c.revision
}

// differs reports whether entries have to hear of a later announcement.
func differs(old, a catalog.Announcement) bool {
	a.Sequence, a.Position = old.Sequence, old.Position
	return a != old
}

// addUpstreams adds the upstreams that changed since the entry was told.
func (c *Control) addUpstreams(a *wire.Answer, have wire.UpstreamsMark) {
	if !c.options.DistributesUpstreams {
		return
	}
	since := uint64(0)
	if have.Leader == c.options.VM {
		since = have.Revision
	}
	// Those of services that are not configured yet are told too: the mark
	// says that the entry has all.
	for _, id := range slices.Sorted(maps.Keys(c.groups)) {
		for _, u := range c.instancesOf(id) {
			if u.revision > since {
				a.Upstreams = append(a.Upstreams, u.said)
			}
		}
	}
	a.UpstreamsAt = wire.UpstreamsMark{Leader: c.options.VM, Revision: c.revision}
}

// enroll has the next leader know the upstream too.
func (c *Control) enroll(a catalog.Announcement) {
	if !c.options.DistributesUpstreams || a.Leaving {
		return
	}
	// Role and leaving are the upstream's to say again.
	a.Role, a.Position = catalog.RoleUnknown, catalog.Position{}
	c.propose(registry.Change{Register: &a}, 0)
}

// isMoved reports whether an upstream must be enrolled again.
func isMoved(old, a catalog.Announcement) bool {
	return old.Incarnation != a.Incarnation || old.Address != a.Address || old.Site != a.Site || old.Slots != a.Slots
}

// recallUpstreams lists the upstreams that earlier leaders knew. They count as
// usable for control's own choices once they announce themselves.
func (c *Control) recallUpstreams() {
	if !c.options.DistributesUpstreams {
		return
	}
	for _, a := range c.state.Upstreams {
		u := &upstreamView{said: a}
		c.upstreams[a.Instance] = u
		c.groups[a.Service] = append(c.groups[a.Service], u)
		c.revise(u)
	}
}
