package quorum

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

const ms = catalog.Instant(time.Millisecond)

type (
	// packet is a message on the simulated network; at is its arrival time.
	packet struct {
		at       catalog.Instant
		from, to int
		body     []byte
	}
	// unsyncedWrite is a write in progress; at is when it reaches the disk.
	unsyncedWrite struct {
		at      catalog.Instant
		writeID uint64
		write   Write
	}
	// host is one simulated VM.
	host struct {
		g        *Group
		disk     PersistentState
		unsynced []unsyncedWrite
		applied  Index
		// isolated hosts can't exchange messages with hosts that are not
		// isolated.
		up, isolated bool
		// contactUntil is when the election timeout after its latest quorum
		// contact as a leader ends.
		contactUntil catalog.Instant
	}
	// sim is a network of members in virtual time. All its random choices are
	// drawn from one seed. It stops at the first violated invariant.
	sim struct {
		rng   *rand.Rand
		now   catalog.Instant
		hosts []*host
		queue []packet
		// reliable turns message loss and long delays off. cutLinks are links
		// that lose messages in one direction.
		reliable  bool
		cutLinks  map[[2]int]bool
		fault     fault
		leaders   map[Ballot]int
		committed []Record
		failure   error
		// restoreCount counts the snapshots that members restored.
		restoreCount int
		// maxSyncMillis is the upper bound of the sync time in milliseconds. A
		// higher faultRange makes faults less frequent.
		maxSyncMillis, faultRange int
	}
)

func newSim(seed uint64, n int, f fault) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 1)), now: ms, fault: f, leaders: map[Ballot]int{}, cutLinks: map[[2]int]bool{}}
	s.maxSyncMillis, s.faultRange = 1+s.rng.IntN(40), 1000+s.rng.IntN(11000)
	var members []Member
	for i := range n {
		members = append(members, Member{VM: name(i), Incarnation: catalog.Incarnation(i + 1), Voter: true})
	}
	for i := range n {
		s.hosts = append(s.hosts, &host{disk: PersistentState{Self: members[i], Snapshot: Snapshot{Members: members}}})
		s.start(i)
	}
	return s
}

func name(i int) catalog.VMID { return catalog.VMID(rune('a' + i)) }

func (s *sim) fail(format string, args ...any) {
	if s.failure == nil {
		s.failure = fmt.Errorf("at %v: "+format, append([]any{time.Duration(s.now)}, args...)...)
	}
}

func (s *sim) start(i int) {
	h := s.hosts[i]
	h.unsynced, h.up, h.applied = nil, true, h.disk.Snapshot.Index
	set := Settings{HeartbeatInterval: 50 * time.Millisecond, ElectionTimeout: 250 * time.Millisecond, SnapshotAfter: 20, Seed: 7}
	h.g = New(set, s.now, h.disk)
	h.g.fault = s.fault
}

// loseDisk restarts a VM with an empty disk and a new incarnation. Its new
// folder names no members, or by mistake those of the first start.
func (s *sim) loseDisk(i int, bootstrap []Member) {
	own := s.hosts[i].disk.Self
	own.Incarnation += 100
	s.hosts[i].disk = PersistentState{Self: own, Snapshot: Snapshot{Members: bootstrap}}
	s.start(i)
}

func store(disk *PersistentState, w Write) {
	if w.Vote != nil {
		disk.Vote = *w.Vote
	}
	if w.TruncateFrom > 0 {
		disk.Records = slices.DeleteFunc(slices.Clone(disk.Records), func(r Record) bool { return r.Index >= w.TruncateFrom })
	}
	if w.Snapshot != nil {
		disk.Snapshot = *w.Snapshot
		disk.Records = slices.DeleteFunc(slices.Clone(disk.Records), func(r Record) bool { return r.Index <= w.Snapshot.Index })
	}
	disk.Records = append(slices.Clone(disk.Records), w.Append...)
}

func (s *sim) handleOutput(i int, o Output) {
	h := s.hosts[i]
	if o.Restore != nil {
		n := o.Restore.Index
		if int(n) > len(s.committed) || string(o.Restore.Data) != string(digest(s.committed[:n])) {
			s.fail("%s restored a snapshot that differs from the committed records", name(i))
		}
		h.applied = n
		s.restoreCount++
	}
	for _, r := range o.Committed {
		if r.Index != h.applied+1 {
			s.fail("%s applied record %d after record %d", name(i), r.Index, h.applied)
			return
		}
		h.applied++
		s.checkMajoritySynced(h.g, r)
		if int(r.Index) > len(s.committed) {
			s.committed = append(s.committed, r)
		} else if string(digest(s.committed[r.Index-1:r.Index])) != string(digest([]Record{r})) {
			s.fail("%s committed a different record %d", name(i), r.Index)
		}
	}
	for _, e := range o.Send {
		s.send(i, e)
	}
	if o.Write != nil {
		h.unsynced = append(h.unsynced, unsyncedWrite{s.now + ms*catalog.Instant(s.rng.IntN(s.maxSyncMillis)), o.WriteID, *o.Write})
	}
	s.checkLeader(i)
	if o.SnapshotDue && s.failure == nil {
		s.handleOutput(i, h.g.Compact(s.now, h.applied, digest(s.committed[:h.applied])))
	}
}

func (s *sim) send(i int, e Envelope) {
	to := int(e.To[0] - 'a')
	for range 1 + s.rng.IntN(20)/19 {
		if s.hosts[i].isolated != s.hosts[to].isolated || s.cutLinks[[2]int{i, to}] || (!s.reliable && s.rng.IntN(20) == 0) {
			continue
		}
		delay := 1 + s.rng.IntN(20)
		if !s.reliable && s.rng.IntN(50) == 0 {
			delay = s.rng.IntN(1000)
		}
		s.queue = append(s.queue, packet{s.now + ms*catalog.Instant(delay), i, to, e.Body})
	}
}

// step advances the virtual time by one millisecond.
func (s *sim) step() {
	s.now += ms
	due := slices.Clone(s.queue)
	s.queue = slices.DeleteFunc(s.queue, func(p packet) bool { return p.at <= s.now })
	for _, p := range due {
		if h := s.hosts[p.to]; p.at <= s.now && h.up && s.failure == nil {
			o, err := h.g.Receive(s.now, name(p.from), p.body)
			if err != nil {
				s.fail("%s rejected a message: %v", name(p.to), err)
			}
			s.handleOutput(p.to, o)
		}
	}
	for i, h := range s.hosts {
		for h.up && len(h.unsynced) > 0 && h.unsynced[0].at <= s.now {
			w := h.unsynced[0]
			h.unsynced = h.unsynced[1:]
			store(&h.disk, w.write)
			if len(h.unsynced) == 0 || s.rng.IntN(2) == 0 {
				s.handleOutput(i, h.g.MarkSynced(s.now, w.writeID))
			}
		}
		if h.up && h.g.NextTick() <= s.now {
			s.handleOutput(i, h.g.Tick(s.now))
		}
	}
}

func (s *sim) run(d time.Duration, each func()) {
	for end := s.now.Add(d); s.now < end && s.failure == nil; {
		s.step()
		each()
	}
}
