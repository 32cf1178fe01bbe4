package quorum

import (
	"slices"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// envelope encodes a message, or gives none if it can't be sent.
func (g *Group) envelope(to catalog.VMID, m Message) []Envelope {
	m.Sender = g.own.Incarnation
	body, err := Encode(m)
	if err != nil {
		return nil
	}
	return []Envelope{{To: to, Body: body}}
}

// Receive takes a message from another member. A malformed one leaves the state
// as it was. One that was meant for another life of this VM is dropped.
func (g *Group) Receive(now catalog.Instant, from catalog.VMID, body []byte) (Output, error) {
	m, err := Decode(body)
	if err != nil {
		return Output{}, errors.Annotatef(err, "from %s", from)
	}
	if err := g.checkSender(from, m); err != nil {
		return Output{}, errors.Annotatef(err, "from %s", from)
	}
	g.begin(now)
	if m.Receiver != g.own.Incarnation && g.fault != faultAnyLife {
		return g.finish(), nil
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
	case KindHandover:
		g.receiveHandover(from, m)
	default:
		g.receiveLeader(from, m)
	}
	return g.finish(), nil
}

// checkSender refuses what no right member can have sent.
func (g *Group) checkSender(from catalog.VMID, m Message) error {
	if from == "" || from == g.own.VM {
		return errors.New("quorum message from nobody else")
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
		b, ok := g.log.ballot(r.Index)
		if ok && r.Index <= g.committed && b != r.Ballot && m.Ballot >= g.vote.Ballot {
			return errors.Errorf("record %d differs from the committed one", r.Index)
		}
	}
	return nil
}

// receiveLeader takes records or a snapshot from the leader of a ballot.
func (g *Group) receiveLeader(from catalog.VMID, m Message) {
	r := Message{Kind: KindAppendReply, Receiver: m.Sender, Prev: m.Prev, Stamp: m.Stamp}
	if m.Ballot < g.vote.Ballot {
		r.Ballot = g.vote.Ballot
		g.out.Send = append(g.out.Send, g.envelope(from, r)...)
		return
	}
	g.follow(m.Ballot, from)
	g.heard = g.now
	g.armElection()
	r.Ballot = m.Ballot
	if m.Kind == KindSnapshot {
		g.install(*m.Snapshot)
		r.OK, r.Prev = true, m.Snapshot.Index
	} else {
		g.extend(m, &r)
	}
	g.confirm(from, m, r)
	g.promise(g.envelope(from, r), faultEarlyAck)
}

// confirm answers a heartbeat at once with what is synced already, so that slow
// disks don't cost the leader its contact. The ballot must be synced, or a
// crash could lead this member back to the leader before.
func (g *Group) confirm(from catalog.VMID, m Message, r Message) {
	if !r.OK || m.Kind != KindAppend || len(m.Records) > 0 || len(g.pending) == 0 || !g.ballotSynced() {
		return
	}
	r.Prev = min(r.Prev, g.stable)
	g.out.Send = append(g.out.Send, g.envelope(from, r)...)
}

// extend takes records that follow one held here, or says where to look.
func (g *Group) extend(m Message, r *Message) {
	base := g.log.snapshot.Index
	if m.Prev >= base {
		if b, ok := g.log.ballot(m.Prev); !ok || b != m.PrevBallot {
			r.HintIndex = g.log.agree(m.Prev, m.PrevBallot)
			r.HintBallot, _ = g.log.ballot(r.HintIndex)
			return
		}
	}
	end := m.Prev + Index(len(m.Records))
	for i, c := range m.Records {
		if c.Index <= base {
			continue
		}
		if b, ok := g.log.ballot(c.Index); ok && b == c.Ballot {
			continue
		}
		g.replace(m.Records[i:])
		break
	}
	g.commit(min(m.CommitIndex, end))
	r.OK, r.Prev = true, max(end, base)
}

// replace puts records in place of all from the first one's index on.
func (g *Group) replace(records []Record) {
	from := records[0].Index
	if from <= g.log.last() {
		g.drop(from - 1)
	}
	g.log.records = append(g.log.records, records...)
	g.write.Append = records
	changes := func(r Record) bool { return len(r.Members) > 0 }
	if from <= g.membersAt || slices.ContainsFunc(records, changes) {
		g.adoptMembers()
	}
}

// install puts a leader's snapshot in place of the log, unless the log holds
// all that it stands for.
func (g *Group) install(s Snapshot) {
	if s.Index <= g.committed {
		return
	}
	if b, ok := g.log.ballot(s.Index); ok && b == s.Ballot {
		g.commit(s.Index)
		return
	}
	if len(g.log.records) > 0 {
		g.drop(g.log.snapshot.Index)
	}
	g.log = history{snapshot: s}
	g.committed = s.Index
	g.write.Snapshot = &s
	g.out.Restore = &s
	g.adoptMembers()
}
