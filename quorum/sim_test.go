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
	packet struct {
		at       catalog.Instant
		from, to int
		body     []byte
	}
	unsynced struct {
		at    catalog.Instant
		token uint64
		write Write
	}
	host struct {
		g       *Group
		disk    PersistentState
		waiting []unsynced
		applied Index
		up, cut bool
		// until is when its latest contact to a majority, as leader, ends.
		until catalog.Instant
	}
	// sim is a network of members in virtual time; everything in it is drawn
	// from one seed. The first broken rule stops it.
	sim struct {
		rng   *rand.Rand
		now   catalog.Instant
		hosts []*host
		queue []packet
		// calm ends drops and long delays; deaf are links cut one way.
		calm    bool
		deaf    map[[2]int]bool
		fault   fault
		leaders map[Ballot]int
		chosen  []Record
		broken  error
		// restored counts the snapshots that members took over.
		restored int
		// slow bounds the time of a sync, in milliseconds; pace thins out
		// what goes wrong.
		slow, pace int
	}
)

func newSim(seed uint64, n int, f fault) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 1)), now: ms, fault: f, leaders: map[Ballot]int{}, deaf: map[[2]int]bool{}}
	s.slow, s.pace = 1+s.rng.IntN(40), 1000+s.rng.IntN(11000)
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
	if s.broken == nil {
		s.broken = fmt.Errorf("at %v: "+format, append([]any{time.Duration(s.now)}, args...)...)
	}
}

func (s *sim) start(i int) {
	h := s.hosts[i]
	h.waiting, h.up, h.applied = nil, true, h.disk.Snapshot.Index
	set := Settings{Heartbeat: 50 * time.Millisecond, ElectionTimeout: 250 * time.Millisecond, SnapshotAfter: 20, Seed: 7}
	h.g = New(set, s.now, h.disk)
	h.g.fault = s.fault
}

// loseDisk starts a VM anew. Its folder names no members, or wrongly the first
// ones.
func (s *sim) loseDisk(i int, bootstrap []Member) {
	own := s.hosts[i].disk.Self
	own.Incarnation += 100
	s.hosts[i].disk = PersistentState{Self: own, Snapshot: Snapshot{Members: bootstrap}}
	s.start(i)
}

func store(v *PersistentState, w Write) {
	if w.Vote != nil {
		v.Vote = *w.Vote
	}
	if w.Truncate > 0 {
		v.Records = slices.DeleteFunc(slices.Clone(v.Records), func(r Record) bool { return r.Index >= w.Truncate })
	}
	if w.Snapshot != nil {
		v.Snapshot = *w.Snapshot
		v.Records = slices.DeleteFunc(slices.Clone(v.Records), func(r Record) bool { return r.Index <= w.Snapshot.Index })
	}
	v.Records = append(slices.Clone(v.Records), w.Append...)
}

func (s *sim) take(i int, o Output) {
	h := s.hosts[i]
	if o.Restore != nil {
		n := o.Restore.Index
		if int(n) > len(s.chosen) || string(o.Restore.Data) != string(digest(s.chosen[:n])) {
			s.fail("%s restored what was not committed", name(i))
		}
		h.applied = n
		s.restored++
	}
	for _, r := range o.Committed {
		if r.Index != h.applied+1 {
			s.fail("%s applied %d after %d", name(i), r.Index, h.applied)
			return
		}
		h.applied++
		s.checkHeld(h.g, r)
		if int(r.Index) > len(s.chosen) {
			s.chosen = append(s.chosen, r)
		} else if string(digest(s.chosen[r.Index-1:r.Index])) != string(digest([]Record{r})) {
			s.fail("%s committed another record %d", name(i), r.Index)
		}
	}
	for _, e := range o.Send {
		s.post(i, e)
	}
	if o.Write != nil {
		h.waiting = append(h.waiting, unsynced{s.now + ms*catalog.Instant(s.rng.IntN(s.slow)), o.Token, *o.Write})
	}
	s.checkLeader(i)
	if o.WantSnapshot && s.broken == nil {
		s.take(i, h.g.Compact(s.now, h.applied, digest(s.chosen[:h.applied])))
	}
}

func (s *sim) post(i int, e Envelope) {
	to := int(e.To[0] - 'a')
	for range 1 + s.rng.IntN(20)/19 {
		if s.hosts[i].cut != s.hosts[to].cut || s.deaf[[2]int{i, to}] || (!s.calm && s.rng.IntN(20) == 0) {
			continue
		}
		delay := 1 + s.rng.IntN(20)
		if !s.calm && s.rng.IntN(50) == 0 {
			delay = s.rng.IntN(1000)
		}
		s.queue = append(s.queue, packet{s.now + ms*catalog.Instant(delay), i, to, e.Body})
	}
}

// step lets one millisecond pass.
func (s *sim) step() {
	s.now += ms
	due := slices.Clone(s.queue)
	s.queue = slices.DeleteFunc(s.queue, func(p packet) bool { return p.at <= s.now })
	for _, p := range due {
		if h := s.hosts[p.to]; p.at <= s.now && h.up && s.broken == nil {
			o, err := h.g.Receive(s.now, name(p.from), p.body)
			if err != nil {
				s.fail("%s refused a message: %v", name(p.to), err)
			}
			s.take(p.to, o)
		}
	}
	for i, h := range s.hosts {
		for h.up && len(h.waiting) > 0 && h.waiting[0].at <= s.now {
			w := h.waiting[0]
			h.waiting = h.waiting[1:]
			store(&h.disk, w.write)
			if len(h.waiting) == 0 || s.rng.IntN(2) == 0 {
				s.take(i, h.g.Synced(s.now, w.token))
			}
		}
		if h.up && h.g.Wake() <= s.now {
			s.take(i, h.g.Tick(s.now))
		}
	}
}

func (s *sim) run(d time.Duration, each func()) {
	for end := s.now.Add(d); s.now < end && s.broken == nil; {
		s.step()
		each()
	}
}
