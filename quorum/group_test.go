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

// tend does the owner's part at the leader: it lets a VM that lost its disk
// back as a learner, and makes it a voter once it is caught up.
func (s *sim) tend() {
	l := s.leader()
	if l < 0 || s.now%(50*ms) != 0 || s.broken != nil {
		return
	}
	g := s.hosts[l].g
	members := g.Members()
	for i, p := range g.Progress() {
		own := s.hosts[int(p.Member.VM[0]-'a')].disk.Self
		if own.Incarnation != p.Member.Incarnation {
			members[i] = Member{VM: own.VM, Incarnation: own.Incarnation}
		} else if !p.Member.Voter && p.Match >= g.Committed() {
			members[i].Voter = true
		} else {
			continue
		}
		if _, o, err := g.ProposeMembers(s.now, members); err == nil {
			s.take(l, o)
		}
		return
	}
}

// whole reports whether the last committed members are all voters in their
// present lives.
func (s *sim) whole() bool {
	for i := len(s.chosen) - 1; i >= 0; i-- {
		if len(s.chosen[i].Members) == 0 {
			continue
		}
		for _, m := range s.chosen[i].Members {
			if !m.Voter || m.Incarnation != s.hosts[int(m.VM[0]-'a')].disk.Self.Incarnation {
				return false
			}
		}
		return true
	}
	return !slices.ContainsFunc(s.hosts, func(h *host) bool { return h.disk.Self.Incarnation > 100 })
}

// disturb does something bad, or proposes, now and then.
func (s *sim) disturb(bootstrap []Member, lose bool) {
	i := s.rng.IntN(len(s.hosts))
	h := s.hosts[i]
	switch n := s.rng.IntN(s.pace); {
	case n < 10 && h.up:
		h.up = false
	case n < 40 && !h.up:
		s.start(i)
	case n < 46:
		h.cut = !h.cut
	case n < 49:
		clear(s.deaf)
		for _, h := range s.hosts {
			h.cut = false
		}
	case n >= 62 && n < 68:
		s.deaf[[2]int{i, s.rng.IntN(len(s.hosts))}] = true
	case n == 60 && lose && s.whole():
		s.loseDisk(i, bootstrap[s.rng.IntN(2)*len(bootstrap):])
	case n == 61:
		for _, h := range s.hosts {
			h.up = false
		}
	}
	if s.now%(10*ms) == 0 {
		s.propose(i)
	}
	s.tend()
}

func (s *sim) propose(i int) {
	if h := s.hosts[i]; h.up && h.g.role == roleLeader {
		if _, o, err := h.g.Propose(s.now, []byte{byte(s.rng.IntN(256))}); err == nil {
			s.take(i, o)
		}
	}
}

// storm disturbs a group, heals it, and then wants progress at all members.
func storm(seed uint64, f fault, lose bool) *sim {
	s := newSim(seed, 3+2*int(seed%2), f)
	bootstrap := s.hosts[0].disk.Snapshot.Members
	s.run(12*time.Second, func() { s.disturb(bootstrap, lose) })
	s.calm = true
	clear(s.deaf)
	for i, h := range s.hosts {
		h.cut = false
		if !h.up {
			s.start(i)
		}
	}
	s.run(3*time.Second, s.tend)
	before := len(s.chosen)
	if l := s.leader(); l >= 0 {
		s.propose(l)
	}
	s.run(500*time.Millisecond, func() {})
	if len(s.chosen) <= before {
		s.fail("no progress")
	}
	for i, h := range s.hosts {
		if h.applied != Index(len(s.chosen)) {
			s.fail("%s applied %d of %d", name(i), h.applied, len(s.chosen))
		}
	}
	return s
}

func TestSeeds(t *testing.T) {
	records, ballots, lives, restored := 0, 0, 0, 0
	for seed := range uint64(*seeds) {
		s := storm(seed, faultNone, seed%3 > 0)
		if s.broken != nil {
			t.Errorf("seed %d: %v", seed, s.broken)
		}
		records, ballots = records+len(s.chosen), ballots+len(s.leaders)
		restored += s.restored
		for _, h := range s.hosts {
			lives += int(h.disk.Self.Incarnation / 100)
		}
	}
	t.Logf("%d seeds: %d records, %d leaders, %d lost disks, %d restored snapshots",
		*seeds, records, ballots, lives, restored)
}

