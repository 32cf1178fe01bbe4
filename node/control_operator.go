package node

import (
	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/quorum"
	"github.com/kingcupknot/kingcupknot/registry"
)

// handleCommand executes an operator's command. A VM that is not the leader, or
// has no contact to a quorum, answers with the leader's name if it is known.
func (c *Control) handleCommand(o CommandReceived) {
	if o.Command.Announce != nil {
		a := o.Command.Announce.Announcement
		if err := a.Check(); err != nil {
			c.effects = append(c.effects, c.refusals.refuse(c.now, a, err)...)
			c.reply(o.Number, Reply{Code: ReplyInvalid, Version: c.state.Version, Text: "announcement: " + err.Error()})
			return
		}
	}
	if !c.isLeader && o.Command.Announce != nil && c.relayAnnouncement(o.Command.Announce.Announcement) {
		c.reply(o.Number, Reply{Code: ReplyOK, Version: c.state.Version})
		return
	}
	if o.Command.Explain != nil {
		c.reply(o.Number, Reply{Code: ReplyInvalid, Version: c.state.Version, Text: "Only entries know where requests go. Ask the metrics address of an entry."})
		return
	}
	if !c.isLeader || !c.hasQuorumContact() {
		c.reply(o.Number, Reply{
			Code: ReplyNotLeader, Leader: c.quorum.Leader(), RetryAfter: c.options.Timings.ElectionTimeout,
			Text: "This VM does not lead. Ask the leader, or come back shortly.",
		})
		return
	}
	cmd := o.Command
	switch {
	case cmd.Status != nil:
		c.reply(o.Number, Reply{Code: ReplyOK, Version: c.state.Version, Status: c.status()})
	case cmd.History != nil:
		c.reply(o.Number, Reply{Code: ReplyOK, Version: c.state.Version, History: c.history(cmd.History.Limit)})
	case cmd.Settings != nil:
		c.reply(o.Number, Reply{Code: ReplyOK, Version: c.state.Version, Services: c.state.Services, Routes: c.state.Routes, Document: c.state.Document})
	case cmd.Organisations != nil:
		c.reply(o.Number, Reply{Code: ReplyOK, Version: c.state.Version, Organisations: c.organisations()})
	case cmd.Adopt != nil:
		c.adoptSettings(o.Number, cmd.Adopt.Configuration)
	case cmd.Announce != nil:
		c.handleAnnounceCommand(o.Number, cmd.Announce.Announcement)
	case cmd.Retire != nil:
		c.retireUpstream(o.Number, *cmd.Retire)
	case cmd.Switch != nil:
		c.switchPrimary(o.Number, *cmd.Switch)
	case cmd.Replace != nil:
		c.replaceMember(o.Number, *cmd.Replace)
	default:
		c.proposeCommand(o.Number, cmd)
	}
}

// organisations returns the organisations in force, without their keys.
func (c *Control) organisations() []OrganisationStatus {
	out := make([]OrganisationStatus, 0, len(c.state.Organisations))
	for _, o := range c.state.Organisations {
		out = append(out, OrganisationStatus{
			ID: o.ID, Keys: len(o.Keys), Priority: o.Priority, Rate: o.Rate, Burst: o.Burst, Limited: c.limits.allocator.IsLimited(o.ID),
		})
	}
	return out
}

// hasQuorumContact reports whether a quorum responded within the last election
// timeout. Otherwise another VM may lead, and this VM's state may be stale.
func (c *Control) hasQuorumContact() bool {
	return c.now.Before(c.quorum.LastQuorumContact().Add(c.options.Timings.ElectionTimeout))
}

func (c *Control) reply(number uint64, r Reply) {
	c.emit(AnswerCommand{Number: number, Reply: r})
}

func (c *Control) proposeCommand(number uint64, cmd Command) {
	change := registry.Change{ID: cmd.Change, IfVersion: cmd.IfVersion}
	switch {
	case cmd.Apply != nil:
		change.Replace = &registry.ReplaceServices{Services: cmd.Apply.Services}
	case cmd.Create != nil:
		change.Create = &registry.CreateService{Service: cmd.Create.Service}
	case cmd.Remove != nil:
		change.Remove = &registry.RemoveService{Service: cmd.Remove.Service}
	case cmd.Drain != nil:
		change.Drain = &registry.DrainUpstream{Instance: cmd.Drain.Instance, Off: cmd.Drain.Off}
	default:
		c.reply(number, Reply{Code: ReplyInvalid, Version: c.state.Version, Text: "The command is empty."})
		return
	}
	for _, s := range newServices(cmd) {
		if err := catalog.CheckText("service", string(s.ID)); err != nil {
			c.reply(number, Reply{Code: ReplyInvalid, Version: c.state.Version, Text: err.Error()})
			return
		}
	}
	if cmd.Change == "" {
		c.reply(number, Reply{Code: ReplyInvalid, Version: c.state.Version, Text: "A changing command needs a change id."})
		return
	}
	c.proposeForCommand(number, change)
}

