package node

import (
	"slices"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/quorum"
	"github.com/kingcupknot/kingcupknot/registry"
	"github.com/kingcupknot/kingcupknot/wire"
)

// ControlOptions sets up a control reducer.
type ControlOptions struct {
	VM      catalog.VMID
	Timings catalog.Timings
	// Members are the control VMs of the settings, in order.
	Members []catalog.VMID
	// Entries says which entry VMs exist and where. Grants are counted
	// against it, so that a VM that is not listed gets none. Nil takes any
	// entry that reports.
	Entries map[catalog.VMID]catalog.SiteID
	// DistributesUpstreams is set where upstreams announce themselves to control
	// alone, which tells the entries of them.
	DistributesUpstreams bool
	// Voters is how many members shall have a vote. Control then adds and
	// replaces members by itself; zero leaves that to operators.
	Voters int
	// SurveyTimeout and PromoteTries take the place of the defaults if not zero.
	SurveyTimeout   time.Duration
	PromoteAttempts int
	// Services is the configuration proposed by the first leader if there is
	// none yet.
	Services []catalog.Service
	// Saved is what the data folder held at the start.
	Saved         quorum.PersistentState
	SnapshotAfter int
	Seed          uint64
}

// Control is the reducer of a control VM.
type Control struct {
	options ControlOptions
	quorum  *quorum.Group
	state   *registry.State
	// applied is the last record that state holds.
	applied quorum.Index
	now     catalog.Instant
	effects []Effect
	timer   catalog.Instant
	// draining is set during a planned stop, which drainBy bounds.
	draining bool
	drainBy  catalog.Instant
	stopped  bool
	// entriesAt counts the entry VMs of each site.
	entriesAt map[catalog.SiteID]int

	// What follows is the leader's own and is lost with its leadership.

	leading bool
	// graceEnds is when every lease and grant of earlier leaders has run out.
	graceEnds catalog.Instant
	entries   map[catalog.VMID]*entryView
	upstreams map[catalog.InstanceID]*upstreamView
	// groups holds the same by service, each in the order of their ids.
	groups map[catalog.ServiceID][]*upstreamView
	// subscribers are the entries that serve a service, holders those that
	// were given a lease and have not given it back.
	subscribers serviceVMs
	holders     serviceVMs
	// allocations says who has and wants how many of an upstream's connections.
	allocations map[catalog.InstanceID]map[catalog.VMID]*allocation
	failovers   map[catalog.ServiceID]*failover
	// proposals are the operators' commands that wait for a record.
	proposals map[quorum.Index]uint64
	joins     map[catalog.VMID]catalog.Incarnation
	// evidence is what each entry saw of each upstream.
	evidence map[catalog.InstanceID]map[catalog.VMID]observation
	// suspects are looked at in every sweep until the instant given.
	suspects   map[catalog.ServiceID]catalog.Instant
	watchAllAt catalog.Instant
	surveys    uint64
	followAt   catalog.Instant
	warmAt     catalog.Instant
	joinAt     catalog.Instant
	sweepAt    catalog.Instant
	seeded     bool
	// sites are the entries at work, as of the last look before sitesAt.
	sites   map[catalog.SiteID]siteView
	sitesAt catalog.Instant
	// revision numbers the changes of upstreams. Invariant: it never goes back
	// within a life of the VM, also over changes of leader.
	revision uint64
	// unreachable says since when a member has not answered.
	unreachable map[catalog.VMID]catalog.Instant
	replacing   *replacement

	// leaseHeld tells whether an entry may still hold a lease. Tests put a
	// broken one here to show that the proofs see it.
	leaseHeld func(until, now catalog.Instant) bool
	// enough is another such seam.
	enough func(catalog.Service, *failover, catalog.InstanceID) bool
}

