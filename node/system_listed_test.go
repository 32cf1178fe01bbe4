package node_test

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
)

const (
	heartbeatInterval = 1200 * ms
	// leaveBound is how long after its acknowledgement an upstream that leaves may
	// get new work from an entry in contact.
	leaveBound = 7 * time.Second
	// contactTime is how long an entry and control must have been without a fault
	// to count as in contact.
	contactTime = 4 * time.Second
	checkEvery  = 50 * ms
	// planTime is the time in which the faults of a plan begin.
	planTime = 6 * time.Second
)

type (
	// plannedFault is one fault of a leavePlan. It begins at a delay after the plan
	// started, or the upstream first said that it leaves or got the acknowledgement.
	plannedFault struct {
		anchor      string
		delay       time.Duration
		kind        string
		lasts       time.Duration
		wasInjected bool
	}
	// leavePlan is a sequence of faults around the leaving of an upstream.
	leavePlan struct {
		// upstream leaves. Without repeats, it says nothing more once it got an
		// acknowledgement.
		upstream catalog.InstanceID
		way      string
		repeats  bool
		// wait is the time from the start of the plan until it leaves.
		wait   time.Duration
		faults []plannedFault
	}
	// listedRun simulates upstreams that announce themselves to control, which
	// distributes the list.
	listedRun struct {
		w    *simulation
		o    *operators
		plan leavePlan
		// ackedAt holds when the leaving of an incarnation was first acknowledged.
		ackedAt     catalog.Instant
		incarnation uint64
	}
)

const (
	anchorStart = "start"
	anchorSaid  = "said"
	anchorAcked = "acked"
	// An upstream says that it is draining, or that it is gone.
	wayDraining = "draining"
	wayGone     = "gone"
)

var faultKinds = []string{
	"kill-leader", "kill-control", "reboot-control", "kill-entries", "stop-leader", "freeze-leader", "freeze-entry",
	"cut-leader", "cut-entry", "lose-messages", "kill-upstream",
}

// simulateListed runs a plan and fails if an entry in contact may give work to the
// upstream later than leaveBound after the acknowledgement.
func simulateListed(seed uint64, plan leavePlan) *simulation {
	w := newSimulation(seed, catalog.AckPrimary, func(w *simulation) { w.isListed, w.timings = true, catalog.HostedTimings(4*time.Second) })
	w.onAnswer = func(*process, node.AnswerRequest) {}
	r := &listedRun{w: w, o: newOperators(w), plan: plan}
	r.o.loss = 0
	w.onStopped = func(p *process) { w.restart(p, 300*ms) }
	for _, id := range w.ids() {
		u := w.group[id]
		w.schedule(time.Duration(w.rng.IntN(int(heartbeatInterval))), func() { r.beat(u) })
	}
	w.run(4 * time.Second)
	u := w.group[plan.upstream]
	r.incarnation = u.incarnation
	w.run(time.Duration(w.rng.IntN(1000)) * ms)
	r.begin(anchorStart)
	w.run(plan.wait)
	u.leaving = true
	r.leave(u)
	for end := w.now.Add(planTime + leaveBound + contactTime); w.now < end; {
		w.run(checkEvery)
		r.check()
	}
	if r.ackedAt == 0 {
		w.counts["not acked"]++
	}
	return w
}

// beat sends the heartbeats of an upstream to any control VM.
func (r *listedRun) beat(u *instance) {
	r.w.schedule(heartbeatInterval, func() { r.beat(u) })
	if u.dead || u.leaving || r.w.now < u.frozenUntil {
		return
	}
	r.o.sendCommand(r.o.randomControl(), r.announcement(u), maxRedirects, func(node.Reply) {})
}

func (r *listedRun) announcement(u *instance) node.Command {
	u.sequence++
	return node.Command{Announce: &node.Announce{Announcement: catalog.Announcement{
		Service: "ledger", Instance: u.id, Address: u.address, Site: u.site, Role: u.role,
		Leaving: u.leaving, Incarnation: u.incarnation, Sequence: u.sequence,
	}}}
}

// leave sends that the upstream leaves until that is acknowledged.
func (r *listedRun) leave(u *instance) {
	if u.incarnation != r.incarnation || r.ackedAt != 0 && !r.plan.repeats {
		return
	}
	command := r.announcement(u)
	if r.plan.way == wayGone {
		command = node.Command{Retire: &node.RetireUpstream{Instance: u.id}}
	}
	r.begin(anchorSaid)
	r.o.sendCommand(r.o.randomControl(), command, maxRedirects, func(a node.Reply) {
		if a.Code != node.ReplyOK {
			r.w.schedule(200*ms, func() { r.leave(u) })
			return
		}
		if r.ackedAt == 0 && u.incarnation == r.incarnation {
			r.ackedAt = r.w.now
			r.begin(anchorAcked)
		}
		if r.plan.repeats {
			r.w.schedule(heartbeatInterval, func() { r.leave(u) })
		}
	})
}

// begin schedules the faults of an anchor, once.
func (r *listedRun) begin(anchor string) {
	for n := range r.plan.faults {
		f := &r.plan.faults[n]
		if f.anchor == anchor && !f.wasInjected {
			f.wasInjected = true
			r.w.schedule(f.delay, func() { r.inject(*f) })
		}
	}
}

