package quorum

import (
	"slices"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// Wake returns when Tick is next due.
func (g *Group) Wake() catalog.Instant {
	if g.role == roleLeader {
		return min(g.heartbeatAt, g.contactDeadline())
	}
	return g.electionAt
}

// Leading reports whether this member leads and its first record of the ballot
// is committed, so that its state holds all that was committed before.
func (g *Group) Leading() bool {
	return g.role == roleLeader && g.committed >= g.first
}

// Leader returns the leader as known here, empty if unknown.
func (g *Group) Leader() catalog.VMID {
	return g.leader
}

// Ballot returns the ballot this member is in.
func (g *Group) Ballot() Ballot {
	return g.vote.Ballot
}

// LedSince returns when this member became leader, zero if it isn't.
func (g *Group) LedSince() catalog.Instant {
	if g.role != roleLeader {
		return 0
	}
	return g.ledSince
}

// QuorumContact returns the send time of the latest message that a majority,
// the leader included, has answered in this ballot, and zero elsewhere. No
// other leader can be chosen until Settings.Election after it.
func (g *Group) QuorumContact() catalog.Instant {
	if g.role != roleLeader {
		return 0
	}
	times := make([]catalog.Instant, 0, len(g.members))
	for _, m := range g.members {
		switch {
		case !m.Voter:
		case m.VM == g.own.VM:
			times = append(times, g.now)
		default:
			times = append(times, g.peers[m.VM].contact)
		}
	}
	slices.Sort(times)
	return times[len(times)-g.majority()]
}

// contactDeadline is when a leader that hears no majority steps down.
func (g *Group) contactDeadline() catalog.Instant {
	return max(g.ledSince, g.QuorumContact()).Add(g.settings.ElectionTimeout)
}

// Members returns the members in force, committed or not.
func (g *Group) Members() []Member {
	return slices.Clone(g.members)
}

// Committed returns the last record known to be committed.
func (g *Group) Committed() Index {
	return g.committed
}

// Progress returns what the leader knows of the members, nil elsewhere.
func (g *Group) Progress() []Progress {
	if g.role != roleLeader {
		return nil
	}
	out := make([]Progress, 0, len(g.members))
	for _, m := range g.members {
		if m.VM == g.own.VM {
			out = append(out, Progress{Member: m, Reachable: true, Match: g.stable})
			continue
		}
		p := g.peers[m.VM]
		near := p.answered > 0 && g.now.Sub(p.answered) < g.settings.ElectionTimeout
		out = append(out, Progress{Member: m, Reachable: near, Match: p.match})
	}
	return out
}
