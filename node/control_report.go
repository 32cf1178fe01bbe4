package node

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// entryView is what the leader knows of one entry.
type entryView struct {
	site catalog.SiteID
	// life and sequence order the reports. Invariant: they never go back, but
	// for the life of an entry that was silent.
	life     uint64
	sequence uint64
	// seenAt is when the report with that sequence arrived.
	seenAt   catalog.Instant
	settings catalog.Version
	// aliveWithin is that of the report.
	aliveWithin time.Duration
	leaving     bool
	services    []catalog.ServiceID
	// leases says until when the entry may acknowledge writes of an epoch.
	leases map[catalog.ServiceID]leaseView
	// upstreams is that of the last report.
	upstreams wire.UpstreamsMark
	// membersAt is when the entry was last told of the control VMs.
	membersAt catalog.Instant
	// wantsKept and primaries are those of the last report.
	wantsKept bool
	primaries uint64
	// entries marks the entries of its site that it knew at the last report,
	// pushedAt is when it was told of them without having asked.
	entries  uint64
	pushedAt catalog.Instant
	// sentTo is the version that the entry had when changes were sent to it, and
	// sentUntil when those have arrived.
	sentTo    catalog.Version
	sentUntil catalog.Instant
	// wants are those of the last report that told them.
	wants []wire.Demand
}

type leaseView struct {
	epoch catalog.Epoch
	until catalog.Instant
}

// observation is an entry's first-hand knowledge, turned to the own clock.
type observation struct {
	evidence wire.Evidence
	// at is when the evidence was gathered.
	at catalog.Instant
	// notedAt is when the report with it arrived.
	notedAt catalog.Instant
	// aliveAt is when the upstream last answered; zero if it never did.
	aliveAt  catalog.Instant
	role     catalog.Role
	position catalog.Position
}

// upstreamView is what the leader heard of one upstream.
type upstreamView struct {
	said    catalog.Announcement
	heardAt catalog.Instant
	// revision is the leader's count at the last change that entries must
	// hear of.
	revision uint64
}

func (c *Control) heard(a catalog.Announcement) {
	if !c.leading {
		return
	}
	u := c.upstreams[a.Instance]
	if u == nil {
		c.addUpstream(a)
		return
	}
	if !a.Newer(u.said) {
		return
	}
	if a.Service != u.said.Service {
		c.emit(Count{Name: "announcements-refused", Delta: 1})
		return
	}
	if u.said.Incarnation == a.Incarnation && u.said.Leaving || c.state.IsRetired(a.Instance, a.Incarnation) {
		a.Leaving = true
	}
	changed, moved := differs(u.said, a), isMoved(u.said, a)
	if a.Leaving != u.said.Leaving || a.Role != u.said.Role {
		c.suspect(a.Service)
	}
	u.said, u.heardAt = a, c.now
	if changed {
		c.revise(u)
		c.pushUpstreams()
	}
	if moved {
		c.enroll(a)
	}
}

// pushUpstreams tells the entries of changed upstreams at once.
func (c *Control) pushUpstreams() {
	if c.options.DistributesUpstreams {
		c.pushAll()
	}
}

func (c *Control) addUpstream(a catalog.Announcement) {
	a.Leaving = a.Leaving || c.state.IsRetired(a.Instance, a.Incarnation)
	u := &upstreamView{said: a, heardAt: c.now}
	c.revise(u)
	c.upstreams[a.Instance] = u
	group := append(c.groups[a.Service], u)
	sort.Slice(group, func(i, j int) bool { return group[i].said.Instance < group[j].said.Instance })
	c.groups[a.Service] = group
	c.suspect(a.Service)
	c.warmUp(u)
	c.pushUpstreams()
	c.enroll(a)
}

// subscribe notes which services an entry serves.
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

func (c *Control) report(from catalog.VMID, r wire.Report) {
	site, known := c.options.Entries[from]
	if c.options.Entries == nil {
		site, known = r.Site, true
	}
	if !known || r.VM != from {
		c.emit(Count{Name: "reports-refused", Delta: 1})
		return
	}
	if !c.leading {
		c.emit(SendMessage{To: from, Message: wire.Message{Answer: &wire.Answer{
			Leader: c.quorum.Leader(), Refused: true, Sequence: r.Sequence, Members: c.memberNames(),
		}}})
		return
	}
	v := c.entry(from, site)
	if r.Incarnation == v.life && r.Sequence <= v.sequence || r.Incarnation < v.life && c.isAtWork(v) {
		return
	}
	v.life, v.sequence, v.seenAt = r.Incarnation, r.Sequence, c.now
	v.settings, v.leaving, v.aliveWithin = r.SettingsVersion, r.Leaving, r.AliveWithin
	v.upstreams = r.Upstreams
	c.subscribe(from, v, r.Services)
	for _, a := range r.Announcements {
		c.heard(a)
	}
	bad := c.observe(from, r.Observations)
	if !r.WantsKept {
		c.takeWants(from, v, r.Demands)
	}
	v.wantsKept, v.primaries, v.entries = r.WantsKept, r.PrimariesMark, r.EntriesMark
	if bad {
		c.watchSuspects()
	}
	c.answer(from, v)
}

