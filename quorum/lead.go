package quorum

import (
	"slices"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// lead begins to lead with an empty record, whose commit commits all before.
func (g *Group) lead() {
	g.role, g.leader, g.votes = roleLeader, g.own.VM, nil
	g.ledSince = g.now
	g.heartbeatAt = g.now.Add(g.settings.Heartbeat)
	g.peers = nil
	g.adoptMembers()
	g.first = g.log.last() + 1
	g.add(Record{})
}

func newPeer(incarnation catalog.Incarnation, last Index) *peer {
	return &peer{incarnation: incarnation, next: last + 1, base: last}
}

// add appends a record to the own log and sends it at once.
func (g *Group) add(r Record) Index {
	r.Index, r.Ballot = g.log.last()+1, g.vote.Ballot
	g.log.records = append(g.log.records, r)
	g.write.Append = append(g.write.Append, r)
	if len(r.Members) > 0 {
		g.adoptMembers()
	}
	for _, m := range g.members {
		if p := g.peers[m.VM]; p != nil {
			g.replicate(m, p)
		}
	}
	g.advance()
	return r.Index
}

// Propose appends a command to the log. It is accepted once Committed holds it
// with the ballot it has now.
func (g *Group) Propose(now catalog.Instant, data []byte) (Index, Output, error) {
	g.begin(now)
	if g.role != roleLeader {
		return 0, g.finish(), errors.Trace(ErrNotLeader)
	}
	if len(data) > MaxData {
		return 0, g.finish(), errors.Trace(ErrTooLarge)
	}
	i := g.add(Record{Data: slices.Clone(data)})
	return i, g.finish(), nil
}

// ProposeMembers changes the members, in force at once. At most one voter may
// come or go; one that comes must be a learner that is caught up. A VM that
// lost its disk is replaced by itself as a learner, then made a voter.
func (g *Group) ProposeMembers(now catalog.Instant, members []Member) (Index, Output, error) {
	g.begin(now)
	if g.role != roleLeader {
		return 0, g.finish(), errors.Trace(ErrNotLeader)
	}
	if !g.Leading() || g.membersAt > g.committed {
		return 0, g.finish(), errors.Trace(ErrChangeInProgress)
	}
	if err := g.checkChange(members); err != nil {
		return 0, g.finish(), errors.Trace(err)
	}
	i := g.add(Record{Members: slices.Clone(members)})
	return i, g.finish(), nil
}

// heartbeat sends an empty append, which also probes for lost ones.
func (g *Group) heartbeat(m Member, p *peer) {
	g.replicate(m, p)
	prev := max(p.next-1, g.log.snapshot.Index)
	g.sendAppend(m, prev, nil)
}

// replicate sends what the peer lacks and the window admits.
func (g *Group) replicate(m Member, p *peer) {
	if p.next <= g.log.snapshot.Index {
		g.sendSnapshot(m, p)
		return
	}
	for !p.probing && p.next <= g.log.last() && p.next-p.base <= windowRecords {
		records := g.log.batch(p.next)
		g.sendAppend(m, p.next-1, records)
		p.next += Index(len(records))
	}
}

func (g *Group) sendAppend(m Member, prev Index, records []Record) {
	ballot, _ := g.log.ballot(prev)
	g.out.Send = append(g.out.Send, g.envelope(m.VM, Message{
		Kind: KindAppend, Ballot: g.vote.Ballot, Receiver: m.Incarnation,
		Prev: prev, PrevBallot: ballot, Records: records,
		Commit: g.committed, Stamp: g.now,
	})...)
}

func (g *Group) sendSnapshot(m Member, p *peer) {
	p.probing = true
	if g.now.Before(p.snapshotUntil) {
		return
	}
	p.snapshotUntil = g.now.Add(g.settings.ElectionTimeout)
	s := g.log.snapshot
	g.out.Send = append(g.out.Send, g.envelope(m.VM, Message{
		Kind: KindSnapshot, Ballot: g.vote.Ballot, Receiver: m.Incarnation,
		Commit: g.committed, Stamp: g.now, Snapshot: &s,
	})...)
}

func (g *Group) receiveAppendReply(from catalog.VMID, r Message) {
	m, ok := g.life(from, r.Sender)
	if !ok {
		return
	}
	if r.Ballot > g.vote.Ballot {
		g.follow(r.Ballot, "")
		return
	}
	p := g.peers[from]
	if g.role != roleLeader || r.Ballot != g.vote.Ballot || p == nil || r.Stamp > g.now {
		return
	}
	p.contact = max(p.contact, r.Stamp)
	p.answered = g.now
	if !r.OK {
		g.backOff(m, p, r)
		return
	}
	if r.Prev > g.log.last() {
		return
	}
	p.match = max(p.match, r.Prev)
	p.base = max(p.base, p.match)
	p.next = max(p.next, p.match+1)
	if r.Prev+1 >= p.next {
		p.probing = false
	}
	g.replicate(m, p)
	g.advance()
}

// backOff finds where the logs may agree and probes there.
func (g *Group) backOff(m Member, p *peer, r Message) {
	stale := r.Prev <= p.match || r.Prev >= p.next
	if stale || (p.probing && r.Prev+1 != p.next) {
		return
	}
	p.next = max(p.match+1, min(g.log.agree(r.Hint, r.HintBallot)+1, r.Prev))
	p.base, p.probing = p.next-1, true
	if p.next <= g.log.snapshot.Index {
		g.sendSnapshot(m, p)
		return
	}
	g.sendAppend(m, p.next-1, nil)
}

// advance commits what a majority of the voters has synced, as long as the
// last of it is of the own ballot.
func (g *Group) advance() {
	if g.role != roleLeader {
		return
	}
	held := make([]Index, 0, len(g.members))
	for _, m := range g.members {
		switch {
		case !m.Voter:
		case m.VM != g.own.VM:
			held = append(held, g.peers[m.VM].match)
		case g.fault == faultEarlySelf:
			held = append(held, g.log.last())
		default:
			held = append(held, g.stable)
		}
	}
	slices.Sort(held)
	i := held[len(held)-g.majority()]
	if b, ok := g.log.ballot(i); i <= g.committed || !ok || b != g.vote.Ballot {
		return
	}
	g.commit(i)
	if !g.voter() && g.membersAt <= g.committed {
		g.follow(g.vote.Ballot, "")
	}
}

func (g *Group) commit(i Index) {
	if i <= g.committed {
		return
	}
	g.out.Committed = append(g.out.Committed, g.log.between(g.committed, i)...)
	g.committed = i
}