func (r *listedRun) inject(f plannedFault) {
	w := r.w
	w.counts[f.kind]++
	leader := w.leader()
	names := w.names('e')
	entry := w.byName[names[w.rng.IntN(len(names))]]
	end := w.now.Add(f.lasts)
	for _, p := range w.vms {
		p.calmSince = max(p.calmSince, end)
	}
	switch f.kind {
	case "kill-leader":
		w.restart(leader, f.lasts)
	case "kill-control", "reboot-control":
		for _, vm := range w.names('k') {
			p := w.byName[vm]
			w.restart(p, f.lasts)
			if f.kind == "reboot-control" {
				// The clocks of VMs start again at zero.
				p.bootedAt = w.now
			}
		}
	case "kill-entries":
		w.restart(entry, f.lasts)
	case "stop-leader":
		w.drain(leader)
	case "freeze-leader":
		leader.frozenUntil = end
	case "freeze-entry":
		entry.frozenUntil = end
	case "cut-leader":
		r.isolate(leader.site, f.lasts)
	case "cut-entry":
		r.isolate(entry.site, f.lasts)
	case "lose-messages":
		w.loss = 0.4
		w.schedule(f.lasts, func() { w.loss = 0 })
	case "kill-upstream":
		r.restartUpstream(f.lasts)
	}
}

// leader returns the control VM that leads, or any other one while none does.
func (w *simulation) leader() *process {
	for _, vm := range w.names('k') {
		if p := w.byName[vm]; !p.dead && p.control.Leads() {
			return p
		}
	}
	names := w.names('k')
	return w.byName[names[w.rng.IntN(len(names))]]
}

func (r *listedRun) isolate(s catalog.SiteID, lasts time.Duration) {
	r.w.isolated[s] = true
	r.w.schedule(lasts, func() { delete(r.w.isolated, s) })
}

// restartUpstream ends the upstream that leaves. It starts again under its id,
// ready.
func (r *listedRun) restartUpstream(lasts time.Duration) {
	u := r.w.group[r.plan.upstream]
	if u.dead {
		return
	}
	r.w.killInstance(u)
	r.w.schedule(lasts, func() { u.dead, u.leaving, u.sequence = false, false, 0 })
}

// check fails if an entry in contact gives work to the upstream that left.
func (r *listedRun) check() {
	w := r.w
	if r.ackedAt == 0 || w.now < r.ackedAt.Add(leaveBound) {
		return
	}
	for _, vm := range w.names('e') {
		p := w.byName[vm]
		if !p.dead && w.now >= p.calmSince.Add(contactTime) && p.entry.GivesWork(r.plan.upstream, r.incarnation) {
			w.fail("%s gives work to %s (life %d) %v after the acknowledgement", vm, r.plan.upstream, r.incarnation, w.now.Sub(r.ackedAt))
		}
	}
}

// randomPlan returns a plan that derives from the seed.
func randomPlan(seed uint64) leavePlan {
	w := newSimulation(seed+1<<32, catalog.AckPrimary, nil)
	plan := leavePlan{
		upstream: w.ids()[w.rng.IntN(3)], way: wayDraining, repeats: w.rng.IntN(4) == 0,
		wait: time.Duration(w.rng.IntN(1500)) * ms,
	}
	if w.rng.IntN(4) == 0 {
		plan.way = wayGone
	}
	for range 1 + w.rng.IntN(4) {
		f := plannedFault{
			anchor: anchorAcked, delay: time.Duration(w.rng.IntN(30_000)) * time.Microsecond,
			kind: faultKinds[w.rng.IntN(len(faultKinds))], lasts: time.Duration(100+w.rng.IntN(2000)) * ms,
		}
		switch w.rng.IntN(4) {
		case 0:
			f.anchor = anchorSaid
		case 1:
			f.anchor, f.delay = anchorStart, time.Duration(w.rng.IntN(int(plan.wait+1)))
		}
		if w.rng.IntN(4) == 0 {
			f.delay = time.Duration(w.rng.IntN(int(planTime)))
		}
		plan.faults = append(plan.faults, f)
	}
	return plan
}

// readPlan reads a plan of testdata/leaving. The first line holds the upstream, how
// it leaves, "once" or "repeats", and how long it waits. Each further line holds a
// fault: anchor, delay, kind, duration.
func readPlan(t *testing.T, path string) leavePlan {
	t.Helper()
	var plan leavePlan
	readPlanLines(t, path, 4, func(line int, words []string) {
		if line == 0 {
			plan = leavePlan{upstream: catalog.InstanceID(words[0]), way: words[1], repeats: words[2] == "repeats", wait: planDuration(t, words[3])}
			return
		}
		plan.faults = append(plan.faults, plannedFault{anchor: words[0], delay: planDuration(t, words[1]), kind: words[2], lasts: planDuration(t, words[3])})
	})
	return plan
}

// TestLeavingUpstreamIsForgottenByNoEntry guards against requests to an upstream that left before a fault.
func TestLeavingUpstreamIsForgottenByNoEntry(t *testing.T) {
	files, err := filepath.Glob("testdata/leaving/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no plans: %v", err)
	}
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) {
			checkSeeds(t, *seeds, nil, func(seed uint64) *simulation { return simulateListed(seed, readPlan(t, f)) })
		})
	}
}

// TestLeavingUpstreamUnderRandomFaults guards against the same, under faults in generated orders.
func TestLeavingUpstreamUnderRandomFaults(t *testing.T) {
	checkSeeds(t, 5**seeds, faultKinds, func(seed uint64) *simulation {
		plan := randomPlan(seed)
		return simulateListed(seed, plan).explain(plan)
	})
}
