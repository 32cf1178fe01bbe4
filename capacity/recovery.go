package capacity

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/quorum"
	"github.com/kingcupknot/kingcupknot/registry"
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
