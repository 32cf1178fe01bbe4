package quorum

import (
	"slices"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// encodeEnvelope encodes a message to one member. It returns nothing if the
// message can't be encoded.
func (g *Group) encodeEnvelope(to catalog.VMID, m Message) []Envelope {
	m.Sender = g.own.Incarnation
	body, err := Encode(m)
	if err != nil {
		return nil
	}
	return []Envelope{{To: to, Body: body}}
}

// Receive handles a message from another member. For a malformed message, and
// for one that no correct member can have sent, it returns an error and changes
// nothing. It drops a message to another incarnation of this VM.
func (g *Group) Receive(now catalog.Instant, from catalog.VMID, body []byte) (Output, error) {
	m, err := Decode(body)
	if err != nil {
		return Output{}, errors.Annotatef(err, "from %s", from)
	}
	if err := g.checkSender(from, m); err != nil {
		return Output{}, errors.Annotatef(err, "from %s", from)
	}
	g.advanceClock(now)
	if m.Receiver != g.own.Incarnation && g.fault != faultIgnoreIncarnation {
		return g.collectOutput(), nil
	}
	switch m.Kind {
	case KindPreVote:
		g.receivePreVote(from, m)
	case KindVote:
		g.receiveVote(from, m)
	case KindPreVoteReply, KindVoteReply:
		g.receiveVoteReply(from, m)
	case KindAppendReply:
		g.receiveAppendReply(from, m)
	case KindTransferLeadership:
		g.receiveTransfer(from, m)
	default:
		g.receiveFromLeader(from, m)
	}
	return g.collectOutput(), nil
}

// checkSender returns an error for a message that no correct member can have
// sent.
func (g *Group) checkSender(from catalog.VMID, m Message) error {
	if from == "" || from == g.own.VM {
		return errors.New("quorum message without a sender or from this VM itself")
	}
	if m.Kind != KindAppend && m.Kind != KindSnapshot {
		return nil
	}
	if m.Ballot == g.vote.Ballot && m.Receiver == g.own.Incarnation {
		if g.leader != "" && g.leader != from {
			return errors.Errorf("second leader in ballot %d", m.Ballot)
		}
	}
	for _, r := range m.Records {
		b, ok := g.log.ballotAt(r.Index)
		if ok && r.Index <= g.commitIndex && b != r.Ballot && m.Ballot >= g.vote.Ballot {
			return errors.Errorf("record %d differs from the committed one", r.Index)
		}
	}
	return nil
}

// receiveFromLeader handles an append message or a snapshot.
func (g *Group) receiveFromLeader(from catalog.VMID, m Message) {
	r := Message{Kind: KindAppendReply, Receiver: m.Sender, PrevIndex: m.PrevIndex, SentAt: m.SentAt}
	if m.Ballot < g.vote.Ballot {
		r.Ballot = g.vote.Ballot
		g.out.Send = append(g.out.Send, g.encodeEnvelope(from, r)...)
		return
	}
	g.becomeFollower(m.Ballot, from)
	g.leaderHeardAt = g.now
	g.resetElectionTimer()
	r.Ballot = m.Ballot
	if m.Kind == KindSnapshot {
		g.installSnapshot(*m.Snapshot)
		r.OK, r.PrevIndex = true, m.Snapshot.Index
	} else {
		g.acceptRecords(m, &r)
	}
	g.confirmHeartbeat(from, m, r)
	g.sendAfterSync(g.encodeEnvelope(from, r), faultEarlyAck)
}

// confirmHeartbeat replies to a heartbeat at once with what is already synced,
// so that slow disks don't cost the leader its contact with a majority. The
// vote must be synced, since a crash could otherwise return this member to an
// earlier ballot.
func (g *Group) confirmHeartbeat(from catalog.VMID, m Message, r Message) {
	if !r.OK || m.Kind != KindAppend || len(m.Records) > 0 || len(g.pendingWrites) == 0 || !g.isVoteSynced() {
		return
	}
	r.PrevIndex = min(r.PrevIndex, g.syncedIndex)
	g.out.Send = append(g.out.Send, g.encodeEnvelope(from, r)...)
}

// acceptRecords appends the leader's records if the log matches at PrevIndex.
// Otherwise the reply hints at the last record that may match.
func (g *Group) acceptRecords(m Message, r *Message) {
	base := g.log.snapshot.Index
	if m.PrevIndex >= base {
		if b, ok := g.log.ballotAt(m.PrevIndex); !ok || b != m.PrevBallot {
			r.HintIndex = g.log.lastPossibleMatch(m.PrevIndex, m.PrevBallot)
			r.HintBallot, _ = g.log.ballotAt(r.HintIndex)
			return
		}
	}
	end := m.PrevIndex + Index(len(m.Records))
	for i, c := range m.Records {
		if c.Index <= base {
			continue
		}
		if b, ok := g.log.ballotAt(c.Index); ok && b == c.Ballot {
			continue
		}
		g.replaceRecords(m.Records[i:])
		break
	}
	g.commitTo(min(m.CommitIndex, end))
	r.OK, r.PrevIndex = true, max(end, base)
}

// replaceRecords deletes the log from the index of the first given record on and
// appends the given records.
func (g *Group) replaceRecords(records []Record) {
	from := records[0].Index
	if from <= g.log.lastIndex() {
		g.truncateAfter(from - 1)
	}
	g.log.records = append(g.log.records, records...)
	g.write.Append = records
	changes := func(r Record) bool { return len(r.Members) > 0 }
	if from <= g.membersIndex || slices.ContainsFunc(records, changes) {
		g.updateMembers()
	}
}

// installSnapshot replaces the log by the leader's snapshot, unless the log
// already holds all records up to its index.
func (g *Group) installSnapshot(s Snapshot) {
	if s.Index <= g.commitIndex {
		return
	}
	if b, ok := g.log.ballotAt(s.Index); ok && b == s.Ballot {
		g.commitTo(s.Index)
		return
	}
	if len(g.log.records) > 0 {
		g.truncateAfter(g.log.snapshot.Index)
	}
	g.log = memoryLog{snapshot: s}
	g.commitIndex = s.Index
	g.write.Snapshot = &s
	g.out.Restore = &s
	g.updateMembers()
}
