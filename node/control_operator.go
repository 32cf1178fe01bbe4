package node

import (
	"github.com/kingcupknot/kingcupknot/quorum"
	"github.com/kingcupknot/kingcupknot/registry"
)

// operate carries out an operator's command, or says who can.
func (c *Control) operate(o CommandReceived) {
	if !c.leading || !c.inContact() {
		c.tell(o.Number, Reply{
			Code: ReplyNotLeader, Leader: c.quorum.Leader(), RetryAfter: c.options.Timings.ElectionTimeout,
			Text: "This VM does not lead. Ask the leader, or come back shortly.",
		})
		return
	}
	d := o.Command
	switch {
	case d.Status != nil:
		c.tell(o.Number, Reply{Code: ReplyOK, Version: c.state.Version, Status: c.status()})
	case d.History != nil:
		c.tell(o.Number, Reply{Code: ReplyOK, Version: c.state.Version, History: c.history(d.History.Limit)})
	case d.Settings != nil:
		c.tell(o.Number, Reply{Code: ReplyOK, Version: c.state.Version, Services: c.state.Services, Routes: c.state.Routes, Document: c.state.Document})
	case d.Adopt != nil:
		c.adopt(o.Number, d.Adopt.Configuration)
	case d.Announce != nil:
		c.announced(o.Number, d.Announce.Announcement)
	case d.Retire != nil:
		c.retireLife(o.Number, *d.Retire)
	case d.Switch != nil:
		c.switchPrimary(o.Number, *d.Switch)
	case d.Replace != nil:
		c.replaceMember(o.Number, *d.Replace)
	default:
		c.change(o.Number, d)
	}
}

// inContact reports whether a quorum answered lately, so that what this VM
// says is not out of date.
func (c *Control) inContact() bool {
	return c.now.Before(c.quorum.LastQuorumContact().Add(c.options.Timings.ElectionTimeout))
}

func (c *Control) tell(number uint64, r Reply) {
	c.emit(AnswerCommand{Number: number, Reply: r})
}

func (c *Control) change(number uint64, d Command) {
	change := registry.Change{ID: d.Change, IfVersion: d.IfVersion}
	switch {
	case d.Apply != nil:
		change.Replace = &registry.ReplaceServices{Services: d.Apply.Services}
	case d.Create != nil:
		change.Create = &registry.CreateService{Service: d.Create.Service}
	case d.Remove != nil:
		change.Remove = &registry.RemoveService{Service: d.Remove.Service}
	case d.Drain != nil:
		change.Drain = &registry.DrainUpstream{Instance: d.Drain.Instance, Off: d.Drain.Off}
	default:
		c.tell(number, Reply{Code: ReplyInvalid, Version: c.state.Version, Text: "The command is empty."})
		return
	}
	if d.Change == "" {
		c.tell(number, Reply{Code: ReplyInvalid, Version: c.state.Version, Text: "A changing command needs a change id."})
		return
	}
	if !c.propose(change, number) {
		c.tell(number, Reply{
			Code: ReplyNotLeader, Leader: c.quorum.Leader(), RetryAfter: c.options.Timings.ElectionTimeout,
			Text: "This VM leads no more. Ask the leader.",
		})
	}
}

func (c *Control) switchPrimary(number uint64, w SwitchPrimary) {
	s, ok := c.state.Service(w.Service)
	p := c.state.Primary(w.Service)
	switch {
	case !ok:
		c.tell(number, Reply{Code: ReplyNotFound, Version: c.state.Version, Text: "There is no such service."})
	case c.failovers[w.Service] != nil || !p.Ready:
		c.tell(number, Reply{Code: ReplyConflict, Version: c.state.Version, RetryAfter: catchUpTime, Text: "A change of primary is in progress. Come back when it is over."})
	case w.Instance != "" && c.upstreams[w.Instance] == nil:
		c.tell(number, Reply{Code: ReplyNotFound, Version: c.state.Version, Text: "No such upstream announced itself."})
	case w.Instance == p.Instance:
		c.tell(number, Reply{Code: ReplyOK, Version: c.state.Version, Text: "It is the primary already."})
	case !c.hasReplica(p):
		c.tell(number, Reply{Code: ReplyConflict, Version: c.state.Version, Text: "No replica can take over."})
	default:
		c.startFailover(s, p, planSwitch, w.Instance).number = number
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
		for _, vm := range c.holders.names(s.ID) {
			if left := c.entries[vm].leases[s.ID].until.Sub(c.now); left > 0 {
				v.LeaseHolders, v.LeaseLeft = v.LeaseHolders+1, max(v.LeaseLeft, left)
			}
		}
		st.Services = append(st.Services, v)
		for _, u := range c.instancesOf(s.ID) {
			st.Upstreams = append(st.Upstreams, c.upstreamStatus(u))
		}
	}
	for _, vm := range c.entryNames() {
		v := c.entries[vm]
		st.Entries = append(st.Entries, EntryStatus{VM: vm, Site: v.site, Settings: v.settings, ReportAge: c.now.Sub(v.seenAt)})
	}
	return st
}

