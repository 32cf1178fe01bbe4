package quorum

import (
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// Tick runs the timers that are due: heartbeats and the step-down check at the
// leader, the election timer at the other members. A member that does not campaign
// forgets a leader that it has not heard from for an election timeout.
func (g *Group) Tick(now catalog.Instant) Output {
	g.advanceClock(now)
	switch {
	case g.role == roleLeader:
		g.tickLeader()
	case g.now.Before(g.electionAt):
	case !g.isVoter() || g.fault == faultNeverCampaign:
		g.becomeFollower(g.vote.Ballot, "")
		g.resetElectionTimer()
	case g.fault == faultNoPreVote:
		g.startElection(false)
	default:
		g.startPreVote()
	}
	return g.collectOutput()
}

func (g *Group) tickLeader() {
	if !g.now.Before(g.stepDownDeadline()) {
		g.becomeFollower(g.vote.Ballot, "")
		return
	}
	if g.now.Before(g.heartbeatAt) {
		return
	}
	g.heartbeatAt = g.now.Add(g.settings.HeartbeatInterval)
	for _, m := range g.members {
		if p := g.peers[m.VM]; p != nil {
			g.sendHeartbeat(m, p)
		}
	}
}

func (g *Group) resetElectionTimer() {
	maxJitter := int64(max(g.settings.ElectionTimeout, 1))
	g.electionAt = g.now.Add(g.settings.ElectionTimeout + time.Duration(g.random.Int64N(maxJitter)))
}

// resetPreVoteTimer sets when to repeat a pre-vote that no majority granted.
// Frequent repetitions are harmless, since a pre-vote does not raise the
// ballot. They shorten the time without a leader after a restart of all
// members, which grant no votes for one election timeout after their start.
func (g *Group) resetPreVoteTimer() {
	interval := max(g.settings.ElectionTimeout/preVotesPerElection, 1)
	g.electionAt = g.now.Add(interval + time.Duration(g.random.Int64N(int64(interval))))
}

// preVotesPerElection is the highest number of pre-votes per election timeout.
const preVotesPerElection = 4

// becomeFollower makes this member a follower in a ballot. The leader is empty
// if it is unknown.
func (g *Group) becomeFollower(ballot Ballot, leader catalog.VMID) {
	if ballot > g.vote.Ballot {
		g.setVote(Vote{Ballot: ballot})
	}
	if g.role == roleLeader {
		g.peers = nil
		g.resetElectionTimer()
	}
	g.role, g.leader, g.votes = roleFollower, leader, nil
}

func (g *Group) setVote(v Vote) {
	g.vote = v
	g.write.Vote = &v
}

// startPreVote asks the voters whether they would grant a vote, without raising
// the ballot.
func (g *Group) startPreVote() {
	g.role, g.leader, g.votes = rolePreCandidate, "", map[catalog.VMID]bool{}
	g.resetPreVoteTimer()
	g.out.Send = append(g.out.Send, g.voteRequests(KindPreVote, g.vote.Ballot+1, false)...)
	g.recordVote(g.own.VM)
}

// startElection asks for votes in a new ballot. leaderResigned says that the
// previous leader handed over its leadership. The requests are sent once the
// member's vote for itself is synced.
func (g *Group) startElection(leaderResigned bool) {
	g.role, g.leader, g.votes = roleCandidate, "", map[catalog.VMID]bool{}
	g.setVote(Vote{Ballot: g.vote.Ballot + 1, Candidate: g.own.VM})
	g.campaignBallot = g.vote.Ballot
	g.resetElectionTimer()
	g.sendAfterSync(g.voteRequests(KindVote, g.vote.Ballot, leaderResigned), faultEarlyVote)
}

func (g *Group) voteRequests(kind Kind, ballot Ballot, leaderResigned bool) []Envelope {
	var out []Envelope
	for _, m := range g.members {
		if !m.Voter || m.VM == g.own.VM {
			continue
		}
		out = append(out, g.encodeEnvelope(m.VM, Message{
			Kind: kind, Ballot: ballot, Receiver: m.Incarnation, OK: leaderResigned,
			PrevIndex: g.log.lastIndex(), PrevBallot: g.log.lastBallot(),
		})...)
	}
	return out
}

// recordVote counts a granted vote. With a majority, a pre-vote leads to an
// election, and an election makes this member the leader.
func (g *Group) recordVote(vm catalog.VMID) {
	g.votes[vm] = true
	n := 0
	for _, m := range g.members {
		if m.Voter && g.votes[m.VM] {
			n++
		}
	}
	if n < g.majority() {
		return
	}
	if g.role == rolePreCandidate {
		g.startElection(false)
		return
	}
	g.becomeLeader()
}

// hasRecentLeader reports whether this member leads, or a leader was in contact
// within the election timeout. Votes are then refused, and the guarantee of
// LastQuorumContact relies on that refusal.
func (g *Group) hasRecentLeader() bool {
	if g.fault == faultVoteDespiteLeader {
		return false
	}
	return g.role == roleLeader || g.now.Sub(g.leaderHeardAt) < g.settings.ElectionTimeout
}

// isEligible reports whether the candidate's log is recent enough for a vote.
// It returns false if this VM is not in the current list of members, since only
// members may vote.
func (g *Group) isEligible(m Message) bool {
	if _, ok := g.ownMember(); !ok {
		return false
	}
	return g.fault == faultVoteStaleLog || g.log.isUpToDate(m.PrevIndex, m.PrevBallot)
}

func (g *Group) receivePreVote(from catalog.VMID, m Message) {
	r := Message{Kind: KindPreVoteReply, Ballot: g.vote.Ballot, Receiver: m.Sender}
	if m.Ballot > g.vote.Ballot && !g.hasRecentLeader() && g.isEligible(m) {
		r.OK, r.Ballot = true, m.Ballot
	}
	g.out.Send = append(g.out.Send, g.encodeEnvelope(from, r)...)
}

func (g *Group) receiveVote(from catalog.VMID, m Message) {
	leaderResigned := m.OK && m.Ballot == g.vote.Ballot+1
	if g.hasRecentLeader() && !leaderResigned || m.Ballot < g.vote.Ballot {
		g.out.Send = append(g.out.Send, g.encodeEnvelope(from, Message{
			Kind: KindVoteReply, Ballot: g.vote.Ballot, Receiver: m.Sender,
		})...)
		return
	}
	if m.Ballot > g.vote.Ballot {
		g.becomeFollower(m.Ballot, "")
	}
	r := Message{Kind: KindVoteReply, Ballot: m.Ballot, Receiver: m.Sender}
	canVote := g.vote.Candidate == "" || g.vote.Candidate == from || g.fault == faultDoubleVote
	if canVote && g.isEligible(m) {
		r.OK = true
		if g.vote.Candidate != from {
			g.setVote(Vote{Ballot: m.Ballot, Candidate: from})
		}
		g.resetElectionTimer()
	}
	g.sendAfterSync(g.encodeEnvelope(from, r), faultEarlyVote)
}

func (g *Group) receiveVoteReply(from catalog.VMID, m Message) {
	if _, ok := g.currentMember(from, m.Sender); !ok {
		return
	}
	if !m.OK {
		if m.Ballot > g.vote.Ballot {
			g.becomeFollower(m.Ballot, "")
		}
		return
	}
	isPreVote := m.Kind == KindPreVoteReply && g.role == rolePreCandidate && m.Ballot == g.vote.Ballot+1
	isVote := m.Kind == KindVoteReply && g.role == roleCandidate && m.Ballot == g.vote.Ballot
	if isPreVote || isVote {
		g.recordVote(from)
	}
}
