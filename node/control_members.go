package node

import (
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/quorum"
	"github.com/kingcupknot/kingcupknot/wire"
)

const (
	// demoteAfter is how long a voter may be unreachable before a learner
	// replaces it. A restart takes less time.
	demoteAfter = 1500 * time.Millisecond
	// removeAfter is how long a learner may be unreachable before it is
	// removed. It joins again once it is reachable.
	removeAfter = 30 * time.Second
)

// joinTargets returns the control VMs that are asked to admit this VM: those of
// the settings and all members known so far.
func (c *Control) joinTargets() []catalog.VMID {
	out := append([]catalog.VMID(nil), c.options.Members...)
	for _, m := range c.quorum.Members() {
		out = append(out, m.VM)
	}
	return out
}

// handleJoin records a VM's request to become a member. A VM that is not the
// leader forwards the request to the leader.
func (c *Control) handleJoin(from catalog.VMID, j wire.Join) {
	if c.isLeader || c.options.Voters == 0 {
		c.joinRequests[j.VM] = j.Incarnation
	}
	if leader := c.quorum.Leader(); !c.isLeader && from == j.VM && leader != "" && leader != c.options.VM {
		c.emit(SendMessage{To: leader, Message: wire.Message{Join: &j}})
	}
}

func (c *Control) memberVMs() []catalog.VMID {
	var out []catalog.VMID
	for _, m := range c.quorum.Members() {
		out = append(out, m.VM)
	}
	return out
}

// adjustMembers makes one change towards the target number of reachable voters.
// Each change is committed before the next one is proposed.
func (c *Control) adjustMembers() {
	if c.options.Voters == 0 || c.replacement != nil {
		return
	}
	c.trackReachability()
	if next, ok := c.nextMembers(); ok {
		_, out, err := c.quorum.ProposeMembers(c.now, next)
		if err != nil {
			// Another change is in progress; the next sweep tries again.
			return
		}
		c.log("control", "The members change.", "members", formatMembers(next))
		c.applyQuorumOutput(out)
	}
}

// trackReachability records since when members are unreachable.
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

// unreachableFor returns how long a member has been unreachable.
func (c *Control) unreachableFor(vm catalog.VMID) time.Duration {
	since, ok := c.unreachableSince[vm]
	if !ok {
		return 0
	}
	return c.now.Sub(since)
}

// nextMembers returns the next list of members, and false if no change is
// needed.
func (c *Control) nextMembers() ([]quorum.Member, bool) {
	members := append([]quorum.Member(nil), c.quorum.Members()...)
	if next, ok := c.withMemberAdded(members); ok {
		return next, true
	}
	voters, unreachable := 0, -1
	for n, m := range members {
		if !m.Voter {
			continue
		}
		voters++
		if c.unreachableFor(m.VM) > demoteAfter {
			unreachable = n
		}
	}
	learner := c.caughtUpLearner(members)
	switch {
	case learner >= 0 && (voters < c.options.Voters || unreachable >= 0 && voters == c.options.Voters):
		members[learner].Voter = true
		return members, true
	case voters > c.options.Voters && unreachable >= 0:
		members[unreachable].Voter = false
		return members, true
	case voters > c.options.Voters:
		return c.withVoterDemoted(members)
	}
	return c.withMemberRemoved(members)
}

// withMemberAdded adds, as a learner, a VM that asked to join. A VM that lost
// its disk replaces its previous incarnation.
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

// caughtUpLearner returns the index in members of a reachable learner that holds
// all committed records, or -1 if there is none.
func (c *Control) caughtUpLearner(members []quorum.Member) int {
	for _, p := range c.quorum.Progress() {
		if p.Member.Voter || !p.Reachable || p.MatchIndex < c.quorum.CommitIndex() {
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

// withVoterDemoted demotes the last voter that is not the leader.
func (c *Control) withVoterDemoted(members []quorum.Member) ([]quorum.Member, bool) {
	for n := len(members) - 1; n >= 0; n-- {
		if members[n].Voter && members[n].VM != c.options.VM {
			members[n].Voter = false
			return members, true
		}
	}
	return nil, false
}

// withMemberRemoved removes a learner that has been unreachable for longer than
// removeAfter.
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