func (c *Control) upstreamStatus(u *upstreamView) UpstreamStatus {
	granted := 0
	for _, l := range c.allocations[u.said.Instance] {
		granted += l.outstanding(c.now)
	}
	return UpstreamStatus{
		Announcement: u.said, AnnouncementAge: c.now.Sub(u.heardAt),
		Draining: c.state.IsDrained(u.said.Instance), Granted: granted,
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

// replacement is a control VM's new incarnation on its way to a vote.
type replacement struct {
	member quorum.Member
	number uint64
	// voteAt is the record that gives the vote, zero before it is proposed.
	voteAt quorum.Index
}

// replaceMember takes the new incarnation in as a learner. It is promoted to a
// voter, and the command answered, once it has caught up.
func (c *Control) replaceMember(number uint64, r ReplaceMember) {
	if r.Incarnation == 0 {
		r.Incarnation = c.joins[r.VM]
	}
	next := quorum.Member{VM: r.VM, Incarnation: r.Incarnation}
	if c.resumeReplacement(number, next) {
		return
	}
	members, found := c.membersWith(next)
	switch {
	case !found:
		c.tell(number, Reply{Code: ReplyNotFound, Version: c.state.Version, Text: "No control VM has that name."})
		return
	case r.Incarnation == 0:
		c.tell(number, Reply{Code: ReplyNotFound, Version: c.state.Version, Text: "No new incarnation of that VM asked to join. Start it with an empty data folder first."})
		return
	case c.replacing != nil:
		c.tell(number, Reply{Code: ReplyConflict, Version: c.state.Version, RetryAfter: joinEvery, Text: "Another replacement is in progress. Come back when it is over."})
		return
	}
	_, out, err := c.quorum.ProposeMembers(c.now, members)
	if err != nil {
		c.tell(number, Reply{Code: ReplyConflict, Version: c.state.Version, RetryAfter: joinEvery, Text: err.Error()})
		return
	}
	c.replacing = newReplacement(next, number)
	c.drive(out)
}

func newReplacement(m quorum.Member, number uint64) *replacement {
	m.Voter = true
	return &replacement{member: m, number: number}
}

// resumeReplacement takes up a replacement that was asked for before, perhaps
// from an earlier leader. It reports whether there was one.
func (c *Control) resumeReplacement(number uint64, next quorum.Member) bool {
	for _, m := range c.quorum.Members() {
		if next.Incarnation == 0 || m.VM != next.VM || m.Incarnation != next.Incarnation {
			continue
		}
		switch {
		case c.replacing != nil && c.replacing.member.VM == next.VM:
			c.abandonOperator(c.replacing.number)
			c.replacing.number = number
		case m.Voter:
			c.tell(number, Reply{Code: ReplyOK, Version: c.state.Version, Text: replacedText})
		case c.replacing == nil:
			c.replacing = newReplacement(next, number)
		default:
			return false
		}
		return true
	}
	return false
}

// abandonOperator ends a command whose resend takes its place.
func (c *Control) abandonOperator(number uint64) {
	c.tell(number, Reply{Code: ReplyUnknown, RetryAfter: joinEvery, Text: "Another command took this one's place."})
}

const replacedText = "The VM has a vote again. The loss of one more is survivable."

func (c *Control) membersWith(m quorum.Member) ([]quorum.Member, bool) {
	members := append([]quorum.Member(nil), c.quorum.Members()...)
	for i := range members {
		if members[i].VM == m.VM {
			members[i] = m
			return members, true
		}
	}
	return members, false
}

// finishReplacement gives the learner its vote once it holds and synced all
// that is committed, and reports the repair as finished after that.
func (c *Control) finishReplacement() {
	r := c.replacing
	if r == nil {
		return
	}
	for _, p := range c.quorum.Progress() {
		if p.Member.VM != r.member.VM || p.Member.Incarnation != r.member.Incarnation || p.MatchIndex < c.quorum.CommitIndex() {
			continue
		}
		if p.Member.Voter && r.voteAt != 0 && c.quorum.CommitIndex() >= r.voteAt {
			c.replacing = nil
			c.tell(r.number, Reply{Code: ReplyOK, Version: c.state.Version, Text: replacedText})
			return
		}
		members, _ := c.membersWith(r.member)
		if r.voteAt != 0 {
			return
		}
		index, out, err := c.quorum.ProposeMembers(c.now, members)
		if err == nil {
			r.voteAt = index
			c.drive(out)
		}
		return
	}
}
