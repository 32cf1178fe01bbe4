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
	// scheduledEvent is a function to run at a point in virtual time.
	scheduledEvent struct {
		at  catalog.Instant
		seq int
		do  func()
	}
	eventQueue []scheduledEvent
	// process is one VM of the system with its reducer.
	process struct {
		vm    catalog.VMID
		site  catalog.SiteID
		step  func(node.Event) []node.Effect
		saved quorum.PersistentState
		// incarnation counts the starts of the process. Events scheduled for an
		// earlier incarnation are dropped.
		incarnation int
		dead        bool
		// draining is set once a planned stop was requested. Callers then use
		// other entries.
		draining    bool
		frozenUntil catalog.Instant
		// entry or control is the reducer.
		entry   *node.Entry
		control *node.Control
		// calmSince is when the last fault of the process or of its links ended.
		calmSince catalog.Instant
		// bootedAt is when the clock of the process's VM started.
		bootedAt catalog.Instant
		// drift is the relative error of the process's clock; positive means
		// fast.
		drift float64
		timer int
		// syncedAt is when the disk has completed all writes so far.
		syncedAt catalog.Instant
	}
	// simulation runs the real reducers in virtual time. All random choices
	// derive from one seed.
	simulation struct {
		rng    *rand.Rand
		now    catalog.Instant
		queue  eventQueue
		seq    int
		vms    []*process
		byName map[catalog.VMID]*process
		group  map[catalog.InstanceID]*instance
		conns  map[connKey]*conn
		// isolated holds the sites that are cut off from all other sites.
		isolated map[catalog.SiteID]bool
		// loss is the probability that a message is lost, and equally that it is
		// duplicated or delayed.
		loss float64
		ack  catalog.AckMode
		// instances are the ids of the group's instances, in the order in which they
		// joined. syncReplicas is how many replicas must have received a write before
		// the primary acknowledges it.
		instances    []catalog.InstanceID
		syncReplicas int
		limits       catalog.Limits
		// isListed is set if upstreams announce themselves to control alone.
		isListed bool
		// timings are those of all VMs.
		timings  catalog.Timings
		onAnswer func(*process, node.AnswerRequest)
		// counts holds the number of faults and of other notable events, by
		// kind.
		counts       map[string]int
		violations   []string
		refusedConns int
		// breakControl, breakEntry and dropFloors disable a mechanism whose
		// failure the tests must detect.
		breakControl func(*node.Control)
		breakEntry   func(*node.Entry)
		dropFloors   bool
		// loseSyncedWrites makes disks lose writes that they reported as
		// synced.
		loseSyncedWrites bool
		// autocommitSteps makes upstreams commit each step of a transaction on
		// its own.
		autocommitSteps bool
		// onSend, onReply, onStopped and onBegin notify a test of events; each
		// may be nil. onBegin is called when a connection or a request of an
		// entry begins at an upstream.
		onSend    func(*process, node.SendMessage)
		onReply   func(*process, node.AnswerCommand)
		onStopped func(*process)
		onBegin   func(*process, *instance, catalog.RequestID)
		// onPromote, if set, carries out the promotions of the platform.
		onPromote func(*process, node.Promote)
	}
)

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || (a[i].at == a[j].at && a[i].seq < a[j].seq)
}
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(scheduledEvent)) }
func (a *eventQueue) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

var sites = []catalog.SiteID{"s1", "s2", "s3"}

