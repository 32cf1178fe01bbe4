package quorum

import "github.com/kingcupknot/kingcupknot/catalog"

// TransferLeadership has a leader resign to the voter that is furthest on,
// for a planned stop. The leader follows from then on, so that nobody rests on
// its contact any more; if the voter is not elected, the others elect as usual.
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

// successor is the reachable voter that holds most of the log.
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

// receiveTransfer stands for election in the ballot after that of the leader
// which gave up.
func (g *Group) receiveTransfer(from catalog.VMID, m Message) {
	if m.Ballot != g.vote.Ballot || g.leader != from || !g.isVoter() {
		return
	}
	g.startElection(true)
}
