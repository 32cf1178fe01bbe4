package capacity

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/quorum"
	"github.com/kingcupknot/kingcupknot/registry"
	"github.com/kingcupknot/kingcupknot/wire"
)

// Times of the recovery model. Processor times are those of a control VM with
// 0.48 of a core: one that handles and answers 1,475 reports a second uses 0.09
// of a core.
const (
	controlInputTime   = 65 * time.Microsecond
	controlMessageTime = 65 * time.Microsecond
	entryInputTime     = 100 * time.Microsecond
	networkLatency     = 1400 * time.Microsecond
	modelSyncTime      = 500 * time.Microsecond
	upstreamHeartbeat  = 1200 * time.Millisecond
	connectTime        = 15 * time.Millisecond
	sampleInterval     = 25 * time.Millisecond
	modelDrainTimeout  = 3 * time.Second
)

// Course of the outage in the recovery model, from its start.
const (
	warmUp         = 8 * time.Second
	entriesFailAt  = time.Second
	entriesDownFor = 1700 * time.Millisecond
	leaderDownFor  = 500 * time.Millisecond
	outageLength   = 12 * time.Second
	// failedEntriesPercent is the proportion of entries that lose power.
	failedEntriesPercent = 57
	// recoveredPercent is the proportion of the running entries that must have
	// a lease for the fleet to count as recovered.
	recoveredPercent = 98
)

// RecoveryLoad is the size of a fleet.
type RecoveryLoad struct {
	Entries, Services, Instances, Voters int
	Seed                                 uint64
}

// Recovery is the result of a play of the recovery model.
type Recovery struct {
	// AfterReturn is how long after the return of the entries that lost power
	// fewer than recoveredPercent of the running entries had a lease for the
	// last time.
	AfterReturn time.Duration
	// Leaders counts the control VMs that became the leader during the outage.
	Leaders int
	// LeaseGap is the longest time within which less than half of the running
	// entries had a lease.
	LeaseGap time.Duration
	// Messages counts the messages that control sent during the outage.
	Messages int
}

// modelVM is a process of the recovery model: a reducer behind a queue, with the
// order of daemon.Loop, and a processor that handles one input at a time.
type modelVM struct {
	id             catalog.VMID
	step           func(node.Event) []node.Effect
	isControl      bool
	urgent, inputs []node.Input
	// waiting holds the newest input of each key in inputs.
	waiting map[node.InputKey]node.Input
	// run numbers the runs of the process. Events of earlier runs are dropped.
	run      int
	isDown   bool
	isActive bool
	timerAt  catalog.Instant
	// primaryConns holds the open connections of an entry, and whether each is to
	// a primary.
	primaryConns map[catalog.ConnID]bool
	// leasedAt is when the entry last got an answer of a leader.
	leasedAt catalog.Instant
}

// recoverySim plays the loss of control's leader and of most entries in virtual
// time.
type recoverySim struct {
	scheduler
	load     RecoveryLoad
	timings  catalog.Timings
	random   *rand.Rand
	vms      map[catalog.VMID]*modelVM
	entries  []*modelVM
	controls []*modelVM
	saved    []quorum.PersistentState
	// leader is the control VM that last answered a report as the leader.
	leader   catalog.VMID
	result   Recovery
	isOutage bool
	sequence uint64
	// The fields below differ in plays of PlayFleet.
	meter                             *fleetMeter
	controlCount, slots               int
	snapshotAfter, snapshotAfterBytes int
}

func newRecoverySim(l RecoveryLoad) *recoverySim {
	w := &recoverySim{
		load: l, timings: catalog.HostedTimings(modelDrainTimeout), random: rand.New(rand.NewPCG(l.Seed, 1)),
		vms: map[catalog.VMID]*modelVM{}, controlCount: l.Voters, snapshotAfter: 1 << 20,
	}
	w.now = catalog.Instant(time.Minute)
	return w
}

// PlayRecovery plays the loss of control's leader and, one second later, of most
// entries for 1.7 s.
func PlayRecovery(l RecoveryLoad) (Recovery, error) {
	w := newRecoverySim(l)
	if err := w.start(newState(l.Services, l.Instances)); err != nil {
		return Recovery{}, errors.Trace(err)
	}
	w.advance(warmUp)
	w.isOutage = true
	w.fail(w.vms[w.leader], leaderDownFor)
	w.advance(entriesFailAt)
	for n, e := range w.entries {
		if n*100 < len(w.entries)*failedEntriesPercent {
			w.fail(e, entriesDownFor)
		}
	}
	w.advance(entriesDownFor)
	returned, gapStart := w.now, w.now
	for end := returned.Add(outageLength); w.now.Before(end); {
		w.advance(sampleInterval)
		percent := w.leasedPercent()
		if percent < recoveredPercent {
			w.result.AfterReturn = w.now.Sub(returned)
		}
		if percent >= 50 {
			gapStart = w.now
		}
		w.result.LeaseGap = max(w.result.LeaseGap, w.now.Sub(gapStart))
	}
	return w.result, nil
}

