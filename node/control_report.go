package node

import (
	"slices"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

func (c *Control) handleAnnouncement(a catalog.Announcement) {
	if !c.isLeader {
		return
	}
	if err := a.Check(); err != nil {
		c.effects = append(c.effects, c.refusals.refuse(c.now, a, err)...)
		return
	}
	u := c.upstreams[a.Instance]
	if u != nil && a.Service != u.announcement.Service && !c.isConfigured(u.announcement.Service) && c.isConfigured(a.Service) {
		c.forgetUpstream(u)
		u = nil
	}
	if u == nil {
		c.trackUpstream(a)
		return
	}
	if a.Service != u.announcement.Service {
		if a.Newer(u.announcement) {
			c.emit(Count{Name: "announcements-refused", Delta: 1})
		}
		return
	}
	if !a.Newer(u.announcement) {
		if a.Leaving && a.Incarnation == u.announcement.Incarnation {
			c.markLeaving(u)
		}
		return
	}
	c.addToGroup(u)
	if u.announcement.Incarnation == a.Incarnation && u.announcement.Leaving || c.state.IsRetired(a.Instance, a.Incarnation) {
		a.Leaving = true
	}
	changed, mustEnroll := needsPush(u.announcement, a), needsEnrollment(u.announcement, a)
	if a.Leaving != u.announcement.Leaving || a.Role != u.announcement.Role {
		c.markSuspect(a.Service)
	}
	begins := a.Leaving && (!u.announcement.Leaving || a.Incarnation != u.announcement.Incarnation)
	u.announcement, u.announcedAt = a, c.now
	if changed {
		c.advanceRevision(u)
	}
	if begins {
		c.trackLeaving(u)
	}
	if mustEnroll {
		c.proposeEnrollment(a)
	}
}

// subscribe records which services an entry serves.
func (c *Control) subscribe(vm catalog.VMID, v *entryView, services []catalog.ServiceID) {
	if slices.Equal(v.services, services) {
		return
	}
	for _, id := range v.services {
		c.subscribers.remove(id, vm)
	}
	v.services = services
	for _, id := range services {
		c.subscribers.add(id, vm)
	}
}

func (c *Control) handleReport(from catalog.VMID, r wire.Report) {
	site, known := c.options.Entries[from]
	if c.options.Entries == nil {
		site, known = r.Site, true
	}
	if !known || r.VM != from {
		c.emit(Count{Name: "reports-refused", Delta: 1})
		return
	}
	if !c.isLeader {
		if leader := c.quorum.Leader(); leader == "" || leader == c.options.VM {
			c.uninformedEntries[from] = r.Sequence
		}
		c.emit(SendMessage{To: from, Message: wire.Message{Answer: &wire.Answer{
			Leader: c.quorum.Leader(), Refused: true, Sequence: r.Sequence, Members: c.memberVMs(),
		}}})
		return
	}
	v := c.entryFor(from, site)
	c.sites.recordReport(from)
	if r.Incarnation == v.incarnation && r.Sequence <= v.sequence || r.Incarnation < v.incarnation && c.hasRecentReport(v) {
		return
	}
	if r.Incarnation != v.incarnation {
		v.reportsSince = c.now
		// What was sent to the entry before its restart does not arrive any more.
		v.sentArrivesAt, v.upstreamsArriveAt, v.preferred, v.settingsTransfer = 0, 0, nil, 0
		if v.incarnation != 0 {
			c.dropObservations(from)
		}
		c.limits.allocator.DropShares(from)
	}
	if r.IsSearch() {
		c.answerSearch(from, v, r)
		return
	}
	v.incarnation, v.sequence, v.reportedAt = r.Incarnation, r.Sequence, c.now
	v.settingsVersion, v.leaving, v.aliveWithin = r.SettingsVersion, r.Leaving, r.AliveWithin
	v.upstreamsMark, v.work = r.UpstreamsMark, r.Work
	c.subscribe(from, v, r.Services)
	for _, a := range r.Announcements {
		c.handleAnnouncement(a)
	}
	suspects := append(c.recordObservations(from, r.Observations), c.recordSpentEpochs(from, r.SpentEpochs)...)
	if !r.DemandsUnchanged {
		c.updateDemands(from, v, r.Demands)
	}
	v.demandsUnchanged, v.primariesMark, v.entriesMark = r.DemandsUnchanged, r.PrimariesMark, r.EntriesMark
	c.checkReported(suspects)
	c.recordUsage(from, r)
	c.sendAnswer(from, v)
}

// answerSearch answers a report that only searches for the leader. The entry then
// sends a whole one.
func (c *Control) answerSearch(vm catalog.VMID, v *entryView, r wire.Report) {
	v.incarnation, v.sequence = r.Incarnation, r.Sequence
	v.settingsVersion, v.leaving, v.upstreamsMark, v.entriesMark = r.SettingsVersion, r.Leaving, r.UpstreamsMark, r.EntriesMark
	if v.reportedAt == 0 {
		v.reportedAt = c.now
	}
	c.emit(SendMessage{To: vm, Message: wire.Message{Answer: c.newAnswer(v)}})
}

// hasRecentReport reports whether an entry has reported recently. An entry that
// has not reported recently may have restarted with a clock that was set back,
// so its report with a lower incarnation is accepted. A delayed report of an
// earlier incarnation may then be accepted by mistake, but is replaced by the
// entry's next report.
func (c *Control) hasRecentReport(v *entryView) bool {
	return c.now.Sub(v.reportedAt) <= evidenceReportIntervals*c.options.Timings.ReportInterval
}

func (c *Control) entryFor(vm catalog.VMID, site catalog.SiteID) *entryView {
	if v := c.entries[vm]; v != nil {
		return v
	}
	v := &entryView{
		site:   site,
		leases: map[catalog.ServiceID]leaseView{},
	}
	c.entries[vm] = v
	return v
}

// recordObservations stores what an entry observed, and returns the services with
// an observation that indicates that an upstream is down.
func (c *Control) recordObservations(vm catalog.VMID, list []wire.Observation) []catalog.ServiceID {
	var suspects []catalog.ServiceID
	for _, o := range list {
		recorded := observation{evidence: o.Evidence, gatheredAt: c.now.Add(-o.Age), reportedAt: c.now, role: o.Role, position: o.Position}
		if o.AliveAge >= 0 {
			recorded.aliveAt = c.now.Add(-o.AliveAge)
			recorded.isIdle = isIdleAnswer(o.AliveAge, c.options.Timings)
		}
		if c.observations[o.Instance] == nil {
			c.observations[o.Instance] = map[catalog.VMID]observation{}
		}
		if recorded.isFailing() {
			recorded.failingSince = c.now
			if last := c.observations[o.Instance][vm]; last.isFailing() && c.now.Sub(last.reportedAt) <= evidenceReportIntervals*c.options.Timings.ReportInterval {
				recorded.failingSince = last.failingSince
			}
		}
		c.observations[o.Instance][vm] = recorded
		if recorded.isFailing() {
			c.markSuspect(o.Service)
			suspects = append(suspects, o.Service)
		}
	}
	return suspects
}

// lastAliveAt returns when an upstream last responded to the entry. A report may
// omit a healthy upstream that a recent report included. AliveWithin is then the
// longest time since any omitted upstream responded. It does not apply to an
// observation that the last report included, nor to an upstream that was idle,
// which the entry reports again as soon as it has answered.
func (v *entryView) lastAliveAt(o observation) catalog.Instant {
	if o.isIdle || o.reportedAt == v.reportedAt || v.aliveWithin == 0 || o.evidence != wire.EvidenceAlive || v.reportedAt.Sub(o.reportedAt) > 2*healthyRepeatInterval {
		return o.aliveAt
	}
	return max(o.aliveAt, v.reportedAt.Add(-v.aliveWithin))
}

// sendAnswer answers an entry's report with its leases, grants and settings.
func (c *Control) sendAnswer(vm catalog.VMID, v *entryView) {
	a := c.newAnswer(v)
	c.addSiteShares(a, v)
	length := c.leaseLength(v.reportedAt)
	if !c.renewAllLeases(a, vm, v, length) {
		c.addLeasesToAnswer(a, vm, v, v.services, length)
	}
	if length > 0 && !v.leaving {
		if c.options.Timings.GrantLength > 0 {
			length = c.options.Timings.GrantLength
		}
		a.Grants = c.grantConnections(vm, v, length)
	}
	c.addLimitsToAnswer(a, vm)
	c.emit(SendMessage{To: vm, Message: wire.Message{Answer: a}})
}

// push sends an entry the changed settings and the primaries of the given
// services, as a further answer to its last report. Lease lengths count from
// that report.
func (c *Control) push(vm catalog.VMID, services ...catalog.ServiceID) {
	v := c.entries[vm]
	a := c.newAnswer(v)
	c.addLeasesToAnswer(a, vm, v, services, c.leaseLength(v.reportedAt))
	c.emit(SendMessage{To: vm, Message: wire.Message{Answer: a}})
}

// newAnswer returns an answer with the settings that the entry lacks. While this
// VM has no contact to a quorum, the answer has no settings: a newer leader may
// have newer ones, and an entry that restarted must not receive older settings
// than it had before.
func (c *Control) newAnswer(v *entryView) *wire.Answer {
	a := &wire.Answer{Leader: c.options.VM, Sequence: v.sequence}
	switch {
	case !c.hasQuorumContact():
	case c.isSettingsInFlight(v):
		// The entry continues with the settings it has.
		a.Version = v.settingsVersion
	default:
		a.Version = c.state.Version
		c.addSettingsToAnswer(a, v.settingsVersion)
		c.recordSettingsSent(v, time.Duration(len(a.Routes)+len(a.Organisations))*routeTransferTime)
	}
	c.addUpstreamsToAnswer(a, v)
	c.addEntriesToAnswer(a, v)
	if c.options.Entries == nil && (v.membersSentAt == 0 || c.now.Sub(v.membersSentAt) > membersInterval) {
		v.membersSentAt = c.now
		a.Members = c.memberVMs()
	}
	return a
}

// renewAllLeases renews all leases of an entry with a single field of the
// answer. That requires that the entry knows the primaries in force and that no
// failover of its services is in progress. It reports whether the leases were
// renewed.
func (c *Control) renewAllLeases(a *wire.Answer, vm catalog.VMID, v *entryView, length time.Duration) bool {
	if v.primariesMark == 0 || v.leaving || length <= 0 {
		return false
	}
	primaries := make([]catalog.Primary, 0, len(v.services))
	for _, id := range v.services {
		if _, ok := c.state.Service(id); !ok || c.failovers[id] != nil {
			return false
		}
		primaries = append(primaries, c.state.Primary(id))
	}
	if wire.PrimariesMark(primaries) != v.primariesMark {
		return false
	}
	for _, id := range v.services {
		c.grantLease(vm, v, id, length)
	}
	a.RenewalLength, a.PrimariesMark = length, v.primariesMark
	return true
}

func (c *Control) addLeasesToAnswer(a *wire.Answer, vm catalog.VMID, v *entryView, services []catalog.ServiceID, length time.Duration) {
	for _, id := range services {
		if _, ok := c.state.Service(id); ok {
			a.Leases = append(a.Leases, c.grantLease(vm, v, id, length))
		}
	}
}

// addSettingsToAnswer adds the settings that changed after the entry's version.
func (c *Control) addSettingsToAnswer(a *wire.Answer, have catalog.Version) {
	if have >= c.state.Version {
		return
	}
	if a.Full = have == 0; a.Full {
		// The same lists for all entries are encoded once for all of them.
		a.Services, a.Routes = c.state.Services, c.state.Routes
	} else {
		a.Services, a.RemovedServices = c.state.ServicesSince(have)
		a.Routes, a.RemovedRoutes = c.state.RoutesSince(have)
	}
	a.TransactionIdle = c.state.TransactionIdle
	a.KeysRequired = c.state.KeysRequired
	a.Organisations, a.RemovedOrganisations = c.state.OrganisationsSince(have)
	if c.state.DrainedVersion > have {
		a.Drained, a.HasDrained = c.state.Drained, true
	}
}

// leaseLength returns the length of a lease that starts at the entry's report.
// The lease ends at most Timings.LeaseLength after the last contact with a
// quorum. A new leader is elected only after that contact and waits at least as
// long from its election, so this lease has expired before it grants one.
func (c *Control) leaseLength(reportedAt catalog.Instant) time.Duration {
	end := c.quorum.LastQuorumContact().Add(c.options.Timings.LeaseLength)
	length := min(end.Sub(reportedAt), c.options.Timings.LeaseLength)
	if !end.After(c.now) {
		return 0
	}
	return max(length, 0)
}

func (c *Control) grantLease(vm catalog.VMID, v *entryView, id catalog.ServiceID, length time.Duration) wire.Lease {
	p := c.state.Primary(id)
	if !p.Ready || c.failovers[id] != nil || v.leaving {
		return wire.Lease{Primary: p}
	}
	until := v.reportedAt.Add(length)
	if held := v.leases[id]; held.epoch < p.Epoch || held.expiresAt < until {
		v.leases[id] = leaseView{epoch: p.Epoch, expiresAt: until}
		c.leaseHolders.add(id, vm)
	}
	return wire.Lease{Primary: p, Length: length}
}

// pushAll sends changed settings to all entries. An entry that needs a long
// configuration gets it with the answer to its next report: a further answer to an
// earlier report is dropped if the entry has lost its leader when it arrives, which
// is more than a second later.
func (c *Control) pushAll() {
	for _, vm := range c.entryVMs() {
		if c.options.DistributesUpstreams && c.entries[vm].settingsVersion == 0 && c.isConfigurationLong() {
			continue
		}
		c.push(vm)
	}
}

// pushService sends a service's primary to the entries that serve the service.
func (c *Control) pushService(id catalog.ServiceID) {
	for _, vm := range c.subscribers.vms(id) {
		c.push(vm, id)
	}
}