// NewControl returns the reducer of a control VM that starts at now.
func NewControl(o ControlOptions, now catalog.Instant) (*Control, error) {
	state, err := registry.Restore(o.Saved.Snapshot.Data)
	if err != nil {
		return nil, err
	}
	c := &Control{options: o, state: state, applied: o.Saved.Snapshot.Index, now: now}
	c.quorum = quorum.New(quorum.Settings{
		HeartbeatInterval: o.Timings.HeartbeatInterval,
		ElectionTimeout:   o.Timings.ElectionTimeout,
		SnapshotAfter:     o.SnapshotAfter,
		Seed:              o.Seed,
	}, now, o.Saved)
	c.entriesAt = map[catalog.SiteID]int{}
	for _, site := range o.Entries {
		c.entriesAt[site]++
	}
	c.leaseHeld = func(until, now catalog.Instant) bool { return now < until }
	c.enough = c.enoughAnswers
	c.resetLeadership()
	return c, nil
}

func (c *Control) resetLeadership() {
	c.leading = false
	c.entries = map[catalog.VMID]*entryView{}
	c.upstreams = map[catalog.InstanceID]*upstreamView{}
	c.groups = map[catalog.ServiceID][]*upstreamView{}
	c.subscribers, c.holders = serviceVMs{}, serviceVMs{}
	c.allocations = map[catalog.InstanceID]map[catalog.VMID]*allocation{}
	c.failovers = map[catalog.ServiceID]*failover{}
	c.proposals = map[quorum.Index]uint64{}
	c.evidence = map[catalog.InstanceID]map[catalog.VMID]observation{}
	c.suspects = map[catalog.ServiceID]catalog.Instant{}
	c.watchAllAt, c.warmAt, c.sitesAt = 0, 0, 0
	c.sites = map[catalog.SiteID]siteView{}
	c.revision = max(c.revision+1, uint64(c.now))
	c.unreachable = map[catalog.VMID]catalog.Instant{}
	c.replacing = nil
	if c.joins == nil {
		c.joins = map[catalog.VMID]catalog.Incarnation{}
	}
}

// Step takes one event and returns what is to be done, in order.
func (c *Control) Step(e Event) []Effect {
	if e.Now.After(c.now) {
		c.now = e.Now
	}
	c.effects = nil
	c.take(e.Input)
	c.tick()
	return c.effects
}

func (c *Control) take(in Input) {
	switch v := in.(type) {
	case TimerFired:
		c.drive(c.quorum.Tick(c.now))
	case MessageReceived:
		c.receive(v)
	case Persisted:
		c.drive(c.quorum.MarkSynced(c.now, v.Token))
	case AnnouncementReceived:
		c.heard(v.Announcement)
	case SurveyDone:
		c.surveyed(v)
	case PromoteDone:
		c.promoted(v)
	case CommandReceived:
		c.operate(v)
	case DrainRequested:
		c.drain()
	case SeedsChanged:
		c.options.Members = v.Control
	}
}

func (c *Control) receive(p MessageReceived) {
	m := p.Message
	switch {
	case m.Quorum != nil:
		out, err := c.quorum.Receive(c.now, p.From, m.Quorum.Body)
		if err != nil {
			c.emit(Count{Name: "quorum-frames-refused", Delta: 1})
			c.emit(Log{Level: LevelError, Part: "quorum", Text: "Refused a message.", Pairs: []string{"from", string(p.From), "cause", err.Error()}})
			return
		}
		c.drive(out)
	case m.Report != nil:
		c.report(p.From, *m.Report)
	case m.FenceAck != nil:
		c.fenced(*m.FenceAck)
	case m.Announcement != nil:
		c.heard(*m.Announcement)
	case m.Join != nil:
		c.joined(p.From, *m.Join)
	}
}

// tick does what is due, whatever the event was.
func (c *Control) tick() {
	if c.quorum.NextTick() <= c.now {
		c.drive(c.quorum.Tick(c.now))
	}
	c.watchLeadership()
	if c.leading && c.sweepAt <= c.now {
		c.sweepAt = c.now.Add(sweepEvery)
		c.sweep()
	}
	c.join()
	c.settleDrain()
	at := c.quorum.NextTick()
	if c.draining && !c.stopped {
		at = min(at, c.drainBy)
	}
	if c.leading && c.sweepAt < at {
		at = c.sweepAt
	}
	if at != c.timer {
		c.timer = at
		c.emit(SetTimer{At: at})
	}
}

