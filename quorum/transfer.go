package quorum

import "github.com/kingcupknot/kingcupknot/catalog"

// TransferLeadership hands leadership over to the reachable voter with the most
// complete log, for a planned stop. The leader becomes a follower at once, so
// LastQuorumContact returns zero from then on. If the voter is not elected, the
// members hold an ordinary election after their timeouts. If no reachable voter
// holds all committed records, nothing changes.
func (g *Group) TransferLeadership(now catalog.Instant) Output {
	g.advanceClock(now)
	if g.role != roleLeader {
		return g.collectOutput()
	}
	if to, ok := g.successor(); ok {
		g.out.Send = append(g.out.Send, g.encodeEnvelope(to.VM, Message{
			Kind: KindTransferLeadership, Ballot: g.vote.Ballot, Receiver: to.Incarnation,
		})...)
		g.becomeFollower(g.vote.Ballot, "")
	}
	return g.collectOutput()
}

// successor returns the reachable voter with the highest match index. It
// returns false if none holds all committed records.
func (g *Group) successor() (Member, bool) {
	var best Progress
	for _, p := range g.Progress() {
		if p.Member.VM == g.own.VM || !p.Member.Voter || !p.Reachable {
			continue
		}
		if best.Member.VM == "" || p.MatchIndex > best.MatchIndex {
			best = p
		}
	}
	return best.Member, best.Member.VM != "" && best.MatchIndex >= g.commitIndex
}

// receiveTransfer starts an election in the ballot after that of the resigned
// leader.
func (g *Group) receiveTransfer(from catalog.VMID, m Message) {
	if m.Ballot != g.vote.Ballot || g.leader != from || !g.isVoter() {
		return
	}
	g.startElection(true)
}
