package node

import (
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/registry"
	"github.com/kingcupknot/kingcupknot/wire"
)

// adoptSettings proposes a configuration if its version is higher than the
// version in force.
func (c *Control) adoptSettings(number uint64, f catalog.Configuration) {
	if f.Version == 0 && c.state.Version == 0 {
		// Version zero stands for no configuration in the agreed state and in
		// messages. An acknowledgement would be wrong, as nothing is stored.
		c.reply(number, Reply{Code: ReplyInvalid, Text: "version 0: the version of a first configuration must be 1 or higher"})
		return
	}
	if f.Version <= c.state.Version {
		c.reply(number, Reply{Code: ReplyOK, Version: c.state.Version, Text: "A version as high is in force."})
		return
	}
	c.proposeForCommand(number, registry.Change{Adopt: &registry.AdoptConfiguration{
		Version: f.Version, Services: f.Services, Routes: f.Routes,
		TransactionIdle: f.TransactionIdle, Document: f.Document,
		KeysRequired: f.KeysRequired, Organisations: f.Organisations,
	}})
}

// proposeForCommand proposes a change. The command is answered when the change
// is committed, or immediately if the change is invalid or this VM can't propose.
func (c *Control) proposeForCommand(number uint64, change registry.Change) {
	switch err := c.tryPropose(change, number); {
	case errors.Is(err, errors.NotValid):
		c.reply(number, Reply{Code: ReplyInvalid, Version: c.state.Version, Text: err.Error()})
	case err != nil:
		c.reply(number, Reply{
			Code: ReplyNotLeader, Leader: c.quorum.Leader(), RetryAfter: c.options.Timings.ElectionTimeout,
			Text: "This VM leads no more. Ask the leader.",
		})
	}
}

// handleAnnounceCommand handles an announcement that arrived as a command. If
// the upstream is leaving, the command is answered only after the retirement is
// committed, so that the next leader gives it no new work either.
func (c *Control) handleAnnounceCommand(number uint64, a catalog.Announcement) {
	c.handleAnnouncement(a)
	if u := c.upstreams[a.Instance]; u != nil && u.announcement.Service != a.Service {
		// Another writer must not make the upstream leave.
		err := errors.NotValidf("service %q (instance %s belongs to %s)", a.Service, a.Instance, u.announcement.Service)
		c.effects = append(c.effects, c.refusals.refuse(c.now, a, err)...)
		c.reply(number, Reply{Code: ReplyInvalid, Version: c.state.Version, Text: "announcement: " + err.Error()})
		return
	}
	if a.Leaving && !c.state.IsRetired(a.Instance, a.Incarnation) {
		c.proposeRetirement(number, a)
		return
	}
	c.reply(number, Reply{Code: ReplyOK, Version: c.state.Version})
}

// proposeRetirement proposes that an incarnation of an upstream gets no new work.
// The upstream is recorded first if it is not, so that later leaders can tell the
// entries that it leaves.
func (c *Control) proposeRetirement(number uint64, a catalog.Announcement) {
	if c.options.DistributesUpstreams && !c.state.IsRegistered(a.Instance, a.Incarnation) {
		a.Role, a.Position, a.Leaving = catalog.RoleUnknown, catalog.Position{}, false
		if err := c.tryPropose(registry.Change{Register: &a}, 0); errors.Is(err, errors.NotValid) {
			c.reply(number, Reply{Code: ReplyInvalid, Version: c.state.Version, Text: err.Error()})
			return
		}
	}
	c.proposeForCommand(number, registry.Change{Retire: &registry.RetireUpstream{Instance: a.Instance, Incarnation: a.Incarnation}})
}

// relayAnnouncement sends the announcement of an upstream to the leader and
// reports whether it may be acknowledged. A message between control VMs costs the
// leader a small part of what a call of the upstream does. If it is lost, the next
// announcement follows within a heartbeat. An upstream that leaves gets no
// acknowledgement until the leader has recorded that.
func (c *Control) relayAnnouncement(a catalog.Announcement) bool {
	leader := c.quorum.Leader()
	if !c.options.DistributesUpstreams || a.Leaving || leader == "" || leader == c.options.VM {
		return false
	}
	c.emit(SendMessage{To: leader, Message: wire.Message{Announcement: &a}})
	return true
}

func (c *Control) retireUpstream(number uint64, r RetireUpstream) {
	u := c.upstreams[r.Instance]
	if r.Incarnation == 0 && u != nil {
		r.Incarnation = u.announcement.Incarnation
	}
	switch {
	case r.Incarnation == 0 && u == nil, c.state.IsRetired(r.Instance, r.Incarnation):
		c.reply(number, Reply{Code: ReplyOK, Version: c.state.Version, Text: "The upstream gets no new work."})
	case u == nil:
		c.proposeForCommand(number, registry.Change{Retire: &registry.RetireUpstream{Instance: r.Instance, Incarnation: r.Incarnation}})
	default:
		a := u.announcement
		a.Incarnation = r.Incarnation
		c.proposeRetirement(number, a)
	}
}