func newSimulation(seed uint64, ack catalog.AckMode, mutate func(*simulation)) *simulation {
	w := &simulation{
		rng: rand.New(rand.NewPCG(seed, 7)), now: catalog.Instant(time.Second), ack: ack,
		byName: map[catalog.VMID]*process{}, group: map[catalog.InstanceID]*instance{}, conns: map[connKey]*conn{},
		isolated: map[catalog.SiteID]bool{}, counts: map[string]int{}, timings: catalog.DefaultTimings(),
		limits:    catalog.Limits{Connections: 20, Reserved: 2, Slots: 3, LocalShare: 2},
		instances: []catalog.InstanceID{"a", "b", "c"},
	}
	if mutate != nil {
		mutate(w)
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

// start starts a process with the state that its disk holds.
func (w *simulation) start(p *process) {
	p.incarnation++
	p.dead, p.draining = false, false
	service := catalog.Service{ID: "ledger", Ack: w.ack, Instances: 3, Limits: w.limits, SyncReplicas: w.syncReplicas}
	if p.vm[0] == 'k' {
		entries := map[catalog.VMID]catalog.SiteID{}
		for _, vm := range w.names('e') {
			entries[vm] = w.byName[vm].site
		}
		c, err := node.NewControl(node.ControlOptions{
			VM: p.vm, Timings: w.timings, Members: w.names('k'), Entries: entries,
			Services: []catalog.Service{service}, Saved: p.saved, SnapshotAfter: 20, Seed: w.rng.Uint64(),
			DistributesUpstreams: w.isListed,
		}, w.localTime(p))
		if err != nil {
			panic(err)
		}
		if w.breakControl != nil {
			w.breakControl(c)
		}
		p.step, p.control = c.Step, c
	} else {
		peers := slices.DeleteFunc(w.names('e'), func(vm catalog.VMID) bool { return vm == p.vm })
		e := node.NewEntry(node.EntryOptions{
			VM: p.vm, Site: p.site, Incarnation: uint64(p.incarnation), Seed: w.rng.Uint64(), Timings: w.timings,
			Control: w.names('k'), Peers: peers, QueueLimit: 100, UpstreamsFromControl: w.isListed,
		})
		if w.breakEntry != nil {
			w.breakEntry(e)
		}
		p.step, p.entry = e.Step, e
	}
	w.deliver(p, p.incarnation, ms, node.TimerFired{})
}

func (w *simulation) kill(p *process) {
	p.dead = true
	p.incarnation++
	for k, c := range w.conns {
		if k.vm == p.vm {
			c.closed = true
			if c.opened && c.incarnation == c.instance.incarnation {
				c.instance.openConns--
			}
			delete(w.conns, k)
		}
	}
}

func (w *simulation) schedule(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, scheduledEvent{at: w.now.Add(d), seq: w.seq, do: do})
}

func (w *simulation) run(d time.Duration) {
	for end := w.now.Add(d); ; {
		if len(w.queue) == 0 || w.queue[0].at > end {
			w.now = end
			return
		}
		h := heap.Pop(&w.queue).(scheduledEvent)
		w.now = h.at
		h.do()
	}
}

func (w *simulation) localTime(p *process) catalog.Instant {
	return catalog.Instant(float64(w.now-p.bootedAt) * (1 + p.drift))
}

// untilLocal returns the virtual time until a process's clock shows an instant.
func (w *simulation) untilLocal(p *process, at catalog.Instant) time.Duration {
	return max(0, time.Duration(float64(at)/(1+p.drift))-time.Duration(w.now-p.bootedAt)+1)
}

// deliver delivers an input to an incarnation of a process after a delay, or
// when the process resumes if it is frozen then.
func (w *simulation) deliver(p *process, incarnation int, d time.Duration, in node.Input) {
	w.schedule(d, func() { w.handle(p, incarnation, in) })
}

func (w *simulation) handle(p *process, incarnation int, in node.Input) {
	if p.incarnation != incarnation || p.dead {
		return
	}
	if w.now < p.frozenUntil {
		w.schedule(p.frozenUntil.Sub(w.now), func() { w.handle(p, incarnation, in) })
		return
	}
	for _, e := range p.step(node.Event{Now: w.localTime(p), Input: in}) {
		w.handleEffect(p, e)
	}
}

func (w *simulation) isCut(a, b catalog.SiteID) bool {
	return a != b && (w.isolated[a] || w.isolated[b])
}

// latency returns a random one-way delay between two sites.
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
			if !w.isCut(p.site, to.site) {
				w.handle(to, to.incarnation, node.MessageReceived{From: p.vm, Message: m.Message})
			}
		})
	}
}

func (w *simulation) handleEffect(p *process, e node.Effect) {
	switch v := e.(type) {
	case node.SetTimer:
		p.timer++
		timer, incarnation := p.timer, p.incarnation
		w.schedule(w.untilLocal(p, v.At), func() {
			if p.timer == timer {
				w.handle(p, incarnation, node.TimerFired{})
			}
		})
	case node.SendMessage:
		if w.onSend != nil {
			w.onSend(p, v)
		}
		w.send(p, v)
	case node.AnswerCommand:
		if w.onReply != nil {
			w.onReply(p, v)
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
		w.handleUpstreamEffect(p, e)
	}
}

// persist syncs writes in order. A crash before the sync loses the write.
func (w *simulation) persist(p *process, v node.Persist) {
	incarnation := p.incarnation
	p.syncedAt = max(p.syncedAt, w.now).Add(time.Duration(500+w.rng.IntN(3000)) * time.Microsecond)
	w.schedule(p.syncedAt.Sub(w.now), func() {
		if p.incarnation != incarnation {
			return
		}
		if !w.loseSyncedWrites {
			p.saved = applyWrite(p.saved, v.Write)
		}
		w.handle(p, incarnation, node.Persisted{Token: v.Token})
	})
}

func applyWrite(s quorum.PersistentState, v quorum.Write) quorum.PersistentState {
	if v.Vote != nil {
		s.Vote = *v.Vote
	}
	s.Records = slices.Clone(s.Records)
	if v.TruncateFrom > 0 {
		s.Records = slices.DeleteFunc(s.Records, func(r quorum.Record) bool { return r.Index >= v.TruncateFrom })
	}
	if v.Snapshot != nil {
		s.Snapshot = *v.Snapshot
		s.Records = slices.DeleteFunc(s.Records, func(r quorum.Record) bool { return r.Index <= v.Snapshot.Index })
	}
	s.Records = append(s.Records, v.Append...)
	return s
}

func (w *simulation) fail(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("at %v: ", time.Duration(w.now))+fmt.Sprintf(format, args...))
}
