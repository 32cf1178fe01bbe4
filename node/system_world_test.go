package node_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/quorum"
)

const ms = time.Millisecond

type (
	// happening is something that is due in the world.
	happening struct {
		at  catalog.Instant
		seq int
		do  func()
	}
	agenda []happening
	// process is one VM of the system with its reducer.
	process struct {
		vm    catalog.VMID
		site  catalog.SiteID
		step  func(node.Event) []node.Effect
		saved quorum.PersistentState
		// life numbers its starts; what was due for an earlier one is void.
		life int
		dead bool
		// draining is set once a planned stop was asked for; callers go
		// elsewhere then.
		draining bool
		thawAt   catalog.Instant
		// drift is how much faster than the world's its clock runs.
		drift float64
		timer int
		// durable is when the disk has done all writes so far.
		durable catalog.Instant
	}
	// world runs real reducers in virtual time. Everything is drawn from one
	// seed.
	simulation struct {
		rng    *rand.Rand
		now    catalog.Instant
		agenda agenda
		seq    int
		vms    []*process
		byName map[catalog.VMID]*process
		group  map[catalog.InstanceID]*instance
		conns  map[connKey]*conn
		// apart holds the sites that can reach only themselves.
		isolated map[catalog.SiteID]bool
		loss     float64
		ack      catalog.AckMode
		limits   catalog.Limits
		// timings are those of all VMs.
		timings  catalog.Timings
		onAnswer func(*process, node.AnswerRequest)
		// caused counts the faults that were caused, by kind.
		caused       map[string]int
		broken       []string
		refusedConns int
		// spoilControl, spoilEntry and spoilFloors break what a proof is
		// meant to see.
		spoilControl func(*node.Control)
		spoilEntry   func(*node.Entry)
		spoilFloors  bool
		// spoilDisk makes disks forget what they said was synced.
		spoilDisk bool
		// spoilSteps makes upstreams forget that a transaction is open.
		spoilSteps bool
		// sent, replied, stopped and begun tell a proof what happens; each
		// may be nil. Begun is called when a connection or a request of an
		// entry begins at an upstream.
		onSend    func(*process, node.SendMessage)
		replied   func(*process, node.OperatorAnswer)
		onStopped func(*process)
		begun     func(*process, *instance, catalog.RequestID)
	}
)

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || (a[i].at == a[j].at && a[i].seq < a[j].seq)
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(happening)) }
func (a *agenda) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

var sites = []catalog.SiteID{"s1", "s2", "s3"}

func newWorld(seed uint64, ack catalog.AckMode, spoil func(*simulation)) *simulation {
	w := &simulation{
		rng: rand.New(rand.NewPCG(seed, 7)), now: catalog.Instant(time.Second), ack: ack,
		byName: map[catalog.VMID]*process{}, group: map[catalog.InstanceID]*instance{}, conns: map[connKey]*conn{},
		isolated: map[catalog.SiteID]bool{}, caused: map[string]int{}, timings: catalog.DefaultTimings(),
		limits: catalog.Limits{Connections: 20, Reserved: 2, Slots: 3, LocalShare: 2},
	}
	if spoil != nil {
		spoil(w)
	}
	var members []quorum.Member
	for i, s := range sites {
		m := quorum.Member{VM: catalog.VMID(fmt.Sprintf("k%d", i+1)), Incarnation: 1, Voter: true}
		members = append(members, m)
		w.add(&process{vm: m.VM, site: s, saved: quorum.PersistentState{Self: m}})
		w.add(&process{vm: catalog.VMID(fmt.Sprintf("e%d", i+1)), site: s})
	}
	for _, p := range w.vms {
		if p.vm[0] == 'k' {
			p.saved.Snapshot.Members = members
		}
		p.drift = (w.rng.Float64() - 0.5) * 0.03
		w.start(p)
	}
	w.newGroup()
	return w
}

func (w *simulation) add(p *process) {
	w.vms, w.byName[p.vm] = append(w.vms, p), p
}

func (w *simulation) names(kind byte) []catalog.VMID {
	var out []catalog.VMID
	for _, p := range w.vms {
		if p.vm[0] == kind {
			out = append(out, p.vm)
		}
	}
	return out
}

// start begins a new life of a process with what it had on disk.
func (w *simulation) start(p *process) {
	p.life++
	p.dead, p.draining = false, false
	service := catalog.Service{ID: "ledger", Ack: w.ack, Instances: 3, Limits: w.limits}
	if p.vm[0] == 'k' {
		entries := map[catalog.VMID]catalog.SiteID{}
		for _, vm := range w.names('e') {
			entries[vm] = w.byName[vm].site
		}
		c, err := node.NewControl(node.ControlOptions{
			VM: p.vm, Timings: w.timings, Members: w.names('k'), Entries: entries,
			Services: []catalog.Service{service}, Saved: p.saved, SnapshotAfter: 20, Seed: w.rng.Uint64(),
		}, w.localTime(p))
		if err != nil {
			panic(err)
		}
		if w.spoilControl != nil {
			w.spoilControl(c)
		}
		p.step = c.Step
	} else {
		peers := slices.DeleteFunc(w.names('e'), func(vm catalog.VMID) bool { return vm == p.vm })
		e := node.NewEntry(node.EntryOptions{
			VM: p.vm, Site: p.site, Incarnation: uint64(p.life), Seed: w.rng.Uint64(), Timings: w.timings,
			Control: w.names('k'), Peers: peers, QueueLimit: 100,
		})
		if w.spoilEntry != nil {
			w.spoilEntry(e)
		}
		p.step = e.Step
	}
	w.deliver(p, p.life, ms, node.TimerFired{})
}

