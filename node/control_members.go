package node

import (
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/quorum"
	"github.com/kingcupknot/kingcupknot/wire"
)

const (
	// demoteAfter is how long a voter may be out of reach before a learner
	// takes its place; a restart takes less.
	demoteAfter = 1500 * time.Millisecond
	// dropAfter is how long a member without a vote may be out of reach before
	// it is forgotten. It joins again when it returns.
	dropAfter = 30 * time.Second
)

// askToJoin lists the control VMs to ask: those of the settings and the members
// that were known at an earlier time.
func (c *Control) askToJoin() []catalog.VMID {
	out := append([]catalog.VMID(nil), c.options.Members...)
	for _, m := range c.quorum.Members() {
		out = append(out, m.VM)
	}
	return out
}

// joined notes that a VM asks to be a member. A VM that does not lead passes
// that on.
func (c *Control) joined(from catalog.VMID, j wire.Join) {
	if c.isLeader || c.options.Voters == 0 {
		c.joins[j.VM] = j.Incarnation
	}
	if leader := c.quorum.Leader(); !c.isLeader && from == j.VM && leader != "" && leader != c.options.VM {
		c.emit(SendMessage{To: leader, Message: wire.Message{Join: &j}})
	}
}

func (c *Control) memberNames() []catalog.VMID {
	var out []catalog.VMID
	for _, m := range c.quorum.Members() {
		out = append(out, m.VM)
	}
	return out
}

// settleMembers takes one step towards the wanted number of voters that answer.
// Steps go one at a time, each agreed on before the next.
func (c *Control) settleMembers() {
	if c.options.Voters == 0 || c.replacing != nil {
		return
	}
	c.noteReach()
	if next, ok := c.nextMembers(); ok {
		_, out, err := c.quorum.ProposeMembers(c.now, next)
		if err != nil {
			// A change is in progress; the next sweep tries again.
			return
		}
		c.log("control", "The members change.", "members", memberText(next))
		c.drive(out)
	}
}

// noteReach keeps since when members are out of reach.
func (c *Control) noteReach() {
	for _, p := range c.quorum.Progress() {
		vm := p.Member.VM
		switch {
		case p.Reachable || vm == c.options.VM:
			delete(c.unreachable, vm)
		case c.unreachable[vm] == 0:
			c.unreachable[vm] = c.now
		}
	}
}

// silentFor is how long a member has been out of reach.
func (c *Control) silentFor(vm catalog.VMID) time.Duration {
	since, ok := c.unreachable[vm]
	if !ok {
		return 0
	}
	return c.now.Sub(since)
}

// nextMembers returns the next list of members, if a step is due.
func (c *Control) nextMembers() ([]quorum.Member, bool) {
	members := append([]quorum.Member(nil), c.quorum.Members()...)
	if next, ok := c.withJoined(members); ok {
		return next, true
	}
	voters, silent := 0, -1
	for n, m := range members {
		if !m.Voter {
			continue
		}
		voters++
		if c.silentFor(m.VM) > demoteAfter {
			silent = n
		}
	}
	learner := c.caughtUpLearner(members)
	switch {
	case learner >= 0 && (voters < c.options.Voters || silent >= 0 && voters == c.options.Voters):
		members[learner].Voter = true
		return members, true
	case voters > c.options.Voters && silent >= 0:
		members[silent].Voter = false
		return members, true
	case voters > c.options.Voters:
		return c.withoutVote(members)
	}
	return c.withoutDropped(members)
}

// withJoined adds a VM that asked to join, as a learner. One that lost its disk
// takes the place of its former self.
func (c *Control) withJoined(members []quorum.Member) ([]quorum.Member, bool) {
	for _, vm := range sortedVMs(joinNames(c.joins)) {
		incarnation := c.joins[vm]
		delete(c.joins, vm)
		next := quorum.Member{VM: vm, Incarnation: incarnation}
		known := false
		for n, m := range members {
			if m.VM != vm {
				continue
			}
			known = true
			if m.Incarnation != incarnation && vm != c.options.VM {
				members[n] = next
				return members, true
			}
		}
		if !known {
			return append(members, next), true
		}
	}
	return nil, false
}

func joinNames(joins map[catalog.VMID]catalog.Incarnation) []catalog.VMID {
	var out []catalog.VMID
	for vm := range joins {
		out = append(out, vm)
	}
	return out
}

// caughtUpLearner is the place of a learner that answers and holds all that is
// committed, or negative.
func (c *Control) caughtUpLearner(members []quorum.Member) int {
	for _, p := range c.quorum.Progress() {
		if p.Member.Voter || !p.Reachable || p.Match < c.quorum.Committed() {
			continue
		}
		for n, m := range members {
			if m == p.Member {
				return n
			}
		}
	}
	return -1
}

// withoutVote takes the vote from the last voter that does not lead.
func (c *Control) withoutVote(members []quorum.Member) ([]quorum.Member, bool) {
	for n := len(members) - 1; n >= 0; n-- {
		if members[n].Voter && members[n].VM != c.options.VM {
			members[n].Voter = false
			return members, true
		}
	}
	return nil, false
}

// withoutDropped forgets a member without a vote that is gone for long.
func (c *Control) withoutDropped(members []quorum.Member) ([]quorum.Member, bool) {
	for n, m := range members {
		if !m.Voter && c.silentFor(m.VM) > dropAfter {
			delete(c.unreachable, m.VM)
			return append(members[:n], members[n+1:]...), true
		}
	}
	return nil, false
}

func memberText(members []quorum.Member) string {
	text := ""
	for _, m := range members {
		if text != "" {
			text += " "
		}
		text += string(m.VM)
		if !m.Voter {
			text += "(learner)"
		}
	}
	return text
}
