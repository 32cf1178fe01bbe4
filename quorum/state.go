package quorum

import (
	"slices"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// NextTick returns when Tick must be called next.
func (g *Group) NextTick() catalog.Instant {
	if g.role == roleLeader {
		return min(g.heartbeatAt, g.stepDownDeadline())
	}
	return g.electionAt
}

// Leading reports whether this member is the leader and its first record in the
// ballot is committed. Its log then holds every record committed before.
func (g *Group) Leading() bool {
	return g.role == roleLeader && g.commitIndex >= g.firstIndex
}

// Leader returns the leader of the current ballot, empty if unknown.
func (g *Group) Leader() catalog.VMID {
	return g.leader
}

// Ballot returns the current ballot.
func (g *Group) Ballot() Ballot {
	return g.vote.Ballot
}

// LeaderSince returns when this member became the leader, and zero if it is not
// the leader.
func (g *Group) LeaderSince() catalog.Instant {
	if g.role != roleLeader {
		return 0
	}
	return g.leaderSince
}

// LastQuorumContact returns the latest time on the leader's clock such that a
// majority, the leader included, has replied in this ballot to messages that
// the leader sent at that time or later. No other leader can be elected within
// Settings.ElectionTimeout of that time, unless this one transfers its
// leadership. It returns zero if this member is not the leader.
func (g *Group) LastQuorumContact() catalog.Instant {
	if g.role != roleLeader {
		return 0
	}
	sentTimes := make([]catalog.Instant, 0, len(g.members))
	for _, m := range g.members {
		switch {
		case !m.Voter:
		case m.VM == g.own.VM:
			sentTimes = append(sentTimes, g.now)
		default:
			sentTimes = append(sentTimes, g.peers[m.VM].lastContact)
		}
	}
	slices.Sort(sentTimes)
	return sentTimes[len(sentTimes)-g.majority()]
}

// stepDownDeadline returns when the leader steps down if it gets no further
// replies from a majority.
func (g *Group) stepDownDeadline() catalog.Instant {
	return max(g.leaderSince, g.LastQuorumContact()).Add(g.settings.ElectionTimeout)
}

// Members returns the current members. Their list may not be committed yet.
func (g *Group) Members() []Member {
	return slices.Clone(g.members)
}

// CommitIndex returns the last record known to be committed.
func (g *Group) CommitIndex() Index {
	return g.commitIndex
}

// Progress returns the replication state of all members, and nil if this member
// is not the leader.
func (g *Group) Progress() []Progress {
	if g.role != roleLeader {
		return nil
	}
	out := make([]Progress, 0, len(g.members))
	for _, m := range g.members {
		if m.VM == g.own.VM {
			out = append(out, Progress{Member: m, Reachable: true, MatchIndex: g.syncedIndex})
			continue
		}
		p := g.peers[m.VM]
		isReachable := p.lastReplyAt > 0 && g.now.Sub(p.lastReplyAt) < g.settings.ElectionTimeout
		out = append(out, Progress{Member: m, Reachable: isReachable, MatchIndex: p.matchIndex})
	}
	return out
}
