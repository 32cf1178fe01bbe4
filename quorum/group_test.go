package quorum

import (
	"flag"
	"slices"
	"testing"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

var seeds = flag.Int("seeds", 40, "how many seeds to run")

// leader returns the host that leads with its first record committed, or -1.
func (s *sim) leader() int {
	for i, h := range s.hosts {
		if h.up && h.g.Leading() {
			return i
		}
	}
	return -1
}

// manageMembers changes the members as the leader's owner would: it replaces a
// VM that lost its disk by a learner, and promotes the learner to voter once it
// is caught up.
func (s *sim) manageMembers() {
	l := s.leader()
	if l < 0 || s.now%(50*ms) != 0 || s.failure != nil {
		return
	}
	g := s.hosts[l].g
	members := g.Members()
	for i, p := range g.Progress() {
		current := s.hosts[int(p.Member.VM[0]-'a')].disk.Self
		if current.Incarnation != p.Member.Incarnation {
			members[i] = Member{VM: current.VM, Incarnation: current.Incarnation}
		} else if !p.Member.Voter && p.MatchIndex >= g.CommitIndex() {
			members[i].Voter = true
		} else {
			continue
		}
		if _, o, err := g.ProposeMembers(s.now, members); err == nil {
			s.handleOutput(l, o)
		}
		return
	}
}

// areAllVotersCurrent reports whether all members in the last committed list
// are voters in their current incarnations.
func (s *sim) areAllVotersCurrent() bool {
	for i := len(s.committed) - 1; i >= 0; i-- {
		if len(s.committed[i].Members) == 0 {
			continue
		}
		for _, m := range s.committed[i].Members {
			if !m.Voter || m.Incarnation != s.hosts[int(m.VM[0]-'a')].disk.Self.Incarnation {
				return false
			}
		}
		return true
	}
	return !slices.ContainsFunc(s.hosts, func(h *host) bool { return h.disk.Self.Incarnation > 100 })
}

// injectFault injects a random fault at random intervals, and proposes records
// and membership changes.
func (s *sim) injectFault(bootstrap []Member, loseDisks bool) {
	i := s.rng.IntN(len(s.hosts))
	h := s.hosts[i]
	switch n := s.rng.IntN(s.faultRange); {
	case n < 10 && h.up:
		h.up = false
	case n < 40 && !h.up:
		s.start(i)
	case n < 46:
		h.isolated = !h.isolated
	case n < 49:
		clear(s.cutLinks)
		for _, h := range s.hosts {
			h.isolated = false
		}
	case n >= 62 && n < 68:
		s.cutLinks[[2]int{i, s.rng.IntN(len(s.hosts))}] = true
	case n == 60 && loseDisks && s.areAllVotersCurrent():
		s.loseDisk(i, bootstrap[s.rng.IntN(2)*len(bootstrap):])
	case n == 61:
		for _, h := range s.hosts {
			h.up = false
		}
	}
	if s.now%(10*ms) == 0 {
		s.propose(i)
	}
	s.manageMembers()
}

func (s *sim) propose(i int) {
	if h := s.hosts[i]; h.up && h.g.role == roleLeader {
		if _, o, err := h.g.Propose(s.now, []byte{byte(s.rng.IntN(256))}); err == nil {
			s.handleOutput(i, o)
		}
	}
}

// runWithFaults runs a group with faults, ends all faults, and then checks that
// records are committed and reach all members.
func runWithFaults(seed uint64, f fault, loseDisks bool) *sim {
	s := newSim(seed, 3+2*int(seed%2), f)
	bootstrap := s.hosts[0].disk.Snapshot.Members
	s.run(12*time.Second, func() { s.injectFault(bootstrap, loseDisks) })
	s.reliable = true
	clear(s.cutLinks)
	for i, h := range s.hosts {
		h.isolated = false
		if !h.up {
			s.start(i)
		}
	}
	s.run(3*time.Second, s.manageMembers)
	before := len(s.committed)
	if l := s.leader(); l >= 0 {
		s.propose(l)
	}
	s.run(500*time.Millisecond, func() {})
	if len(s.committed) <= before {
		s.fail("no record was committed after all faults ended")
	}
	for i, h := range s.hosts {
		if h.applied != Index(len(s.committed)) {
			s.fail("%s applied %d of %d", name(i), h.applied, len(s.committed))
		}
	}
	return s
}

// TestSeeds guards against violations of the protocol's invariants under
// crashes, message loss, partitions and lost disks. Each run draws them from its
// own seed.
func TestSeeds(t *testing.T) {
	records, leaders, lostDisks, restored := 0, 0, 0, 0
	for seed := range uint64(*seeds) {
		s := runWithFaults(seed, faultNone, seed%3 > 0)
		if s.failure != nil {
			t.Errorf("seed %d: %v", seed, s.failure)
		}
		records, leaders = records+len(s.committed), leaders+len(s.leaders)
		restored += s.restoreCount
		for _, h := range s.hosts {
			lostDisks += int(h.disk.Self.Incarnation / 100)
		}
	}
	t.Logf("%d seeds: %d records, %d leaders, %d lost disks, %d restored snapshots",
		*seeds, records, leaders, lostDisks, restored)
}

// TestChecksDetectFaults guards against checks that never fail: each broken
// rule of the protocol must be detected in at least one run.
func TestChecksDetectFaults(t *testing.T) {
	for what, f := range map[string]fault{
		"early ack": faultEarlyAck, "count unsynced": faultCountUnsynced,
		"vote for a stale log": faultVoteStaleLog, "two votes": faultDoubleVote,
		"ignored incarnation": faultIgnoreIncarnation, "no election": faultNeverCampaign,
	} {
		caught := 0
		var first error
		for seed := range uint64(60) {
			if s := runWithFaults(seed, f, f == faultIgnoreIncarnation); s.failure != nil {
				caught++
				if first == nil {
					first = s.failure
				}
			}
		}
		t.Logf("%s: detected with %d of 60 seeds, first %v", what, caught, first)
		if caught == 0 {
			t.Errorf("%s: no check detected the fault", what)
		}
	}
}

// TestSameSeedSameRun guards against runs that can't be repeated from their
// seed.
func TestSameSeedSameRun(t *testing.T) {
	a, b := runWithFaults(11, faultNone, true), runWithFaults(11, faultNone, true)
	if !slices.Equal(digest(a.committed), digest(b.committed)) || len(a.committed) == 0 {
		t.Fatalf("%d records, then %d", len(a.committed), len(b.committed))
	}
}

// TestOneMember guards against a single member that commits before its write is
// synced, and against invalid membership changes.
func TestOneMember(t *testing.T) {
	s := newSim(1, 1, faultNone)
	s.run(time.Second, func() {})
	g := s.hosts[0].g
	if !g.Leading() || g.LastQuorumContact() != s.now && s.now.Sub(g.LastQuorumContact()) > 60*time.Millisecond {
		t.Fatalf("leading %v, contact %v of %v", g.Leading(), g.LastQuorumContact(), s.now)
	}
	i, o, err := g.Propose(s.now, []byte("x"))
	if err != nil || len(o.Committed) > 0 || o.Write == nil {
		t.Fatal("committed before the write was synced")
	}
	if o = g.MarkSynced(s.now, o.WriteID); len(o.Committed) != 1 || o.Committed[0].Index != i {
		t.Fatalf("not committed: %v", o.Committed)
	}
	if _, _, err := g.ProposeMembers(s.now, []Member{{VM: "a", Incarnation: 1, Voter: true}, {VM: "b", Voter: true}}); err == nil {
		t.Fatal("accepted a new voter that was not a learner")
	}
	_, _, err = g.ProposeMembers(s.now, []Member{{VM: "a", Incarnation: 1, Voter: true}, {VM: "b"}})
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err = g.ProposeMembers(s.now, g.Members()); err == nil {
		t.Fatal("accepted a membership change while another was in progress")
	}
}

// FuzzDecode guards against received messages that panic, and against rejected
// messages that change the state.
func FuzzDecode(f *testing.F) {
	members := []Member{{VM: "a", Incarnation: 1, Voter: true}, {VM: "b", Incarnation: 2, Voter: true}}
	for _, m := range []Message{
		{Kind: KindPreVote, Ballot: 3, Sender: 2, Receiver: 1, PrevIndex: 9, PrevBallot: 2},
		{Kind: KindVoteReply, Ballot: 3, Sender: 2, Receiver: 1, OK: true},
		{Kind: KindAppend, Ballot: 3, Sender: 2, Receiver: 1, Records: []Record{{Index: 1, Ballot: 3, Members: members}}, CommitIndex: 1},
		{Kind: KindAppendReply, Ballot: 3, Sender: 2, Receiver: 1, PrevIndex: 4, HintIndex: 2, HintBallot: 1, SentAt: 5},
		{Kind: KindSnapshot, Ballot: 3, Sender: 2, Receiver: 1, Snapshot: &Snapshot{Index: 4, Ballot: 2, Members: members}},
	} {
		body, err := Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		now := catalog.Instant(time.Hour)
		g := New(Settings{HeartbeatInterval: 1, ElectionTimeout: 2, Seed: 1}, 1, PersistentState{Self: members[0], Snapshot: Snapshot{Members: members}})
		g.Tick(now)
		ballot, last := g.Ballot(), g.log.lastIndex()
		if _, err := g.Receive(now, "b", body); err != nil && (g.Ballot() != ballot || g.log.lastIndex() != last) {
			t.Fatal("a rejected message changed the state")
		}
		g.Tick(g.NextTick())
	})
}

