package node

import (
	"slices"
	"strconv"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/quorum"
	"github.com/kingcupknot/kingcupknot/registry"
	"github.com/kingcupknot/kingcupknot/wire"
)

// Control is the reducer of a control VM.
type Control struct {
	options ControlOptions
	quorum  *quorum.Group
	state   *registry.State
	// appliedIndex is the index of the last record applied to state.
	appliedIndex quorum.Index
	now          catalog.Instant
	effects      []Effect
	timerAt      catalog.Instant
	// draining is set during a planned stop, which drainDeadline limits. The stop
	// waits until flushedAt, so that the last messages are sent.
	draining      bool
	drainDeadline catalog.Instant
	flushedAt     catalog.Instant
	stopped       bool
	// uninformedEntries holds the entries that reported to this VM while it led
	// or knew no leader, with the sequences of their last reports. They are told
	// who leads as soon as this VM knows.
	uninformedEntries map[catalog.VMID]uint64
	// entryCounts holds the number of entry VMs of each site.
	entryCounts map[catalog.SiteID]int

	// The fields below are the leader's; most are cleared by resetLeaderState.

	isLeader bool
	// graceEndsAt is when all leases and grants of earlier leaders have expired.
	graceEndsAt catalog.Instant
	entries     map[catalog.VMID]*entryView
	upstreams   map[catalog.InstanceID]*upstreamView
	// upstreamsByService holds the same upstreams, sorted by instance id.
	upstreamsByService map[catalog.ServiceID][]*upstreamView
	// subscribers are the entries that serve a service. leaseHolders are those
	// that were granted a lease on its primary and have not given the lease up.
	subscribers  serviceVMs
	leaseHolders serviceVMs
	// allocations holds the connections of each upstream by entry.
	allocations map[catalog.InstanceID]map[catalog.VMID]*allocation
	// allocationRevisions counts the changes of each upstream's allocations.
	allocationRevisions map[catalog.InstanceID]uint64
	failovers           map[catalog.ServiceID]*failover
	// surveyed holds the services that were surveyed, those with open surveys at
	// least.
	surveyed map[catalog.ServiceID]bool
	// proposals maps proposed records to the commands that wait for the commit.
	proposals    map[quorum.Index]uint64
	joinRequests map[catalog.VMID]catalog.Incarnation
	// observations holds what each entry last observed of each upstream.
	observations map[catalog.InstanceID]map[catalog.VMID]observation
	// spentEpochs holds the highest epoch of each service for which an entry has
	// reported that it accepts no leases any more. A leader that ends between the
	// fence and the election leaves such an epoch behind as that of a ready
	// primary. Invariant: the way on is an election, which waits for all leases of
	// the epoch; no entry is asked to accept leases of the epoch again.
	spentEpochs map[catalog.ServiceID]catalog.Epoch
	// noPrimarySince holds since when this leader has known instances of a service that
	// never had a primary.
	noPrimarySince map[catalog.ServiceID]catalog.Instant
	// primaryQueries holds the last queries to primaries that no entry has heard,
	// and nextQueryAt is when the next one may be sent.
	primaryQueries map[catalog.InstanceID]*primaryQuery
	nextQueryAt    catalog.Instant
	// lateUntil is until when no observation counts as this VM was late.
	lateUntil catalog.Instant
	// suspectUntil holds until when every sweep checks a suspected service.
	suspectUntil map[catalog.ServiceID]catalog.Instant
	// lastChecked is the last service that a sweep checked of more than one sweep
	// may check.
	lastChecked             catalog.ServiceID
	nextFullCheckAt         catalog.Instant
	lastSurveyNumber        uint64
	nextFollowAt            catalog.Instant
	nextKeepaliveAt         catalog.Instant
	nextJoinAt              catalog.Instant
	nextSweepAt             catalog.Instant
	initialServicesProposed bool
	// waitingEnrollments are proposed by the first sweep at or after nextEnrollmentAt.
	// immediateEnrollments counts the upstreams to enroll until
	// enrollmentWindowEndsAt.
	waitingEnrollments                       []catalog.Announcement
	immediateEnrollments                     int
	nextEnrollmentAt, enrollmentWindowEndsAt catalog.Instant
	// sites holds the active entries of each site.
	sites siteLists
	// limits divides the limits of organisations among the entries.
	limits  controlLimits
	balance controlBalance
	// revision counts the changes of upstreams. It never decreases while the
	// process runs, not even when leadership changes.
	revision uint64
	// changes holds the changes of upstreams by ascending revision. While thousands
	// of upstreams start, 1,500 answers a second need those since some revision.
	changes []upstreamChange
	// leaderName is the result of listLeader, empty before the first call.
	leaderName catalog.VMID
	// listDigest identifies the upstreams whatever leader sent them, and
	// revisionByDigest holds the revisions of earlier digests.
	listDigest       uint64
	revisionByDigest map[uint64]uint64
	// leaving holds the upstreams that began to leave under this leader, until all
	// entries that report have confirmed it.
	leaving []leavingUpstream
	// pushedRevision is the revision that was last pushed to the entries, and
	// nextPushAt is when a later one may be pushed.
	pushedRevision uint64
	nextPushAt     catalog.Instant
	refusals       refusals
	// unreachableSince holds since when a member has not responded.
	unreachableSince map[catalog.VMID]catalog.Instant
	replacement      *replacement

	// isLeaseHeld reports whether an entry may still hold a lease. Tests
	// replace it to verify that they detect a broken fence.
	isLeaseHeld func(until, now catalog.Instant) bool
	// isSurveySufficient reports whether a survey has enough answers to elect a
	// primary. Tests replace it for the same purpose.
	isSurveySufficient func(catalog.Service, *failover, catalog.InstanceID) bool
}

