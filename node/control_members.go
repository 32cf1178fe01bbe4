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
	// removeAfter is how long a member without a vote may be out of reach before
	// it is forgotten. It joins again when it returns.
	removeAfter = 30 * time.Second
)

// joinTargets lists the control VMs to ask: those of the settings and the members
// that were known at an earlier time.
func (c *Control) joinTargets() []catalog.VMID {
	out := append([]catalog.VMID(nil), c.options.Members...)
	for _, m := range c.quorum.Members() {
		out = append(out, m.VM)
	}
	return out
}

// handleJoin notes that a VM asks to be a member. A VM that does not lead passes
// that on.
func (c *Control) handleJoin(from catalog.VMID, j wire.Join) {
	if c.isLeader || c.options.Voters == 0 {
		c.joinRequests[j.VM] = j.Incarnation
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

// adjustMembers takes one step towards the wanted number of voters that answer.
// Steps go one at a time, each agreed on before the next.
func (c *Control) adjustMembers() {
	if c.options.Voters == 0 || c.replacement != nil {
		return
	}
	c.trackReachability()
	if next, ok := c.nextMembers(); ok {
		_, out, err := c.quorum.ProposeMembers(c.now, next)
		if err != nil {
			// A change is in progress; the next sweep tries again.
			return
		}
		c.log("control", "The members change.", "members", formatMembers(next))
		c.applyQuorumOutput(out)
	}
}

// trackReachability keeps since when members are out of reach.
func (c *Control) trackReachability() {
	for _, p := range c.quorum.Progress() {
		vm := p.Member.VM
		switch {
		case p.Reachable || vm == c.options.VM:
			delete(c.unreachableSince, vm)
		case c.unreachableSince[vm] == 0:
			c.unreachableSince[vm] = c.now
		}
	}
}

// unreachableFor is how long a member has been out of reach.
func (c *Control) unreachableFor(vm catalog.VMID) time.Duration {
	since, ok := c.unreachableSince[vm]
	if !ok {
		return 0
	}
	return c.now.Sub(since)
}

// nextMembers returns the next list of members, if a step is due.
func (c *Control) nextMembers() ([]quorum.Member, bool) {
	members := append([]quorum.Member(nil), c.quorum.Members()...)
	if next, ok := c.withMemberAdded(members); ok {
		return next, true
	}
	voters, silent := 0, -1
	for n, m := range members {
		if !m.Voter {
			continue
		}
		voters++
		if c.unreachableFor(m.VM) > demoteAfter {
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
		return c.withVoterDemoted(members)
	}
	return c.withMemberRemoved(members)
}

// withMemberAdded adds a VM that asked to join, as a learner. One that lost its disk
// takes the place of its former self.
func (c *Control) withMemberAdded(members []quorum.Member) ([]quorum.Member, bool) {
	for _, vm := range sortedVMs(joinRequestVMs(c.joinRequests)) {
		incarnation := c.joinRequests[vm]
		delete(c.joinRequests, vm)
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

func joinRequestVMs(joins map[catalog.VMID]catalog.Incarnation) []catalog.VMID {
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

// withVoterDemoted takes the vote from the last voter that does not lead.
func (c *Control) withVoterDemoted(members []quorum.Member) ([]quorum.Member, bool) {
	for n := len(members) - 1; n >= 0; n-- {
		if members[n].Voter && members[n].VM != c.options.VM {
			members[n].Voter = false
			return members, true
		}
	}
	return nil, false
}

// withMemberRemoved forgets a member without a vote that is gone for long.
func (c *Control) withMemberRemoved(members []quorum.Member) ([]quorum.Member, bool) {
	for n, m := range members {
		if !m.Voter && c.unreachableFor(m.VM) > removeAfter {
			delete(c.unreachableSince, m.VM)
			return append(members[:n], members[n+1:]...), true
		}
	}
	return nil, false
}

func formatMembers(members []quorum.Member) string {
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