// TestLargeRecordsAreCompacted guards against a log that fills the memory of a
// control VM: 256 configurations of 3,152 routes have 79 MB, and snapshots once
// followed the number of records alone.
func TestLargeRecordsAreCompacted(t *testing.T) {
	const (
		recordBytes   = 100 << 10
		snapshotBytes = 150 << 10
		bound         = 512 << 10
	)
	own := Member{VM: "a", Incarnation: 1, Voter: true}
	g := New(Settings{HeartbeatInterval: 1, ElectionTimeout: 5, SnapshotAfter: 256, SnapshotAfterBytes: bound}, ms, PersistentState{
		Self: own, Snapshot: Snapshot{Members: []Member{own}},
	})
	settle := func(o Output) {
		for o.Write != nil || o.SnapshotDue {
			if o.SnapshotDue {
				o = g.Compact(ms, g.CommitIndex(), make([]byte, snapshotBytes))
			} else {
				o = g.MarkSynced(ms, o.WriteID)
			}
		}
	}
	settle(g.Tick(time100))
	for n := range 50 {
		_, o, err := g.Propose(time100, make([]byte, recordBytes))
		if err != nil {
			t.Fatal(err)
		}
		settle(o)
		size := 0
		for _, r := range g.log.records {
			size += len(r.Data)
		}
		if size > bound+recordBytes {
			t.Fatalf("after %d records the log has %d bytes", n+1, size)
		}
	}
	if g.log.snapshot.Index == 0 {
		t.Fatal("no snapshot was made")
	}
}

// time100 is long after the start of a group, so that a single member leads.
const time100 = catalog.Instant(100 * time.Second)
