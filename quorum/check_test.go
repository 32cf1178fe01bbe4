package quorum

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

func digest(chosen []Record) []byte {
	d := xxhash.New()
	for _, r := range chosen {
		fmt.Fprintf(d, "%d %d %v %x;", r.Index, r.Ballot, r.Members, r.Data)
	}
	return d.Sum(nil)
}

// checkLeader checks that a ballot has at most one leader, that the leader
// holds all committed records, and that no other leader had contact to a
// majority within the election timeout.
func (s *sim) checkLeader(i int) {
	g := s.hosts[i].g
	if g.role != roleLeader {
		return
	}
	h := s.hosts[i]
	h.contactUntil = max(h.contactUntil, g.LastQuorumContact().Add(g.settings.ElectionTimeout))
	other, known := s.leaders[g.vote.Ballot]
	s.leaders[g.vote.Ballot] = i
	if known && other != i {
		s.fail("%s and %s lead ballot %d", name(other), name(i), g.vote.Ballot)
	}
	if known {
		return
	}
	for _, r := range s.committed {
		if b, held := g.log.ballotAt(r.Index); r.Index > g.log.snapshot.Index && (!held || b != r.Ballot) {
			s.fail("%s leads without committed record %d", name(i), r.Index)
		}
	}
	for j, h := range s.hosts {
		if j != i && s.now < h.contactUntil {
			s.fail("%s leads within an election timeout of the quorum contact of %s", name(i), name(j))
		}
	}
}

// checkMajoritySynced checks that a record committed by the leader is on the
// disks of a majority. A disk that was lost counts as holding the record, since
// its VM may have acknowledged the record before.
func (s *sim) checkMajoritySynced(g *Group, r Record) {
	n := 0
	for _, m := range g.members {
		d := s.hosts[int(m.VM[0]-'a')].disk
		log := memoryLog{snapshot: d.Snapshot, records: d.Records}
		b, ok := log.ballotAt(r.Index)
		if m.Voter && (d.Self != m || d.Snapshot.Index > r.Index || (ok && b == r.Ballot)) {
			n++
		}
	}
	if g.role == roleLeader && n < g.majority() {
		s.fail("%s committed record %d while %d disks hold it", g.own.VM, r.Index, n)
	}
}