// handleRetired marks an upstream as leaving after its retirement was
// committed.
func (c *Control) handleRetired(r registry.RetireUpstream) {
	u := c.upstreams[r.Instance]
	if u == nil || u.announcement.Incarnation > r.Incarnation {
		c.log("control", "Retired an upstream that is not in the list.", "instance", string(r.Instance),
			"life", strconv.FormatUint(r.Incarnation, 10))
		return
	}
	c.markLeaving(u)
	c.log("control", "An upstream is leaving.", "instance", string(r.Instance), "service", string(u.announcement.Service),
		"life", strconv.FormatUint(r.Incarnation, 10), "sequence", strconv.FormatUint(u.announcement.Sequence, 10),
		"revision", strconv.FormatUint(u.revision, 10))
	c.markSuspect(u.announcement.Service)
}

// pushTime is how long the next push of upstreams is delayed for each entry that
// got the present one. The delay keeps most of the processor free for reports,
// whose answers hold the same changes.
const pushTime = time.Millisecond

// pushChangedUpstreams sends changed upstreams to the entries that were not sent
// them in answers to reports. Upstreams that start together announce themselves
// within one heartbeat. If each of these changes were sent to each of hundreds of
// entries at once, the leader would be too busy to keep its lead.
func (c *Control) pushChangedUpstreams() {
	if !c.options.DistributesUpstreams || c.pushedRevision == c.revision || c.now.Before(c.nextPushAt) {
		return
	}
	c.pushedRevision, c.nextPushAt = c.revision, c.now
	for _, vm := range c.entryVMs() {
		if v := c.entries[vm]; v.sentRevision < c.revision && !c.areUpstreamsInFlight(v) {
			c.push(vm)
			c.nextPushAt = c.nextPushAt.Add(pushTime)
		}
	}
}

// needsPush reports whether a newer announcement must be sent to the entries.
// Entries don't use the role in it: they learn the primary with their leases, and
// roles from the upstreams themselves.
func needsPush(old, a catalog.Announcement) bool {
	a.Sequence, a.Position, a.Role = old.Sequence, old.Position, old.Role
	return a != old
}

// upstreamTransferTime is how long the transfer of an upstream's announcement of
// about 100 bytes takes to an entry with a link of 2 Mbit/s that carries other
// traffic as well.
const upstreamTransferTime = 800 * time.Microsecond

// areUpstreamsInFlight reports whether upstreams were sent to the entry that it
// can't have confirmed yet. Without this check, each answer to a report would
// send hundreds of upstreams again while the first of them are on their way, and
// the link would be so full that no answer arrives.
func (c *Control) areUpstreamsInFlight(v *entryView) bool {
	return v.sentRevision > c.confirmedRevision(v) && c.now.Before(v.upstreamsArriveAt)
}

// proposeEnrollment records an upstream in the agreed state, so that the next
// leader knows it too.
func (c *Control) proposeEnrollment(a catalog.Announcement) {
	if !c.options.DistributesUpstreams || a.Leaving {
		return
	}
	// The next leader learns the role and the position from the upstream's next
	// announcement.
	a.Role, a.Position = catalog.RoleUnknown, catalog.Position{}
	if c.mayEnrollNow() {
		c.propose(registry.Change{Register: &a}, 0)
		return
	}
	c.waitingEnrollments = append(c.waitingEnrollments, a)
}

// needsEnrollment reports whether a newer announcement must be recorded again.
func needsEnrollment(old, a catalog.Announcement) bool {
	return old.Incarnation != a.Incarnation || old.Address != a.Address || old.Site != a.Site || old.Slots != a.Slots
}

// needsLeaving reports whether a new leader needs an upstream that left under an earlier
// one, and that may be gone: it is or was just the primary, or it may hold synchronous writes that
// no other replica has, since an upstream receives writes until it ends.
func (c *Control) needsLeaving(a catalog.Announcement) bool {
	s, _ := c.state.Service(a.Service)
	p := c.state.Primary(a.Service)
	return s.SyncReplicas > 0 || p.Instance == a.Instance || p.LastReady() == a.Instance
}

// restoreUpstreams adds the upstreams that earlier leaders recorded. Control
// itself does not use them until they announce themselves. Those that leave are
// added as if they did not, and then marked in the order in which they were
// retired. The list thus has the digests that it had under the earlier leaders, and
// an entry that missed only the last retirements gets only these.
func (c *Control) restoreUpstreams() {
	if !c.options.DistributesUpstreams {
		return
	}
	for _, a := range c.state.Upstreams {
		// A leader of an earlier build may have recorded it.
		if err := a.Check(); err != nil {
			c.effects = append(c.effects, c.refusals.refuse(c.now, a, err)...)
			continue
		}
		u := &upstreamView{announcement: a}
		u.announcement.Leaving = false
		c.upstreams[a.Instance] = u
		if !a.Leaving || c.needsLeaving(a) {
			u.inGroup = true
			c.upstreamsByService[a.Service] = append(c.upstreamsByService[a.Service], u)
		}
		c.advanceRevision(u)
	}
	for _, r := range c.state.Retired {
		if u := c.upstreams[r.Instance]; u != nil && u.announcement.Incarnation <= r.Incarnation {
			c.markLeaving(u)
		}
	}
}
