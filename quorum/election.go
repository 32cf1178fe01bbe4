package quorum

import (
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// Tick does what is due.
func (g *Group) Tick(now catalog.Instant) Output {
	g.begin(now)
	switch {
	case g.role == roleLeader:
		g.tickLeader()
	case g.now.Before(g.electionAt):
	case !g.voter() || g.fault == faultDeaf:
		g.armElection()
	case g.fault == faultNoPreVote:
		g.stand(false)
	default:
		g.sound()
	}
	return g.finish()
}

func (g *Group) tickLeader() {
	if !g.now.Before(g.contactDeadline()) {
		g.follow(g.vote.Ballot, "")
		return
	}
	if g.now.Before(g.heartbeatAt) {
		return
	}
	g.heartbeatAt = g.now.Add(g.settings.Heartbeat)
	for _, m := range g.members {
		if p := g.peers[m.VM]; p != nil {
			g.heartbeat(m, p)
		}
	}
}

func (g *Group) armElection() {
	spread := int64(max(g.settings.ElectionTimeout, 1))
	g.electionAt = g.now.Add(g.settings.ElectionTimeout + time.Duration(g.random.Int64N(spread)))
}

// armSounding sets when to ask again if this one is not won. Asking harms
// nobody, and after a start of all members the vote is won as soon as enough of
// them may give theirs.
func (g *Group) armSounding() {
	part := max(g.settings.ElectionTimeout/soundings, 1)
	g.electionAt = g.now.Add(part + time.Duration(g.random.Int64N(int64(part))))
}

// soundings is how many times at most pre-votes are asked for in the time that
// an election takes.
const soundings = 4

// follow enters a ballot, or stays in it, behind a leader that may be unknown.
func (g *Group) follow(ballot Ballot, leader catalog.VMID) {
	if ballot > g.vote.Ballot {
		g.setVote(Vote{Ballot: ballot})
	}
	if g.role == roleLeader {
		g.peers = nil
		g.armElection()
	}
	g.role, g.leader, g.votes = roleFollower, leader, nil
}

func (g *Group) setVote(v Vote) {
	g.vote = v
	g.write.Vote = &v
}

// sound asks whether a vote would be won, without raising the ballot.
func (g *Group) sound() {
	g.role, g.leader, g.votes = rolePreCandidate, "", map[catalog.VMID]bool{}
	g.armSounding()
	g.out.Send = append(g.out.Send, g.ask(KindPreVote, g.vote.Ballot+1, false)...)
	g.count(g.own.VM)
}

// stand asks for votes in a new ballot, released if the leader before resigned.
// The requests wait for the own vote.
func (g *Group) stand(released bool) {
	g.role, g.leader, g.votes = roleCandidate, "", map[catalog.VMID]bool{}
	g.setVote(Vote{Ballot: g.vote.Ballot + 1, Candidate: g.own.VM})
	g.campaign = g.vote.Ballot
	g.armElection()
	g.promise(g.ask(KindVote, g.vote.Ballot, released), faultEarlyVote)
}

func (g *Group) ask(kind Kind, ballot Ballot, released bool) []Envelope {
	var out []Envelope
	for _, m := range g.members {
		if !m.Voter || m.VM == g.own.VM {
			continue
		}
		out = append(out, g.envelope(m.VM, Message{
			Kind: kind, Ballot: ballot, Receiver: m.Incarnation, OK: released,
			Prev: g.log.last(), PrevBallot: g.log.lastBallot(),
		})...)
	}
	return out
}

// count notes a vote; a majority leads on.
func (g *Group) count(vm catalog.VMID) {
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
		g.stand(false)
		return
	}
	g.lead()
}

// loyal reports whether a leader was heard so lately that votes are refused.
// QuorumContact rests on it.
func (g *Group) loyal() bool {
	if g.fault == faultDisloyal {
		return false
	}
	return g.role == roleLeader || g.now.Sub(g.heard) < g.settings.ElectionTimeout
}

// grants reports whether a candidate may lead as far as this member knows. A
// VM that finds itself in no list has no say.
func (g *Group) grants(m Message) bool {
	if _, ok := g.self(); !ok {
		return false
	}
	return g.fault == faultAnyLog || g.log.upToDate(m.Prev, m.PrevBallot)
}

func (g *Group) receivePreVote(from catalog.VMID, m Message) {
	r := Message{Kind: KindPreVoteReply, Ballot: g.vote.Ballot, Receiver: m.Sender}
	if m.Ballot > g.vote.Ballot && !g.loyal() && g.grants(m) {
		r.OK, r.Ballot = true, m.Ballot
	}
	g.out.Send = append(g.out.Send, g.envelope(from, r)...)
}

func (g *Group) receiveVote(from catalog.VMID, m Message) {
	released := m.OK && m.Ballot == g.vote.Ballot+1
	if g.loyal() && !released || m.Ballot < g.vote.Ballot {
		g.out.Send = append(g.out.Send, g.envelope(from, Message{
			Kind: KindVoteReply, Ballot: g.vote.Ballot, Receiver: m.Sender,
		})...)
		return
	}
	if m.Ballot > g.vote.Ballot {
		g.follow(m.Ballot, "")
	}
	r := Message{Kind: KindVoteReply, Ballot: m.Ballot, Receiver: m.Sender}
	free := g.vote.Candidate == "" || g.vote.Candidate == from || g.fault == faultTwice
	if free && g.grants(m) {
		r.OK = true
		if g.vote.Candidate != from {
			g.setVote(Vote{Ballot: m.Ballot, Candidate: from})
		}
		g.armElection()
	}
	g.promise(g.envelope(from, r), faultEarlyVote)
}

func (g *Group) receiveVoteReply(from catalog.VMID, m Message) {
	if _, ok := g.life(from, m.Sender); !ok {
		return
	}
	if !m.OK {
		if m.Ballot > g.vote.Ballot {
			g.follow(m.Ballot, "")
		}
		return
	}
	pre := m.Kind == KindPreVoteReply && g.role == rolePreCandidate && m.Ballot == g.vote.Ballot+1
	cast := m.Kind == KindVoteReply && g.role == roleCandidate && m.Ballot == g.vote.Ballot
	if pre || cast {
		g.count(from)
	}
}