// newServices returns the services that a command adds or changes. Their ids are
// checked here and not by the registry, whose decisions on records in the log must be
// those of earlier builds.
func newServices(cmd Command) []catalog.Service {
	switch {
	case cmd.Apply != nil:
		return cmd.Apply.Services
	case cmd.Create != nil:
		return []catalog.Service{cmd.Create.Service}
	}
	return nil
}

func (c *Control) switchPrimary(number uint64, cmd SwitchPrimary) {
	s, ok := c.state.Service(cmd.Service)
	p := c.state.Primary(cmd.Service)
	switch {
	case !ok:
		c.reply(number, Reply{Code: ReplyNotFound, Version: c.state.Version, Text: "There is no such service."})
	case c.failovers[cmd.Service] != nil || !p.Ready:
		c.reply(number, Reply{Code: ReplyConflict, Version: c.state.Version, RetryAfter: catchUpTimeout, Text: "A change of primary is in progress. Come back when it is over."})
	case cmd.Instance != "" && c.upstreams[cmd.Instance] == nil:
		c.reply(number, Reply{Code: ReplyNotFound, Version: c.state.Version, Text: "No such upstream announced itself."})
	case cmd.Instance == p.Instance:
		c.reply(number, Reply{Code: ReplyOK, Version: c.state.Version, Text: "It is the primary already."})
	case !c.hasUsableReplica(p):
		c.reply(number, Reply{Code: ReplyConflict, Version: c.state.Version, Text: "No replica can take over."})
	default:
		c.startFailover(s, p, failoverSwitch, cmd.Instance).commandNumber = number
	}
}

func (c *Control) history(limit int) []Change {
	var out []Change
	for i := len(c.state.Results) - 1; i >= 0; i-- {
		if limit > 0 && len(out) == limit {
			break
		}
		if r := c.state.Results[i]; r.Code == registry.CodeOK {
			out = append(out, Change{Version: r.Version, Change: r.ID, Text: r.Text})
		}
	}
	return out
}

func (c *Control) status() *Status {
	st := &Status{Leader: c.options.VM, Version: c.state.Version, Members: c.memberStatus()}
	for _, s := range c.state.Services {
		v := ServiceStatus{Service: s, Primary: c.state.Primary(s.ID)}
		if f := c.failovers[s.ID]; f != nil {
			v.Phase = phaseNames[f.phase]
		}
		for _, vm := range c.leaseHolders.vms(s.ID) {
			if left := c.entries[vm].leases[s.ID].expiresAt.Sub(c.now); left > 0 {
				v.LeaseHolders, v.LeaseLeft = v.LeaseHolders+1, max(v.LeaseLeft, left)
			}
		}
		st.Services = append(st.Services, v)
		for _, u := range c.instancesOf(s.ID) {
			st.Upstreams = append(st.Upstreams, c.upstreamStatus(u))
		}
	}
	for _, vm := range c.entryVMs() {
		v := c.entries[vm]
		st.Entries = append(st.Entries, EntryStatus{VM: vm, Site: v.site, Settings: v.settingsVersion, ReportAge: c.now.Sub(v.reportedAt)})
	}
	return st
}

func (c *Control) upstreamStatus(u *upstreamView) UpstreamStatus {
	granted := 0
	for _, l := range c.allocations[u.announcement.Instance] {
		granted += l.outstanding(c.now)
	}
	return UpstreamStatus{
		Announcement: u.announcement, AnnouncementAge: c.now.Sub(u.announcedAt),
		Draining: c.state.IsDrained(u.announcement.Instance), Granted: granted,
	}
}

func (c *Control) memberStatus() []MemberStatus {
	var out []MemberStatus
	committed := c.quorum.CommitIndex()
	for _, p := range c.quorum.Progress() {
		out = append(out, MemberStatus{
			VM: p.Member.VM, Incarnation: p.Member.Incarnation, Voter: p.Member.Voter,
			Reachable: p.Reachable, CaughtUp: p.MatchIndex >= committed,
		})
	}
	return out
}

// replacement is a new incarnation of a control VM that is catching up to
// become a voter.
type replacement struct {
	member        quorum.Member
	commandNumber uint64
	// voteIndex is the index of the record that makes the member a voter, zero
	// before it is proposed.
	voteIndex quorum.Index
}