func (w *simulation) kill(p *process) {
	p.dead = true
	p.life++
	for k, c := range w.conns {
		if k.vm == p.vm {
			c.closed = true
			if c.opened && c.life == c.instance.life {
				c.instance.openConns--
			}
			delete(w.conns, k)
		}
	}
}

func (w *simulation) schedule(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.agenda, happening{at: w.now.Add(d), seq: w.seq, do: do})
}

func (w *simulation) run(d time.Duration) {
	for end := w.now.Add(d); ; {
		if len(w.agenda) == 0 || w.agenda[0].at > end {
			w.now = end
			return
		}
		h := heap.Pop(&w.agenda).(happening)
		w.now = h.at
		h.do()
	}
}

func (w *simulation) localTime(p *process) catalog.Instant {
	return catalog.Instant(float64(w.now) * (1 + p.drift))
}

// until is the time of the world until a process's clock shows an instant.
func (w *simulation) untilLocal(p *process, at catalog.Instant) time.Duration {
	return max(0, time.Duration(float64(at)/(1+p.drift))-time.Duration(w.now)+1)
}

// give hands an input to a life of a process after a while, or when it thaws.
func (w *simulation) deliver(p *process, life int, d time.Duration, in node.Input) {
	w.schedule(d, func() { w.handle(p, life, in) })
}

func (w *simulation) handle(p *process, life int, in node.Input) {
	if p.life != life || p.dead {
		return
	}
	if w.now < p.thawAt {
		w.schedule(p.thawAt.Sub(w.now), func() { w.handle(p, life, in) })
		return
	}
	for _, e := range p.step(node.Event{Now: w.localTime(p), Input: in}) {
		w.handleEffect(p, e)
	}
}

func (w *simulation) cut(a, b catalog.SiteID) bool {
	return a != b && (w.isolated[a] || w.isolated[b])
}

// way is the time of one message between two sites.
func (w *simulation) latency(a, b catalog.SiteID) time.Duration {
	d := 100 * time.Microsecond
	if a != b {
		d = 1500 * time.Microsecond
	}
	return d + time.Duration(w.rng.IntN(400))*time.Microsecond
}

func (w *simulation) send(p *process, m node.SendMessage) {
	to := w.byName[m.To]
	if to == nil || w.rng.Float64() < w.loss {
		return
	}
	times := 1
	if w.rng.Float64() < w.loss {
		times = 2
	}
	for range times {
		d := w.latency(p.site, to.site)
		if w.rng.Float64() < w.loss {
			d *= 20
		}
		w.schedule(d, func() {
			if !w.cut(p.site, to.site) {
				w.handle(to, to.life, node.MessageReceived{From: p.vm, Message: m.Message})
			}
		})
	}
}

func (w *simulation) handleEffect(p *process, e node.Effect) {
	switch v := e.(type) {
	case node.SetTimer:
		p.timer++
		timer, life := p.timer, p.life
		w.schedule(w.untilLocal(p, v.At), func() {
			if p.timer == timer {
				w.handle(p, life, node.TimerFired{})
			}
		})
	case node.SendMessage:
		if w.onSend != nil {
			w.onSend(p, v)
		}
		w.send(p, v)
	case node.OperatorAnswer:
		if w.replied != nil {
			w.replied(p, v)
		}
	case node.Stopped:
		if w.onStopped != nil {
			w.onStopped(p)
		}
	case node.Persist:
		w.persist(p, v)
	case node.AnswerRequest:
		w.onAnswer(p, v)
	default:
		w.databaseEffect(p, e)
	}
}

// persist syncs in order; a crash before that loses the write.
func (w *simulation) persist(p *process, v node.Persist) {
	life := p.life
	p.durable = max(p.durable, w.now).Add(time.Duration(500+w.rng.IntN(3000)) * time.Microsecond)
	w.schedule(p.durable.Sub(w.now), func() {
		if p.life != life {
			return
		}
		if !w.spoilDisk {
			p.saved = stored(p.saved, v.Write)
		}
		w.handle(p, life, node.Persisted{Token: v.Token})
	})
}

func stored(s quorum.PersistentState, v quorum.Write) quorum.PersistentState {
	if v.Vote != nil {
		s.Vote = *v.Vote
	}
	s.Records = slices.Clone(s.Records)
	if v.Truncate > 0 {
		s.Records = slices.DeleteFunc(s.Records, func(r quorum.Record) bool { return r.Index >= v.Truncate })
	}
	if v.Snapshot != nil {
		s.Snapshot = *v.Snapshot
		s.Records = slices.DeleteFunc(s.Records, func(r quorum.Record) bool { return r.Index <= v.Snapshot.Index })
	}
	s.Records = append(s.Records, v.Append...)
	return s
}

func (w *simulation) fail(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf("at %v: ", time.Duration(w.now))+fmt.Sprintf(format, args...))
}