func (c *Control) emit(e Effect) {
	c.effects = append(c.effects, e)
}

func (c *Control) log(part, text string, pairs ...string) {
	c.emit(Log{Part: part, Text: text, Pairs: pairs})
}

// watchLeadership notices that this VM became the leader or is one no more.
func (c *Control) watchLeadership() {
	leading := c.quorum.Leading()
	if leading == c.leading {
		return
	}
	waiting := c.waitingCommands()
	c.resetLeadership()
	c.leading = leading
	if !leading {
		c.log("control", "Leads no more.")
		c.abandon(waiting)
		return
	}
	t := c.options.Timings
	c.graceEnds = c.quorum.LeaderSince().Add(t.LeaseLength + t.Drift)
	c.sweepAt = c.now
	c.recallUpstreams()
	c.log("control", "Leads now.")
}

// waitingCommands lists the operators' commands that have no answer yet.
func (c *Control) waitingCommands() []uint64 {
	var numbers []uint64
	for _, n := range c.proposals {
		numbers = append(numbers, n)
	}
	for _, f := range c.failovers {
		numbers = append(numbers, f.number)
	}
	if c.replacing != nil {
		numbers = append(numbers, c.replacing.number)
	}
	numbers = slices.DeleteFunc(numbers, func(n uint64) bool { return n == 0 })
	slices.Sort(numbers)
	return numbers
}

func (c *Control) abandon(numbers []uint64) {
	for _, n := range numbers {
		c.emit(AnswerCommand{Number: n, Reply: Reply{
			Code: ReplyUnknown, Leader: c.quorum.Leader(), RetryAfter: c.options.Timings.ElectionTimeout,
			Text: "The leader changed before the change was agreed on. Send it again with the same change id.",
		}})
	}
}

// sweep looks after everything that only time brings about.
func (c *Control) sweep() {
	c.seed()
	c.watchSites()
	c.watchSuspects()
	c.followPrimaries()
	c.warm()
	c.finishReplacement()
	c.settleMembers()
}

// seed proposes the settings' services if nothing was ever accepted.
func (c *Control) seed() {
	if c.seeded || c.state.Version != 0 || len(c.options.Services) == 0 {
		return
	}
	c.seeded = true
	c.propose(registry.Change{
		ID:      "first-settings",
		Replace: &registry.ReplaceServices{Services: c.options.Services},
	}, 0)
}

// drain begins a planned stop: a leader hands its leadership over first.
func (c *Control) drain() {
	c.draining = true
	c.drainBy = c.now.Add(2 * c.options.Timings.ElectionTimeout)
	c.drive(c.quorum.TransferLeadership(c.now))
}

// settleDrain ends a planned stop once another VM leads, or in a short while.
func (c *Control) settleDrain() {
	if !c.draining || c.stopped {
		return
	}
	leader := c.quorum.Leader()
	if leader == "" || leader == c.options.VM {
		if c.now.Before(c.drainBy) {
			return
		}
	}
	c.stopped = true
	c.emit(Stopped{})
}

// join makes a VM that is no member known to the others.
func (c *Control) join() {
	self := c.options.Saved.Self
	for _, m := range c.quorum.Members() {
		if m.VM == self.VM && m.Incarnation == self.Incarnation {
			return
		}
	}
	if c.joinAt > c.now {
		return
	}
	c.joinAt = c.now.Add(joinAgain)
	for _, vm := range c.askToJoin() {
		if vm != self.VM {
			c.emit(SendMessage{To: vm, Message: wire.Message{Join: &wire.Join{VM: self.VM, Incarnation: self.Incarnation}}})
		}
	}
}