// NewControl returns the reducer of a control VM that starts at now. It fails
// if the saved snapshot can't be decoded.
func NewControl(o ControlOptions, now catalog.Instant) (*Control, error) {
	state, err := registry.Restore(o.Saved.Snapshot.Data)
	if err != nil {
		return nil, err
	}
	c := &Control{
		options: o, state: state, appliedIndex: o.Saved.Snapshot.Index, now: now,
		uninformedEntries: map[catalog.VMID]uint64{}, sites: siteLists{leaderlessSince: now},
	}
	c.quorum = quorum.New(quorum.Settings{
		HeartbeatInterval: o.Timings.HeartbeatInterval,
		ElectionTimeout:   o.Timings.ElectionTimeout,
		SnapshotAfter:     o.SnapshotAfter, SnapshotAfterBytes: o.SnapshotAfterBytes,
		Seed: o.Seed,
	}, now, o.Saved)
	c.entryCounts = map[catalog.SiteID]int{}
	for _, site := range o.Entries {
		c.entryCounts[site]++
	}
	c.isLeaseHeld = func(until, now catalog.Instant) bool { return now < until }
	c.isSurveySufficient = c.surveySuffices
	c.resetLeaderState()
	return c, nil
}

func (c *Control) resetLeaderState() {
	c.isLeader = false
	c.entries = map[catalog.VMID]*entryView{}
	c.upstreams = map[catalog.InstanceID]*upstreamView{}
	c.upstreamsByService = map[catalog.ServiceID][]*upstreamView{}
	c.subscribers, c.leaseHolders = serviceVMs{}, serviceVMs{}
	c.allocations = map[catalog.InstanceID]map[catalog.VMID]*allocation{}
	c.allocationRevisions = map[catalog.InstanceID]uint64{}
	c.failovers = map[catalog.ServiceID]*failover{}
	c.surveyed = map[catalog.ServiceID]bool{}
	c.proposals = map[quorum.Index]uint64{}
	c.observations = map[catalog.InstanceID]map[catalog.VMID]observation{}
	c.spentEpochs = map[catalog.ServiceID]catalog.Epoch{}
	c.noPrimarySince = map[catalog.ServiceID]catalog.Instant{}
	c.primaryQueries, c.nextQueryAt = map[catalog.InstanceID]*primaryQuery{}, 0
	c.suspectUntil = map[catalog.ServiceID]catalog.Instant{}
	c.nextFullCheckAt, c.nextKeepaliveAt, c.nextPushAt, c.lateUntil = 0, 0, 0, 0
	c.resetLimits()
	c.balance = controlBalance{}
	c.sites.views, c.sites.nextUpdateAt, c.sites.awaited = nil, 0, nil
	c.waitingEnrollments, c.immediateEnrollments = nil, 0
	c.changes, c.listDigest, c.revisionByDigest, c.leaving, c.leaderName = nil, 0, nil, nil, ""
	c.revision = max(c.revision+1, uint64(c.now))
	c.unreachableSince = map[catalog.VMID]catalog.Instant{}
	c.replacement = nil
	if c.joinRequests == nil {
		c.joinRequests = map[catalog.VMID]catalog.Incarnation{}
	}
}

// Step handles one event and returns the effects to execute, in order.
func (c *Control) Step(e Event) []Effect {
	c.effects = nil
	c.detectLateness(e.Now)
	if e.Now.After(c.now) {
		c.now = e.Now
	}
	c.handle(e.Input)
	c.runDue()
	return c.effects
}

func (c *Control) handle(in Input) {
	switch v := in.(type) {
	case TimerFired:
		c.applyQuorumOutput(c.quorum.Tick(c.now))
	case MessageReceived:
		c.handleMessage(v)
	case Persisted:
		c.applyQuorumOutput(c.quorum.MarkSynced(c.now, v.Token))
	case AnnouncementReceived:
		c.handleAnnouncement(v.Announcement)
	case SurveyDone:
		c.handleSurveyDone(v)
	case PromoteDone:
		c.handlePromoteDone(v)
	case CommandReceived:
		c.handleCommand(v)
	case DrainRequested:
		c.startDrain()
	case SeedsChanged:
		c.options.Members = v.Control
	}
}

