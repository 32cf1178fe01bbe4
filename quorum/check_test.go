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

// checkLeader wants one leader a ballot, that holds all that was committed, and
// none while another one's contact to a majority is fresh.
func (s *sim) checkLeader(i int) {
	g := s.hosts[i].g
	if g.role != roleLeader {
		return
	}
	h := s.hosts[i]
	h.until = max(h.until, g.QuorumContact().Add(g.settings.ElectionTimeout))
	l, known := s.leaders[g.vote.Ballot]
	s.leaders[g.vote.Ballot] = i
	if known && l != i {
		s.fail("%s and %s lead ballot %d", name(l), name(i), g.vote.Ballot)
	}
	if known {
		return
	}
	for _, r := range s.chosen {
		if b, held := g.log.ballot(r.Index); r.Index > g.log.snapshot.Index && (!held || b != r.Ballot) {
			s.fail("%s leads without committed record %d", name(i), r.Index)
		}
	}
	for j, h := range s.hosts {
		if j != i && s.now < h.until {
			s.fail("%s leads within the contact of %s", name(i), name(j))
		}
	}
}

// checkHeld wants what a leader commits on the disks of a majority. A disk
// lost since its acknowledgement is let pass.
func (s *sim) checkHeld(g *Group, r Record) {
	n := 0
	for _, m := range g.members {
		d := s.hosts[int(m.VM[0]-'a')].disk
		log := history{snapshot: d.Snapshot, records: d.Records}
		b, ok := log.ballot(r.Index)
		if m.Voter && (d.Self != m || d.Snapshot.Index > r.Index || (ok && b == r.Ballot)) {
			n++
		}
	}
	if g.role == roleLeader && n < g.majority() {
		s.fail("%s committed record %d with %d disks", g.own.VM, r.Index, n)
	}
}
