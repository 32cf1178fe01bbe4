package quorum

import "github.com/kingcupknot/kingcupknot/catalog"

// Handover has a leader resign to the voter that is furthest on,
// for a planned stop. The leader follows from then on, so that nobody rests on
// its contact any more; if the voter is not elected, the others elect as usual.
func (g *Group) TransferLeadership(now catalog.Instant) Output {
	g.begin(now)
	if g.role != roleLeader {
		return g.finish()
	}
	if to, ok := g.successor(); ok {
		g.out.Send = append(g.out.Send, g.envelope(to.VM, Message{
			Kind: KindHandover, Ballot: g.vote.Ballot, Receiver: to.Incarnation,
		})...)
		g.follow(g.vote.Ballot, "")
	}
	return g.finish()
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
	return best.Member, best.Member.VM != "" && best.MatchIndex >= g.committed
}

// receiveHandover stands for election in the ballot after that of the leader
// which gave up.
func (g *Group) receiveHandover(from catalog.VMID, m Message) {
	if m.Ballot != g.vote.Ballot || g.leader != from || !g.voter() {
		return
	}
	g.stand(true)
}