// leasedPercent returns the proportion of running entries whose leases, granted
// with their last answer, have not expired.
func (w *recoverySim) leasedPercent() int {
	running, leased := 0, 0
	for _, e := range w.entries {
		if e.isDown {
			continue
		}
		running++
		if w.now.Sub(e.leasedAt) < w.timings.LeaseLength {
			leased++
		}
	}
	return 100 * leased / max(running, 1)
}

func controlID(n int) catalog.VMID { return catalog.VMID(fmt.Sprintf("control-%d", n)) }

func (w *recoverySim) controlIDs() []catalog.VMID {
	var out []catalog.VMID
	for n := range w.controlCount {
		out = append(out, controlID(n))
	}
	return out
}

func (w *recoverySim) start(state *registry.State) error {
	for s := range w.load.Services {
		for i := range w.load.Instances {
			// Control records no roles, so a new leader learns these again.
			a := newAnnouncement(s, i, 0)
			a.Role, a.Position, a.Slots = catalog.RoleUnknown, catalog.Position{}, w.slots
			if state.Version == 0 && w.meter != nil {
				continue
			}
			state.Upstreams = append(state.Upstreams, a)
		}
	}
	data, err := state.Snapshot()
	if err != nil {
		return errors.Trace(err)
	}
	var members []quorum.Member
	for n, vm := range w.controlIDs() {
		members = append(members, quorum.Member{VM: vm, Incarnation: 1, Voter: n < w.load.Voters})
	}
	for n, vm := range w.controlIDs() {
		k := &modelVM{id: vm, isControl: true, waiting: map[node.InputKey]node.Input{}}
		w.vms[vm], w.controls = k, append(w.controls, k)
		w.saved = append(w.saved, quorum.PersistentState{
			Self: members[n], Snapshot: quorum.Snapshot{Index: 1, Ballot: 1, Members: members, Data: data},
		})
		if err := w.startControl(n); err != nil {
			return errors.Trace(err)
		}
	}
	for n := range w.load.Entries {
		e := &modelVM{id: entryID(n), waiting: map[node.InputKey]node.Input{}}
		w.vms[e.id], w.entries = e, append(w.entries, e)
		w.startEntry(e)
	}
	for s := range w.load.Services {
		for i := range w.load.Instances {
			w.schedule(w.randomBelow(upstreamHeartbeat), func() { w.announce(s, i) })
		}
	}
	return nil
}

func (w *recoverySim) randomBelow(d time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(d)))
}

func (w *recoverySim) startControl(n int) error {
	c, err := node.NewControl(node.ControlOptions{
		VM: controlID(n), Timings: w.timings, Members: w.controlIDs(), DistributesUpstreams: true,
		Voters: w.load.Voters, PromoteAttempts: 1, Saved: w.saved[n], SnapshotAfter: w.snapshotAfter, SnapshotAfterBytes: w.snapshotAfterBytes, Seed: w.random.Uint64(),
	}, w.now)
	if err != nil {
		return errors.Trace(err)
	}
	w.controls[n].step = c.Step
	w.feed(w.controls[n], node.TimerFired{})
	return nil
}

func (w *recoverySim) startEntry(e *modelVM) {
	w.sequence++
	step := node.NewEntry(node.EntryOptions{
		VM: e.id, Site: siteID(int(w.random.Int64N(int64(w.load.Voters)))), Incarnation: w.sequence, Seed: w.random.Uint64(),
		Timings: w.timings, Control: w.controlIDs(), UpstreamsFromControl: true,
	})
	e.step = step.Step
	w.schedule(w.randomBelow(300*time.Millisecond), func() { w.feed(e, node.TimerFired{}) })
}

// fail ends a process and starts it again later.
func (w *recoverySim) fail(v *modelVM, downFor time.Duration) {
	v.run++
	v.isDown, v.isActive, v.urgent, v.inputs, v.timerAt = true, false, nil, nil, 0
	clear(v.waiting)
	w.schedule(downFor, func() {
		v.isDown = false
		if !v.isControl {
			w.startEntry(v)
			return
		}
		for n, k := range w.controls {
			if k == v {
				// NewControl has decoded this state before.
				_ = w.startControl(n)
			}
		}
	})
}

// announce sends the heartbeat of an upstream to the leader.
func (w *recoverySim) announce(service, instance int) {
	w.schedule(upstreamHeartbeat, func() { w.announce(service, instance) })
	w.sequence++
	a := newAnnouncement(service, instance, w.sequence)
	a.Slots = w.slots
	if w.meter != nil {
		w.meter.announceToAny(w, a)
	} else if k := w.vms[w.leader]; k != nil {
		w.feed(k, node.AnnouncementReceived{Announcement: a})
	}
}