func (c *Control) handleMessage(p MessageReceived) {
	m := p.Message
	switch {
	case m.Quorum != nil:
		out, err := c.quorum.Receive(c.now, p.From, m.Quorum.Body)
		if err != nil {
			c.emit(Count{Name: "quorum-frames-refused", Delta: 1})
			c.emit(Log{Level: LevelError, Part: "quorum", Text: "Rejected a quorum message.", Pairs: []string{"from", string(p.From), "cause", err.Error()}})
			return
		}
		c.applyQuorumOutput(out)
	case m.Report != nil:
		c.handleReport(p.From, *m.Report)
	case m.FenceAck != nil:
		c.handleFenceAck(*m.FenceAck)
	case m.Announcement != nil:
		c.handleAnnouncement(*m.Announcement)
	case m.Join != nil:
		c.handleJoin(p.From, *m.Join)
	}
}

// runDue runs the tasks that are due and sets the timer for the next one.
func (c *Control) runDue() {
	if c.quorum.NextTick() <= c.now {
		c.applyQuorumOutput(c.quorum.Tick(c.now))
	}
	c.updateLeadership()
	c.recordKnownLeader()
	if c.isLeader && c.nextSweepAt <= c.now {
		c.nextSweepAt = c.now.Add(sweepInterval)
		c.sweep()
	}
	c.requestJoin()
	c.announceLeader()
	c.finishDrain()
	at := c.quorum.NextTick()
	if c.draining && !c.stopped {
		at = min(at, c.drainDeadline)
		if c.flushedAt.After(c.now) {
			at = min(at, c.flushedAt)
		}
	}
	if c.isLeader && c.nextSweepAt < at {
		at = c.nextSweepAt
	}
	if at != c.timerAt {
		c.timerAt = at
		c.emit(SetTimer{At: at})
	}
}

func (c *Control) emit(e Effect) {
	c.effects = append(c.effects, e)
}

func (c *Control) log(part, text string, pairs ...string) {
	c.emit(Log{Part: part, Text: text, Pairs: pairs})
}

// updateLeadership resets the leader's state if this VM gained or lost the lead.
func (c *Control) updateLeadership() {
	leading := c.quorum.Leading()
	if leading == c.isLeader {
		return
	}
	waiting := c.pendingCommands()
	if !leading {
		for vm, v := range c.entries {
			c.uninformedEntries[vm] = v.sequence
		}
	}
	c.resetLeaderState()
	c.isLeader = leading
	if !leading {
		c.emit(CancelPromotions{})
		c.log("control", "Leads no more.")
		c.failCommands(waiting)
		return
	}
	t := c.options.Timings
	c.sites.awaitEntries(c.uninformedEntries, t.ReportInterval/leaderSearchFactor, c.now)
	c.graceEndsAt = c.quorum.LeaderSince().Add(t.LeaseLength + t.MaxDrift)
	c.nextSweepAt = c.now
	c.restoreUpstreams()
	c.log("control", "Leads now.", "upstreams", strconv.Itoa(len(c.upstreams)), "retired", strconv.Itoa(len(c.state.Retired)))
}

// pendingCommands returns the numbers of the unanswered operators' commands.
func (c *Control) pendingCommands() []uint64 {
	var numbers []uint64
	for _, n := range c.proposals {
		numbers = append(numbers, n)
	}
	for _, f := range c.failovers {
		numbers = append(numbers, f.commandNumber)
	}
	if c.replacement != nil {
		numbers = append(numbers, c.replacement.commandNumber)
	}
	numbers = slices.DeleteFunc(numbers, func(n uint64) bool { return n == 0 })
	slices.Sort(numbers)
	return numbers
}

func (c *Control) failCommands(numbers []uint64) {
	for _, n := range numbers {
		c.emit(AnswerCommand{Number: n, Reply: Reply{
			Code: ReplyUnknown, Leader: c.quorum.Leader(), RetryAfter: c.options.Timings.ElectionTimeout,
			Text: "The leader changed before the change was agreed on. Send it again with the same change id.",
		}})
	}
}

// sweep runs the leader's periodic checks.
func (c *Control) sweep() {
	c.proposeInitialServices()
	c.proposeEnrollments()
	c.updateSites()
	c.updateSiteShares()
	c.pushChangedUpstreams()
	c.reportLeaving()
	c.checkSuspects()
	c.followPrimaries()
	c.keepConnectionsOpen()
	c.advanceReplacement()
	c.adjustMembers()
}

// requestJoin asks other control VMs to admit this VM if it is not a member.
func (c *Control) requestJoin() {
	self := c.options.Saved.Self
	for _, m := range c.quorum.Members() {
		if m.VM == self.VM && m.Incarnation == self.Incarnation {
			return
		}
	}
	if c.nextJoinAt > c.now {
		return
	}
	c.nextJoinAt = c.now.Add(joinRetryInterval)
	for _, vm := range c.joinTargets() {
		if vm != self.VM {
			c.emit(SendMessage{To: vm, Message: wire.Message{Join: &wire.Join{VM: self.VM, Incarnation: self.Incarnation}}})
		}
	}
}