// isAtWork reports whether an entry has reported of late. One that has not may
// have started again with a clock that went back; a report that an earlier life
// left on its way is taken for such a start only until the next one.
func (c *Control) isAtWork(v *entryView) bool {
	return c.now.Sub(v.seenAt) <= evidenceReports*c.options.Timings.ReportInterval
}

func (c *Control) entry(vm catalog.VMID, site catalog.SiteID) *entryView {
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

// observe notes what an entry saw. It reports whether some of it speaks
// against an upstream.
func (c *Control) observe(vm catalog.VMID, list []wire.Observation) bool {
	bad := false
	for _, o := range list {
		seen := observation{evidence: o.Evidence, at: c.now.Add(-o.Age), notedAt: c.now, role: o.Role, position: o.Position}
		if o.AliveAge >= 0 {
			seen.aliveAt = c.now.Add(-o.AliveAge)
		}
		if c.evidence[o.Instance] == nil {
			c.evidence[o.Instance] = map[catalog.VMID]observation{}
		}
		c.evidence[o.Instance][vm] = seen
		if o.Evidence == wire.EvidenceRefused || o.Evidence == wire.EvidenceSilent {
			c.suspect(o.Service)
			bad = true
		}
	}
	return bad
}

// lastAlive is when an upstream last answered the entry. Reports leave out a
// healthy one that an earlier report told of shortly before; one that the last
// report told of is no such.
func (v *entryView) lastAlive(o observation) catalog.Instant {
	if o.notedAt == v.seenAt || v.aliveWithin == 0 || o.evidence != wire.EvidenceAlive || v.seenAt.Sub(o.notedAt) > 2*repeatHealthy {
		return o.aliveAt
	}
	return max(o.aliveAt, v.seenAt.Add(-v.aliveWithin))
}

// answer answers an entry's report with its leases, grants and settings.
func (c *Control) answer(vm catalog.VMID, v *entryView) {
	a := c.newAnswer(v)
	length := c.leaseLength(v.seenAt)
	if !c.renewAll(a, vm, v, length) {
		c.addLeases(a, vm, v, v.services, length)
	}
	if length > 0 && !v.leaving {
		if c.options.Timings.GrantLength > 0 {
			length = c.options.Timings.GrantLength
		}
		a.Grants = c.grant(vm, v, length)
	}
	c.emit(SendMessage{To: vm, Message: wire.Message{Answer: a}})
}

// push tells an entry what changed, as another answer to its last report: the
// settings and the primaries of the services named. Lengths count from that
// report.
func (c *Control) push(vm catalog.VMID, services ...catalog.ServiceID) {
	v := c.entries[vm]
	a := c.newAnswer(v)
	c.addLeases(a, vm, v, services, c.leaseLength(v.seenAt))
	c.emit(SendMessage{To: vm, Message: wire.Message{Answer: a}})
}

// newAnswer starts an answer with the settings. Without contact to a quorum
// there may be a newer leader and newer settings, and an entry that restarted
// must not get older ones than it had.
func (c *Control) newAnswer(v *entryView) *wire.Answer {
	a := &wire.Answer{Leader: c.options.VM, Sequence: v.sequence}
	switch {
	case !c.inContact():
	case c.isOnItsWay(v):
		// The entry goes on with what it has.
		a.Version = v.settings
	default:
		a.Version = c.state.Version
		c.addSettings(a, v.settings)
		v.sentTo, v.sentUntil = v.settings, c.now.Add(time.Duration(len(a.Routes))*routeTime)
	}
	c.addUpstreams(a, v.upstreams)
	c.addEntries(a, v)
	if c.options.Entries == nil && (v.membersAt == 0 || c.now.Sub(v.membersAt) > tellMembersEvery) {
		v.membersAt = c.now
		a.Members = c.memberNames()
	}
	return a
}

// routeTime is how long a route of some 70 bytes is on its way to an entry with
// 2 Mbit/s and other traffic.
const routeTime = 500 * time.Microsecond

// isOnItsWay reports whether a configuration was sent to the entry that can't
// have arrived yet. With thousands of routes the answers to the next reports
// would otherwise bring it again, and fill the link so that none arrives.
func (c *Control) isOnItsWay(v *entryView) bool {
	return c.options.DistributesUpstreams && v.sentTo == v.settings && c.now.Before(v.sentUntil)
}

// renewAll renews all leases of an entry in one word if it knows the primaries
// in force and none of them is being replaced. It reports whether it has.
func (c *Control) renewAll(a *wire.Answer, vm catalog.VMID, v *entryView, length time.Duration) bool {
	if v.primaries == 0 || v.leaving || length <= 0 {
		return false
	}
	primaries := make([]catalog.Primary, 0, len(v.services))
	for _, id := range v.services {
		if _, ok := c.state.Service(id); !ok || c.failovers[id] != nil {
			return false
		}
		primaries = append(primaries, c.state.Primary(id))
	}
	if wire.MarkPrimaries(primaries) != v.primaries {
		return false
	}
	for _, id := range v.services {
		c.lease(vm, v, id, length)
	}
	a.Renew, a.PrimariesMark = length, v.primaries
	return true
}

func (c *Control) addLeases(a *wire.Answer, vm catalog.VMID, v *entryView, services []catalog.ServiceID, length time.Duration) {
	for _, id := range services {
		if _, ok := c.state.Service(id); ok {
			a.Leases = append(a.Leases, c.lease(vm, v, id, length))
		}
	}
}

// addSettings adds what was changed since the entry's version.
func (c *Control) addSettings(a *wire.Answer, have catalog.Version) {
	if have >= c.state.Version {
		return
	}
	a.Services, a.Removed = c.state.ServicesSince(have)
	a.Routes, a.RemovedRoutes = c.state.RoutesSince(have)
	a.TransactionIdle = c.state.TransactionIdle
	a.Full = have == 0
	if c.state.DrainedVersion > have {
		a.Drained, a.HasDrained = c.state.Drained, true
	}
}

// leaseLength is how long a lease may run that counts from sentAt. It ends no
// later than the lease time after the last contact with a quorum, since a new
// leader counts from its election, which came after that contact.
func (c *Control) leaseLength(seenAt catalog.Instant) time.Duration {
	end := c.quorum.LastQuorumContact().Add(c.options.Timings.LeaseLength)
	length := min(end.Sub(seenAt), c.options.Timings.LeaseLength)
	if !end.After(c.now) {
		return 0
	}
	return max(length, 0)
}

func (c *Control) lease(vm catalog.VMID, v *entryView, id catalog.ServiceID, length time.Duration) wire.Lease {
	p := c.state.Primary(id)
	if !p.Ready || c.failovers[id] != nil || v.leaving {
		return wire.Lease{Primary: p}
	}
	until := v.seenAt.Add(length)
	if held := v.leases[id]; held.epoch < p.Epoch || held.until < until {
		v.leases[id] = leaseView{epoch: p.Epoch, until: until}
		c.holders.add(id, vm)
	}
	return wire.Lease{Primary: p, Length: length}
}

// pushAll tells all entries of changed settings.
func (c *Control) pushAll() {
	for _, vm := range c.entryNames() {
		c.push(vm)
	}
}

// pushService tells the entries that serve a service of its primary.
func (c *Control) pushService(id catalog.ServiceID) {
	for _, vm := range c.subscribers.names(id) {
		c.push(vm, id)
	}
}

func (c *Control) entryNames() []catalog.VMID {
	return slices.Sorted(maps.Keys(c.entries))
}

// forgetEntries drops entries that are long silent and hold nothing.
func (c *Control) forgetEntries() {
	for _, vm := range c.entryNames() {
		if v := c.entries[vm]; v.seenAt.Add(forgetAfter).Before(c.now) {
			c.forgetEntry(vm, v)
		}
	}
}

func (c *Control) forgetEntry(vm catalog.VMID, v *entryView) {
	delete(c.entries, vm)
	c.subscribe(vm, v, nil)
	for id := range v.leases {
		c.holders.remove(id, vm)
	}
	for _, seen := range c.evidence {
		delete(seen, vm)
	}
	for _, of := range c.allocations {
		delete(of, vm)
	}
}

const (
	forgetAfter = time.Minute
	// tellMembersEvery is the time between two lists of the control VMs to an
	// entry, short against the life of a control VM.
	tellMembersEvery = 2 * time.Second
)

// serviceVMs lists entries by service.
type serviceVMs map[catalog.ServiceID]map[catalog.VMID]bool

func (m serviceVMs) add(id catalog.ServiceID, vm catalog.VMID) {
	if m[id] == nil {
		m[id] = map[catalog.VMID]bool{}
	}
	m[id][vm] = true
}

func (m serviceVMs) remove(id catalog.ServiceID, vm catalog.VMID) {
	delete(m[id], vm)
}

// names returns the entries of a service in order.
func (m serviceVMs) names(id catalog.ServiceID) []catalog.VMID {
	return slices.Sorted(maps.Keys(m[id]))
}