func (w *recoverySim) feed(v *modelVM, in node.Input) {
	if v.isDown {
		return
	}
	if node.IsUrgent(in) {
		v.urgent = append(v.urgent, in)
	} else if key, ok := node.KeyOf(in); !ok {
		v.inputs = append(v.inputs, in)
	} else if earlier, ok := v.waiting[key]; !ok {
		v.inputs = append(v.inputs, key)
		v.waiting[key] = in
	} else if node.Supersedes(in, earlier) {
		v.waiting[key] = in
	}
	if !v.isActive {
		v.isActive = true
		w.work(v)
	}
}

// work handles the next input of a process and continues with the one after it
// once the processor is free.
func (w *recoverySim) work(v *modelVM) {
	var in node.Input
	switch {
	case len(v.urgent) > 0:
		in, v.urgent = v.urgent[0], v.urgent[1:]
	case v.timerAt != 0 && !w.now.Before(v.timerAt):
		in, v.timerAt = node.TimerFired{}, 0
	case len(v.inputs) > 0:
		in, v.inputs = v.inputs[0], v.inputs[1:]
		if key, ok := in.(node.InputKey); ok {
			in = v.waiting[key]
			delete(v.waiting, key)
		}
	default:
		v.isActive = false
		return
	}
	used := entryInputTime
	if v.isControl {
		used = controlInputTime
	}
	for _, x := range w.step(v, in) {
		if m, ok := x.(node.SendMessage); ok && v.isControl {
			used += controlMessageTime
			w.recordAnswer(v, m)
		}
		w.execute(v, x, used)
	}
	w.later(v, used, func() { w.work(v) })
}

func (w *recoverySim) step(v *modelVM, in node.Input) []node.Effect {
	e := node.Event{Now: w.now, Input: in}
	if w.meter == nil {
		return v.step(e)
	}
	started := time.Now()
	effects := v.step(e)
	w.meter.recordStep(w, v, time.Since(started))
	return effects
}

// later schedules a callback of a process. It is dropped if the process ends
// before it is due.
func (w *recoverySim) later(v *modelVM, d time.Duration, do func()) {
	run := v.run
	w.schedule(d, func() {
		if v.run == run && !v.isDown {
			do()
		}
	})
}

// execute carries out an effect that the process reaches after the given
// processor time.
func (w *recoverySim) execute(v *modelVM, x node.Effect, used time.Duration) {
	if w.meter != nil {
		w.meter.record(w, v, x)
	}
	switch e := x.(type) {
	case node.SetTimer:
		v.timerAt = e.At
		w.later(v, max(e.At.Sub(w.now), 0), func() {
			if v.timerAt == e.At && !v.isActive {
				v.isActive = true
				w.work(v)
			}
		})
	case node.SendMessage:
		delay := used + networkLatency
		if w.meter != nil {
			delay += w.meter.delay(w, v, e)
		}
		w.schedule(delay, func() { w.deliver(v, e) })
	case node.Persist:
		w.later(v, used+modelSyncTime, func() { w.feed(v, node.Persisted{Token: e.Token}) })
	case node.OpenConn:
		if v.primaryConns == nil {
			v.primaryConns = map[catalog.ConnID]bool{}
		}
		v.primaryConns[e.Conn] = strings.HasSuffix(string(e.Instance), primarySuffix)
		w.later(v, connectTime, func() { w.feed(v, node.ConnOpened{Conn: e.Conn}) })
	case node.CloseConn:
		delete(v.primaryConns, e.Conn)
		w.later(v, networkLatency, func() { w.feed(v, node.ConnLost{Conn: e.Conn}) })
	case node.Survey:
		w.later(v, connectTime, func() {
			role := catalog.RoleReplica
			if w.meter != nil {
				role = roleOfInstance(e.Instance)
			}
			w.feed(v, node.SurveyDone{Survey: e.Survey, Instance: e.Instance, Evidence: wire.EvidenceAlive, Role: role})
		})
	}
}

func (w *recoverySim) deliver(from *modelVM, m node.SendMessage) {
	to := w.vms[m.To]
	if to == nil || to.isDown {
		return
	}
	if a := m.Message.Answer; a != nil && !a.Refused && a.Version != 0 {
		to.leasedAt = w.now
	}
	w.feed(to, node.MessageReceived{From: from.id, Message: m.Message})
}

// recordAnswer counts a message of control, and the leaders by the answers that
// they give.
func (w *recoverySim) recordAnswer(from *modelVM, m node.SendMessage) {
	if w.isOutage {
		w.result.Messages++
	}
	if a := m.Message.Answer; a != nil && !a.Refused && from.id != w.leader {
		w.leader = from.id
		if w.isOutage {
			w.result.Leaders++
		}
	}
}
