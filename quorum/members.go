package quorum

import (
	"slices"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// checkMembers returns ErrInvalidMembers for a list that has no voter, an empty
// name or the same VM twice.
func checkMembers(members []Member) error {
	if countVoters(members) == 0 {
		return errors.Annotate(ErrInvalidMembers, "no voter")
	}
	for i, m := range members {
		if m.VM == "" {
			return errors.Annotate(ErrInvalidMembers, "member without a name")
		}
		if _, ok := findMember(members[:i], m.VM); ok {
			return errors.Annotatef(ErrInvalidMembers, "%s is named twice", m.VM)
		}
	}
	return nil
}

func countVoters(members []Member) int {
	n := 0
	for _, m := range members {
		if m.Voter {
			n++
		}
	}
	return n
}

func findMember(members []Member, vm catalog.VMID) (Member, bool) {
	for _, m := range members {
		if m.VM == vm {
			return m, true
		}
	}
	return Member{}, false
}

// countVoterChanges counts the voters that are in only one of the lists.
func countVoterChanges(a, b []Member) int {
	n := 0
	for _, m := range a {
		if m.Voter && !slices.Contains(b, m) {
			n++
		}
	}
	for _, m := range b {
		if m.Voter && !slices.Contains(a, m) {
			n++
		}
	}
	return n
}

// currentMember returns a VM from the current list of members, if its
// incarnation is the given one.
func (g *Group) currentMember(vm catalog.VMID, incarnation catalog.Incarnation) (Member, bool) {
	m, ok := findMember(g.members, vm)
	if !ok || (m.Incarnation != incarnation && g.fault != faultIgnoreIncarnation) {
		return Member{}, false
	}
	return m, true
}

// ownMember returns this VM from the current list of members, if its
// incarnation is its own.
func (g *Group) ownMember() (Member, bool) {
	return g.currentMember(g.own.VM, g.own.Incarnation)
}

func (g *Group) isVoter() bool {
	m, ok := g.ownMember()
	return ok && m.Voter
}

func (g *Group) majority() int {
	return countVoters(g.members)/2 + 1
}

// updateMembers puts the latest list of members in the log into force,
// committed or not.
func (g *Group) updateMembers() {
	g.members, g.membersIndex = g.log.membersAt(g.log.lastIndex())
	if g.role != roleLeader {
		return
	}
	old := g.peers
	g.peers = make(map[catalog.VMID]*peer, len(g.members))
	for _, m := range g.members {
		if m.VM == g.own.VM {
			continue
		}
		p, ok := old[m.VM]
		if !ok || p.incarnation != m.Incarnation {
			p = newPeer(m.Incarnation, g.log.lastIndex())
		}
		g.peers[m.VM] = p
	}
}

// checkMemberChange returns ErrInvalidMembers for a list that checkMembers
// rejects, that adds or removes more than one voter, or that has a new voter
// which is not a caught-up learner.
func (g *Group) checkMemberChange(members []Member) error {
	if err := checkMembers(members); err != nil {
		return errors.Trace(err)
	}
	if countVoterChanges(g.members, members) > 1 {
		return errors.Annotate(ErrInvalidMembers, "more than one voter changes")
	}
	for _, m := range members {
		if !m.Voter || slices.Contains(g.members, m) {
			continue
		}
		// A new voter must be a learner that synced the latest list of members.
		p, ok := g.peers[m.VM]
		if m.VM != g.own.VM && (!ok || p.incarnation != m.Incarnation || p.matchIndex < g.membersIndex) {
			return errors.Annotatef(ErrInvalidMembers, "%s is not a caught-up learner", m.VM)
		}
	}
	return nil
}
