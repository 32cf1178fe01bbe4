package quorum

import (
	"slices"
	"testing"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// silence cuts one follower off for ten minutes and lets it back.
func silence(f fault) (before, after int, s *sim) {
	s = newSim(3, 3, f)
	s.calm = true
	s.run(3*time.Second, func() {})
	before = s.leader()
	s.hosts[(before+1)%3].cut = true
	s.run(10*time.Minute, func() {})
	ballot := s.hosts[before].g.Ballot()
	s.hosts[(before+1)%3].cut = false
	s.run(5*time.Second, func() {})
	after = s.leader()
	if s.hosts[before].g.Ballot() != ballot {
		after = -1
	}
	return before, after, s
}

func TestSilentMemberReturns(t *testing.T) {
	before, after, s := silence(faultNone)
	if before < 0 || before != after || s.broken != nil {
		t.Fatalf("leader %d, then %d: %v", before, after, s.broken)
	}
	if before, after, _ := silence(faultNoPreVote); before == after {
		t.Fatal("the check does not catch a member that raises ballots")
	}
}

// oneWay makes one follower deaf to the leader but not to the other follower.
func oneWay(f fault) (before, after int, s *sim) {
	s = newSim(4, 3, f)
	s.calm = true
	s.run(3*time.Second, func() {})
	before = s.leader()
	s.deaf[[2]int{before, (before + 1) % 3}] = true
	s.run(10*time.Second, func() {})
	return before, s.leader(), s
}

func TestLeaderWithContactStays(t *testing.T) {
	if before, after, s := oneWay(faultNone); before < 0 || before != after || s.broken != nil {
		t.Fatalf("leader %d, then %d: %v", before, after, s.broken)
	}
	if _, _, s := oneWay(faultDisloyal); s.broken == nil {
		t.Fatal("the check does not catch votes against a leader with contact")
	}
}

func TestSlowDisksKeepLeader(t *testing.T) {
	s := newSim(8, 3, faultNone)
	s.calm = true
	s.run(3*time.Second, func() {})
	before, records := s.leader(), len(s.chosen)
	s.slow = 1500
	s.run(10*time.Second, func() {
		if s.now%(50*ms) == 0 {
			s.propose(max(before, 0))
		}
	})
	if before != s.leader() || len(s.leaders) > 1 || s.broken != nil || len(s.chosen) == records {
		t.Fatalf("leader %d, then %d of %d: %v", before, s.leader(), len(s.leaders), s.broken)
	}
}

// TestDiskLost loses one disk, lets the VM back, then loses another VM.
func TestDiskLost(t *testing.T) {
	s := newSim(5, 3, faultNone)
	bootstrap := s.hosts[0].disk.Snapshot.Members
	busy := func() {
		if s.now%(20*ms) == 0 {
			s.propose(max(s.leader(), 0))
		}
		s.tend()
	}
	s.run(3*time.Second, busy)
	l := s.leader()
	s.loseDisk((l+1)%3, bootstrap)
	s.run(3*time.Second, busy)
	if !s.whole() {
		t.Fatalf("not a voter again: %v", s.hosts[l].g.Members())
	}
	s.hosts[l].up = false
	before := len(s.chosen)
	s.run(3*time.Second, busy)
	if s.broken != nil || len(s.chosen) <= before {
		t.Fatalf("%d records, then %d: %v", before, len(s.chosen), s.broken)
	}
}

// TestOldLifeHasNoSay checks a VM that lost its disk and was not let back.
func TestOldLifeHasNoSay(t *testing.T) {
	s := newSim(6, 3, faultNone)
	s.calm = true
	bootstrap := s.hosts[0].disk.Snapshot.Members
	s.run(3*time.Second, func() {})
	l := s.leader()
	s.hosts[(l+2)%3].up = false
	s.loseDisk((l+1)%3, bootstrap)
	before := s.hosts[l].g.Committed()
	s.propose(l)
	s.run(5*time.Second, func() {})
	if s.broken != nil || s.hosts[l].g.Committed() != before || s.leader() >= 0 {
		t.Fatalf("committed %d, then %d, leader %d", before, s.hosts[l].g.Committed(), s.leader())
	}
}

// grants counts the votes of one ballot that a member gives to two candidates
// if it crashes in between with its write not synced.
func grants(f fault) int {
	n := 0
	for _, from := range []catalog.VMID{"a", "c"} {
		s := newSim(1, 3, f)
		g := s.hosts[1].g
		body, _ := Encode(Message{Kind: KindVote, Ballot: 1, Sender: s.hosts[int(from[0]-'a')].disk.Self.Incarnation, Receiver: 2})
		o, _ := g.Receive(1000*ms, from, body)
		if from == "c" {
			o.Send = append(o.Send, g.Synced(1000*ms, o.Token).Send...)
		}
		for _, e := range o.Send {
			if m, err := Decode(e.Body); err == nil && m.OK {
				n++
			}
		}
	}
	return n
}

// TestVoteWaits is apart from the storms: a member that starts again refuses
// votes for an election time, so that they hardly show this.
func TestVoteWaits(t *testing.T) {
	if n := grants(faultNone); n != 1 {
		t.Errorf("%d votes in one ballot", n)
	}
	if n := grants(faultEarlyVote); n != 2 {
		t.Errorf("early vote not caught: %d votes", n)
	}
}

// TestLeaderLeaves takes the leader out of the members.
func TestLeaderLeaves(t *testing.T) {
	s := newSim(9, 3, faultNone)
	s.run(3*time.Second, func() {})
	l := s.leader()
	g := s.hosts[l].g
	others := slices.DeleteFunc(g.Members(), func(m Member) bool { return m.VM == name(l) })
	_, o, err := g.ProposeMembers(s.now, others)
	if err != nil {
		t.Fatal(err)
	}
	s.take(l, o)
	s.run(3*time.Second, func() {})
	if next := s.leader(); next < 0 || next == l || len(s.hosts[next].g.Members()) != 2 || s.broken != nil {
		t.Fatalf("leader %d, then %d: %v", l, next, s.broken)
	}
}

// TestJoinerWaitsToCompact gives a VM that knows no members a log, and only
// then the record that names it.
func TestJoinerWaitsToCompact(t *testing.T) {
	own := Member{VM: "b", Incarnation: 2}
	g := New(Settings{Heartbeat: 1, ElectionTimeout: 5, SnapshotAfter: 2}, ms, PersistentState{Self: own})
	records := []Record{{Index: 1, Ballot: 1}, {Index: 2, Ballot: 1}, {Index: 3, Ballot: 1}}
	records = append(records, Record{Index: 4, Ballot: 1, Members: []Member{{VM: "a", Incarnation: 1, Voter: true}, own}})
	for commit := Index(3); commit <= 4; commit++ {
		body, err := Encode(Message{
			Kind: KindAppend, Ballot: 1, Sender: 1, Receiver: 2, Records: records, Commit: commit,
		})
		if err != nil {
			t.Fatal(err)
		}
		o, err := g.Receive(ms, "a", body)
		if err != nil || o.WantSnapshot != (commit == 4) {
			t.Fatalf("committed %d: want a snapshot %v, %v", commit, o.WantSnapshot, err)
		}
	}
	if o := g.Compact(ms, 3, nil); o.Write != nil || o.WantSnapshot {
		t.Fatalf("took a snapshot without members: %+v", o)
	}
	if o := g.Compact(ms, 4, nil); o.Write == nil || len(o.Write.Snapshot.Members) != 2 {
		t.Fatalf("took no snapshot: %+v", o)
	}
}
