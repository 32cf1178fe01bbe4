package quorum

import (
	"slices"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// becomeLeader makes this member the leader and appends an empty record. Once
// that record is committed, so are all records before it.
func (g *Group) becomeLeader() {
	g.role, g.leader, g.votes = roleLeader, g.own.VM, nil
	g.leaderSince = g.now
	g.heartbeatAt = g.now.Add(g.settings.HeartbeatInterval)
	g.peers = nil
	g.updateMembers()
	g.firstIndex = g.log.lastIndex() + 1
	g.appendRecord(Record{})
}

func newPeer(incarnation catalog.Incarnation, last Index) *peer {
	return &peer{incarnation: incarnation, nextIndex: last + 1, windowStart: last}
}

// appendRecord appends a record to the log of the leader and sends it to the
// peers at once.
func (g *Group) appendRecord(r Record) Index {
	i := g.appendUnsent(r)
	g.replicateToAll()
	return i
}

// appendUnsent appends a record to the log of the leader without sending it.
func (g *Group) appendUnsent(r Record) Index {
	r.Index, r.Ballot = g.log.lastIndex()+1, g.vote.Ballot
	g.log.records = append(g.log.records, r)
	g.write.Append = append(g.write.Append, r)
	if len(r.Members) > 0 {
		g.updateMembers()
	}
	return r.Index
}

func (g *Group) replicateToAll() {
	for _, m := range g.members {
		if p := g.peers[m.VM]; p != nil {
			g.replicate(m, p)
		}
	}
	g.advanceCommit()
}

// Propose appends a command to the log and returns the index of its record. The
// command is accepted once Output.Committed holds a record with that index and
// the ballot at the time of the call. Propose returns ErrNotLeader or
// ErrTooLarge.
func (g *Group) Propose(now catalog.Instant, data []byte) (Index, Output, error) {
	return g.ProposeAll(now, [][]byte{data})
}

// ProposeAll appends several commands, each as a record of its own, and returns
// the index of the first record. The others follow it. They are sent to each peer
// together and need one sync. It returns the errors of Propose, and then appends
// none of them.
func (g *Group) ProposeAll(now catalog.Instant, list [][]byte) (Index, Output, error) {
	g.advanceClock(now)
	if g.role != roleLeader {
		return 0, g.collectOutput(), errors.Trace(ErrNotLeader)
	}
	for _, data := range list {
		if len(data) > MaxDataBytes {
			return 0, g.collectOutput(), errors.Trace(ErrTooLarge)
		}
	}
	first := g.log.lastIndex() + 1
	for _, data := range list {
		g.appendUnsent(Record{Data: slices.Clone(data)})
	}
	g.replicateToAll()
	return first, g.collectOutput(), nil
}

// ProposeMembers appends a new list of members, which is in force at once, and
// returns the index of its record. At most one voter may be added or removed,
// and a new voter must be a caught-up learner. A VM that lost its disk is first
// replaced by a learner of its new incarnation, which is then made a voter.
// ProposeMembers returns ErrNotLeader, ErrChangeInProgress or
// ErrInvalidMembers.
func (g *Group) ProposeMembers(now catalog.Instant, members []Member) (Index, Output, error) {
	g.advanceClock(now)
	if g.role != roleLeader {
		return 0, g.collectOutput(), errors.Trace(ErrNotLeader)
	}
	if !g.Leading() || g.membersIndex > g.commitIndex {
		return 0, g.collectOutput(), errors.Trace(ErrChangeInProgress)
	}
	if err := g.checkMemberChange(members); err != nil {
		return 0, g.collectOutput(), errors.Trace(err)
	}
	i := g.appendRecord(Record{Members: slices.Clone(members)})
	return i, g.collectOutput(), nil
}

// sendHeartbeat sends the records that the peer lacks, then an empty append
// message. The reply to the empty message also shows whether earlier append
// messages were lost.
func (g *Group) sendHeartbeat(m Member, p *peer) {
	g.replicate(m, p)
	prev := max(p.nextIndex-1, g.log.snapshot.Index)
	g.sendAppend(m, prev, nil)
}

// replicate sends the records that the peer lacks, as far as the send window
// permits.
func (g *Group) replicate(m Member, p *peer) {
	if p.nextIndex <= g.log.snapshot.Index {
		g.sendSnapshot(m, p)
		return
	}
	for !p.probing && p.nextIndex <= g.log.lastIndex() && p.nextIndex-p.windowStart <= maxInFlightRecords {
		records := g.log.nextBatch(p.nextIndex)
		g.sendAppend(m, p.nextIndex-1, records)
		p.nextIndex += Index(len(records))
	}
}

func (g *Group) sendAppend(m Member, prev Index, records []Record) {
	ballot, _ := g.log.ballotAt(prev)
	g.out.Send = append(g.out.Send, g.encodeEnvelope(m.VM, Message{
		Kind: KindAppend, Ballot: g.vote.Ballot, Receiver: m.Incarnation,
		PrevIndex: prev, PrevBallot: ballot, Records: records,
		CommitIndex: g.commitIndex, SentAt: g.now,
	})...)
}

func (g *Group) sendSnapshot(m Member, p *peer) {
	p.probing = true
	if g.now.Before(p.snapshotRetryAt) {
		return
	}
	p.snapshotRetryAt = g.now.Add(g.settings.ElectionTimeout)
	s := g.log.snapshot
	g.out.Send = append(g.out.Send, g.encodeEnvelope(m.VM, Message{
		Kind: KindSnapshot, Ballot: g.vote.Ballot, Receiver: m.Incarnation,
		CommitIndex: g.commitIndex, SentAt: g.now, Snapshot: &s,
	})...)
}

func (g *Group) receiveAppendReply(from catalog.VMID, r Message) {
	m, ok := g.currentMember(from, r.Sender)
	if !ok {
		return
	}
	if r.Ballot > g.vote.Ballot {
		g.becomeFollower(r.Ballot, "")
		return
	}
	p := g.peers[from]
	if g.role != roleLeader || r.Ballot != g.vote.Ballot || p == nil || r.SentAt > g.now {
		return
	}
	p.lastContact = max(p.lastContact, r.SentAt)
	p.lastReplyAt = g.now
	if !r.OK {
		g.probeEarlier(m, p, r)
		return
	}
	if r.PrevIndex > g.log.lastIndex() {
		return
	}
	p.matchIndex = max(p.matchIndex, r.PrevIndex)
	p.windowStart = max(p.windowStart, p.matchIndex)
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	if r.PrevIndex+1 >= p.nextIndex {
		p.probing = false
	}
	g.replicate(m, p)
	g.advanceCommit()
}

// probeEarlier moves nextIndex back to where the logs may match, after the peer
// refused an append message, and probes there.
func (g *Group) probeEarlier(m Member, p *peer, r Message) {
	stale := r.PrevIndex <= p.matchIndex || r.PrevIndex >= p.nextIndex
	if stale || (p.probing && r.PrevIndex+1 != p.nextIndex) {
		return
	}
	p.nextIndex = max(p.matchIndex+1, min(g.log.lastPossibleMatch(r.HintIndex, r.HintBallot)+1, r.PrevIndex))
	p.windowStart, p.probing = p.nextIndex-1, true
	if p.nextIndex <= g.log.snapshot.Index {
		g.sendSnapshot(m, p)
		return
	}
	g.sendAppend(m, p.nextIndex-1, nil)
}

// advanceCommit commits the records that a majority of the voters has synced,
// provided the last of them is from the current ballot. A leader that is no
// voter in a committed list of members steps down.
func (g *Group) advanceCommit() {
	if g.role != roleLeader {
		return
	}
	synced := make([]Index, 0, len(g.members))
	for _, m := range g.members {
		switch {
		case !m.Voter:
		case m.VM != g.own.VM:
			synced = append(synced, g.peers[m.VM].matchIndex)
		case g.fault == faultCountUnsynced:
			synced = append(synced, g.log.lastIndex())
		default:
			synced = append(synced, g.syncedIndex)
		}
	}
	slices.Sort(synced)
	i := synced[len(synced)-g.majority()]
	if b, ok := g.log.ballotAt(i); i <= g.commitIndex || !ok || b != g.vote.Ballot {
		return
	}
	g.commitTo(i)
	if !g.isVoter() && g.membersIndex <= g.commitIndex {
		g.becomeFollower(g.vote.Ballot, "")
	}
}

func (g *Group) commitTo(i Index) {
	if i <= g.commitIndex {
		return
	}
	g.out.Committed = append(g.out.Committed, g.log.recordsBetween(g.commitIndex, i)...)
	g.commitIndex = i
}