// replaceMember adds the new incarnation as a learner. Once it has caught up,
// it becomes a voter and the command is answered.
func (c *Control) replaceMember(number uint64, r ReplaceMember) {
	if r.Incarnation == 0 {
		r.Incarnation = c.joinRequests[r.VM]
	}
	next := quorum.Member{VM: r.VM, Incarnation: r.Incarnation}
	if c.resumeReplacement(number, next) {
		return
	}
	members, found := c.membersReplacing(next)
	switch {
	case !found:
		c.reply(number, Reply{Code: ReplyNotFound, Version: c.state.Version, Text: "No control VM has that name."})
		return
	case r.Incarnation == 0:
		c.reply(number, Reply{Code: ReplyNotFound, Version: c.state.Version, Text: "No new incarnation of that VM asked to join. Start it with an empty data folder first."})
		return
	case c.replacement != nil:
		c.reply(number, Reply{Code: ReplyConflict, Version: c.state.Version, RetryAfter: maintenanceInterval, Text: "Another replacement is in progress. Come back when it is over."})
		return
	}
	_, out, err := c.quorum.ProposeMembers(c.now, members)
	if err != nil {
		c.reply(number, Reply{Code: ReplyConflict, Version: c.state.Version, RetryAfter: maintenanceInterval, Text: err.Error()})
		return
	}
	c.replacement = newReplacement(next, number)
	c.applyQuorumOutput(out)
}

func newReplacement(m quorum.Member, number uint64) *replacement {
	m.Voter = true
	return &replacement{member: m, commandNumber: number}
}

// resumeReplacement continues a replacement that was requested before, possibly
// from an earlier leader. It reports whether there was one.
func (c *Control) resumeReplacement(number uint64, next quorum.Member) bool {
	for _, m := range c.quorum.Members() {
		if next.Incarnation == 0 || m.VM != next.VM || m.Incarnation != next.Incarnation {
			continue
		}
		switch {
		case c.replacement != nil && c.replacement.member.VM == next.VM:
			c.supersedeCommand(c.replacement.commandNumber)
			c.replacement.commandNumber = number
		case m.Voter:
			c.reply(number, Reply{Code: ReplyOK, Version: c.state.Version, Text: replacedText})
		case c.replacement == nil:
			c.replacement = newReplacement(next, number)
		default:
			return false
		}
		return true
	}
	return false
}

// supersedeCommand answers the command that waited for a replacement, because a
// later command for the same VM waits for it instead.
func (c *Control) supersedeCommand(number uint64) {
	c.reply(number, Reply{Code: ReplyUnknown, RetryAfter: maintenanceInterval, Text: "Another command took this one's place."})
}

const replacedText = "The VM has a vote again. The loss of one more is survivable."

func (c *Control) membersReplacing(m quorum.Member) ([]quorum.Member, bool) {
	members := append([]quorum.Member(nil), c.quorum.Members()...)
	for i := range members {
		if members[i].VM == m.VM {
			members[i] = m
			return members, true
		}
	}
	return members, false
}

// advanceReplacement makes the learner a voter once it has synced all committed
// records, and answers the command once that change is committed.
func (c *Control) advanceReplacement() {
	r := c.replacement
	if r == nil {
		return
	}
	for _, p := range c.quorum.Progress() {
		if p.Member.VM != r.member.VM || p.Member.Incarnation != r.member.Incarnation || p.MatchIndex < c.quorum.CommitIndex() {
			continue
		}
		if p.Member.Voter && r.voteIndex != 0 && c.quorum.CommitIndex() >= r.voteIndex {
			c.replacement = nil
			c.reply(r.commandNumber, Reply{Code: ReplyOK, Version: c.state.Version, Text: replacedText})
			return
		}
		members, _ := c.membersReplacing(r.member)
		if r.voteIndex != 0 {
			return
		}
		index, out, err := c.quorum.ProposeMembers(c.now, members)
		if err == nil {
			r.voteIndex = index
			c.applyQuorumOutput(out)
		}
		return
	}
}

// proposeInitialServices proposes the services of the settings if no
// configuration was ever accepted.
func (c *Control) proposeInitialServices() {
	if c.initialServicesProposed || c.state.Version != 0 || len(c.options.Services) == 0 {
		return
	}
	c.initialServicesProposed = true
	c.propose(registry.Change{
		ID:      "first-settings",
		Replace: &registry.ReplaceServices{Services: c.options.Services},
	}, 0)
}