// TestChecksCatch shows that the checks fail when a rule is broken.
func TestChecksCatch(t *testing.T) {
	for what, f := range map[string]fault{
		"early ack": faultEarlyAck, "early self": faultEarlySelf,
		"any log": faultAnyLog, "two votes": faultTwice,
		"any life": faultAnyLife, "no election": faultDeaf,
	} {
		caught := 0
		var first error
		for seed := range uint64(60) {
			if s := storm(seed, f, f == faultAnyLife); s.broken != nil {
				caught++
				if first == nil {
					first = s.broken
				}
			}
		}
		t.Logf("%s: %d of 60 seeds, first %v", what, caught, first)
		if caught == 0 {
			t.Errorf("%s: not caught", what)
		}
	}
}

func TestSameSeedSameRun(t *testing.T) {
	a, b := storm(11, faultNone, true), storm(11, faultNone, true)
	if !slices.Equal(digest(a.chosen), digest(b.chosen)) || len(a.chosen) == 0 {
		t.Fatalf("%d records, then %d", len(a.chosen), len(b.chosen))
	}
}

func TestOneMember(t *testing.T) {
	s := newSim(1, 1, faultNone)
	s.run(time.Second, func() {})
	g := s.hosts[0].g
	if !g.Leading() || g.QuorumContact() != s.now && s.now.Sub(g.QuorumContact()) > 60*time.Millisecond {
		t.Fatalf("leading %v, contact %v of %v", g.Leading(), g.QuorumContact(), s.now)
	}
	i, o, err := g.Propose(s.now, []byte("x"))
	if err != nil || len(o.Committed) > 0 || o.Write == nil {
		t.Fatal("committed before the write was synced")
	}
	if o = g.Synced(s.now, o.Token); len(o.Committed) != 1 || o.Committed[0].Index != i {
		t.Fatalf("not committed: %v", o.Committed)
	}
	if _, _, err := g.ProposeMembers(s.now, []Member{{VM: "a", Incarnation: 1, Voter: true}, {VM: "b", Voter: true}}); err == nil {
		t.Fatal("took a voter that was no learner")
	}
	_, _, err = g.ProposeMembers(s.now, []Member{{VM: "a", Incarnation: 1, Voter: true}, {VM: "b"}})
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err = g.ProposeMembers(s.now, g.Members()); err == nil {
		t.Fatal("took a change while one was in progress")
	}
}

func FuzzDecode(f *testing.F) {
	members := []Member{{VM: "a", Incarnation: 1, Voter: true}, {VM: "b", Incarnation: 2, Voter: true}}
	for _, m := range []Message{
		{Kind: KindPreVote, Ballot: 3, Sender: 2, Receiver: 1, Prev: 9, PrevBallot: 2},
		{Kind: KindVoteReply, Ballot: 3, Sender: 2, Receiver: 1, OK: true},
		{Kind: KindAppend, Ballot: 3, Sender: 2, Receiver: 1, Records: []Record{{Index: 1, Ballot: 3, Members: members}}, Commit: 1},
		{Kind: KindAppendReply, Ballot: 3, Sender: 2, Receiver: 1, Prev: 4, Hint: 2, HintBallot: 1, Stamp: 5},
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
		g := New(Settings{Heartbeat: 1, ElectionTimeout: 2, Seed: 1}, 1, PersistentState{Self: members[0], Snapshot: Snapshot{Members: members}})
		g.Tick(now)
		ballot, last := g.Ballot(), g.log.last()
		if _, err := g.Receive(now, "b", body); err != nil && (g.Ballot() != ballot || g.log.last() != last) {
			t.Fatal("a refused message changed the state")
		}
		g.Tick(g.Wake())
	})
}
