package node

import (
	"maps"
	"slices"
	"strconv"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/registry"
	"github.com/kingcupknot/kingcupknot/wire"
)

// adoptSettings proposes a configuration, unless the version in force is as high.
func (c *Control) adoptSettings(number uint64, f catalog.Configuration) {
	if f.Version <= c.state.Version {
		c.reply(number, Reply{Code: ReplyOK, Version: c.state.Version, Text: "A version as high is in force."})
		return
	}
	c.proposeForCommand(number, registry.Change{Adopt: &registry.Adopt{
		Version: f.Version, Services: f.Services, Routes: f.Routes,
		TransactionIdle: f.TransactionIdle, Document: f.Document,
	}})
}

// proposeForCommand proposes a change whose agreement answers a command.
func (c *Control) proposeForCommand(number uint64, change registry.Change) {
	if !c.propose(change, number) {
		c.reply(number, Reply{
			Code: ReplyNotLeader, Leader: c.quorum.Leader(), RetryAfter: c.options.Timings.Election,
			Text: "This VM leads no more. Ask the leader.",
		})
	}
}

// handleAnnounceCommand takes an upstream's word. Its leaving is agreed on before it is
// answered, so that the next leader keeps new work from it too.
func (c *Control) handleAnnounceCommand(number uint64, a catalog.Announcement) {
	c.handleAnnouncement(a)
	if a.Leaving && !c.state.IsRetired(a.Instance, a.Life) {
		c.proposeForCommand(number, registry.Change{Retire: &registry.Retire{Instance: a.Instance, Life: a.Life}})
		return
	}
	c.reply(number, Reply{Code: ReplyOK, Version: c.state.Version})
}

func (c *Control) retireUpstream(number uint64, r RetireUpstream) {
	u := c.upstreams[r.Instance]
	if r.Life == 0 && u != nil {
		r.Life = u.announcement.Life
	}
	if u == nil || c.state.IsRetired(r.Instance, r.Life) {
		c.reply(number, Reply{Code: ReplyOK, Version: c.state.Version, Text: "The upstream gets no new work."})
		return
	}
	c.proposeForCommand(number, registry.Change{Retire: &registry.Retire{Instance: r.Instance, Life: r.Life}})
}

// handleRetired follows the agreement that an upstream gets no new work.
func (c *Control) handleRetired(r registry.Retire) {
	u := c.upstreams[r.Instance]
	if u == nil || u.announcement.Life > r.Life {
		return
	}
	if !u.announcement.Leaving {
		u.announcement.Leaving = true
		c.advanceRevision(u)
	}
	c.log("control", "An upstream is leaving.", "instance", string(r.Instance), "service", string(u.announcement.Service),
		"life", strconv.FormatUint(r.Life, 10))
	c.markSuspect(u.announcement.Service)
	c.pushAll()
}

// advanceRevision notes that the entries have to hear of an upstream.
func (c *Control) advanceRevision(u *upstreamView) {
	c.revision++
	u.revision = c.revision
}

// needsPush reports whether entries have to hear of a later announcement.
func needsPush(old, a catalog.Announcement) bool {
	a.Sequence, a.Position = old.Sequence, old.Position
	return a != old
}

// addUpstreamsToAnswer adds the upstreams that changed since the entry was told.
func (c *Control) addUpstreamsToAnswer(a *wire.Answer, have wire.UpstreamsMark) {
	if !c.options.DistributesUpstreams {
		return
	}
	since := uint64(0)
	if have.Leader == c.options.VM {
		since = have.Revision
	}
	// Those of services that are not configured yet are told too: the mark
	// says that the entry has all.
	for _, id := range slices.Sorted(maps.Keys(c.upstreamsByService)) {
		for _, u := range c.instancesOf(id) {
			if u.revision > since {
				a.Upstreams = append(a.Upstreams, u.announcement)
			}
		}
	}
	a.UpstreamsAt = wire.UpstreamsMark{Leader: c.options.VM, Revision: c.revision}
}

// proposeEnrollment has the next leader know the upstream too.
func (c *Control) proposeEnrollment(a catalog.Announcement) {
	if !c.options.DistributesUpstreams || a.Leaving {
		return
	}
	// Role and leaving are the upstream's to say again.
	a.Role, a.Position = catalog.RoleUnknown, catalog.Position{}
	c.propose(registry.Change{Enroll: &a}, 0)
}

// needsEnrollment reports whether an upstream must be enrolled again.
func needsEnrollment(old, a catalog.Announcement) bool {
	return old.Life != a.Life || old.Address != a.Address || old.Site != a.Site || old.Slots != a.Slots
}

// restoreUpstreams lists the upstreams that earlier leaders knew. They count as
// usable for control's own choices once they announce themselves.
func (c *Control) restoreUpstreams() {
	if !c.options.DistributesUpstreams {
		return
	}
	for _, a := range c.state.Upstreams {
		u := &upstreamView{announcement: a}
		c.upstreams[a.Instance] = u
		c.upstreamsByService[a.Service] = append(c.upstreamsByService[a.Service], u)
		c.advanceRevision(u)
	}
}
