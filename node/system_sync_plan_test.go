package node_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
)

type (
	// syncFault is one fault or planned change of a syncPlan. The target is an
	// instance, or "primary" for the one that leads then, or "-".
	syncFault struct {
		kind   string
		target string
		delay  time.Duration
		lasts  time.Duration
	}
	// syncPlan is a group with synchronous replicas and what happens to it.
	syncPlan struct {
		syncReplicas, instances int
		faults                  []syncFault
	}
)

const targetPrimary = "primary"

var (
	// syncInstanceFaults begin at an instance:
	//   - deaf: it receives nothing;
	//   - leave, leave-replaced: it says that it is draining, and ends after a while. A
	//     successor takes over its address and its log;
	//   - crash: it is back with its log;
	//   - rename: the same, under another id;
	//   - lose: it ends without a word;
	//   - silent: its heartbeats are lost;
	//   - freeze: it does nothing for a while;
	//   - join: a new instance starts without a log, the target is its data centre's.
	syncInstanceFaults = []string{"deaf", "leave", "leave-replaced", "crash", "rename", "lose", "silent", "freeze", "join"}
	// syncSystemFaults happen to control and to the platform.
	syncSystemFaults = []string{
		"kill-leader", "kill-leaders", "kill-control", "stop-leader", "freeze-leader", "cut-leader", "switch",
		"platform-down", "platform-late",
	}
)

func (r *syncRun) inject(f syncFault) {
	switch f.kind {
	case "kill-leader", "kill-leaders", "kill-control", "stop-leader", "freeze-leader", "cut-leader":
		r.endLeader(f)
	case "switch":
		r.w.counts[f.kind]++
		r.o.sendCommand(r.o.randomControl(), node.Command{Switch: &node.SwitchPrimary{Service: "ledger"}}, maxRedirects, func(node.Reply) {})
	case "platform-down", "platform-late":
		r.w.counts[f.kind]++
		r.platformDownUntil, r.isLate = r.w.now.Add(f.lasts), f.kind == "platform-late"
	default:
		u := r.w.lastPromoted()
		if f.target != targetPrimary {
			u = r.w.group[catalog.InstanceID(f.target)]
		}
		if !u.dead && !r.isGone(u) {
			r.injectInstance(f, u)
		}
	}
}

// retryInterval is the time until a fault is tried again that would end the last
// instance with an acknowledged write.
const retryInterval = 100 * ms

func (r *syncRun) injectInstance(f syncFault, u *instance) {
	w := r.w
	endsForGood := f.kind == "lose" || f.kind == "leave"
	if endsForGood && !r.survives(u) {
		w.schedule(retryInterval, func() {
			if !u.dead && !r.isGone(u) {
				r.injectInstance(f, u)
			}
		})
		return
	}
	w.counts[f.kind]++
	switch f.kind {
	case "deaf":
		u.isDeaf = u.role != catalog.RolePrimary
		w.schedule(f.lasts, func() { u.isDeaf = false })
	case "silent":
		u.isSilent = true
		w.schedule(f.lasts, func() { u.isSilent = false })
	case "freeze":
		u.frozenUntil = w.now.Add(f.lasts)
	case "leave", "leave-replaced":
		u.leaving = true
		r.sendBeat(u, len(w.names('k')))
		w.schedule(f.lasts, func() { r.end(f, u) })
	case "crash":
		w.killInstance(u)
		w.schedule(f.lasts, func() {
			if !r.isGone(u) {
				u.dead = false
				r.sendBeat(u, len(w.names('k')))
			}
		})
	case "rename":
		r.takeOver(u, f.lasts)
	case "lose":
		r.silentForGood++
		w.killInstance(u)
		u.address = ""
	case "join":
		r.join(u.site)
	}
}

// end ends an instance that leaves, with a last call to control.
func (r *syncRun) end(f syncFault, u *instance) {
	w := r.w
	if u.dead || r.isGone(u) {
		return
	}
	if f.kind == "leave" && (!r.survives(u) || u.role == catalog.RolePrimary) {
		w.schedule(retryInterval, func() { r.end(f, u) })
		return
	}
	r.sayGone(u, len(w.names('k')))
	if f.kind == "leave-replaced" {
		r.takeOver(u, time.Second)
		return
	}
	w.killInstance(u)
	u.address = ""
}

// sayGone tells control that an instance has ended.
func (r *syncRun) sayGone(u *instance, attempts int) {
	if attempts == 0 {
		return
	}
	command := node.Command{Retire: &node.RetireUpstream{Instance: u.id}}
	r.o.sendCommand(r.o.randomControl(), command, maxRedirects, func(a node.Reply) {
		if a.Code != node.ReplyOK {
			r.w.schedule(20*ms, func() { r.sayGone(u, attempts-1) })
		}
	})
}

// takeOver ends an instance. Another one starts at its address with its log after a
// while.
func (r *syncRun) takeOver(u *instance, after time.Duration) {
	w := r.w
	w.killInstance(u)
	next := &instance{}
	*next = *u
	u.address = ""
	next.id, next.sequence, next.leaving, next.isSilent = r.newID(u.id), 0, false, false
	w.group[next.id], w.instances = next, append(w.instances, next.id)
	for _, id := range w.ids() {
		if x := w.group[id]; x.following == u.id {
			x.following = next.id
		}
	}
	w.schedule(after, func() {
		next.dead = false
		w.replicate(next)
		r.beat(next)
	})
}

// join starts an instance with an empty log.
func (r *syncRun) join(site catalog.SiteID) {
	w := r.w
	id := r.newID("n")
	from := w.lastPromoted()
	u := &instance{
		id: id, site: site, address: string(id) + ":1", role: catalog.RoleReplica, term: 1, following: from.id,
		incarnation: uint64(w.now), pullInterval: 10 * ms, applyLag: 10 * ms,
	}
	w.group[id], w.instances = u, append(w.instances, id)
	w.replicate(u)
	r.beat(u)
}

// endLeader ends the leader of control. With kill-leaders, the next one is killed as
// soon as it leads.
func (r *syncRun) endLeader(f syncFault) {
	w := r.w
	w.counts[f.kind]++
	leader := w.leader()
	r.lastLeader = leader.vm
	switch f.kind {
	case "kill-leader":
		w.restart(leader, f.lasts)
	case "kill-leaders":
		w.restart(leader, f.lasts)
		r.endNextLeader(f.lasts, w.now.Add(planTime))
	case "kill-control":
		for _, vm := range w.names('k') {
			w.restart(w.byName[vm], f.lasts)
		}
	case "stop-leader":
		w.drain(leader)
	case "freeze-leader":
		leader.frozenUntil = w.now.Add(f.lasts)
	case "cut-leader":
		w.isolated[leader.site] = true
		w.schedule(f.lasts, func() { delete(w.isolated, leader.site) })
	}
}

// endNextLeader kills the next leader once it leads.
func (r *syncRun) endNextLeader(lasts time.Duration, until catalog.Instant) {
	w := r.w
	leader := w.leader()
	if !leader.dead && leader.control.Leads() && leader.vm != r.lastLeader {
		w.counts["later leader ended"]++
		w.schedule(time.Duration(w.rng.IntN(1500))*ms, func() { w.restart(leader, lasts) })
		return
	}
	if w.now < until {
		w.schedule(5*ms, func() { r.endNextLeader(lasts, until) })
	}
}

// randomSyncPlan returns a plan that derives from the seed: one replica or more
// receive nothing for a while, meanwhile instances change and control ends, and the
// primary is lost.
func randomSyncPlan(seed uint64) syncPlan {
	rng := newSimulation(seed+1<<35, catalog.AckPrimary, nil).rng
	plan := syncPlan{syncReplicas: 1 + rng.IntN(2)}
	plan.instances = plan.syncReplicas + 2 + rng.IntN(2)
	target := func() string { return string(rune('a' + rng.IntN(plan.instances))) }
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(rng.Int64N(int64(most-least)))
	}
	primaryEnds := between(2*time.Second, 6*time.Second)
	deaf := 1 + rng.IntN(2)
	if rng.IntN(2) == 0 {
		// All but the fewest replicas that make an acknowledgement.
		deaf = plan.instances - 1 - plan.syncReplicas
	}
	for _, n := range rng.Perm(plan.instances - 1)[:min(deaf, plan.instances-1)] {
		f := syncFault{"deaf", string(rune('b' + n)), between(0, primaryEnds), between(ms, 6500*ms)}
		if rng.IntN(2) == 0 {
			f.lasts = max(f.lasts, primaryEnds+time.Second-f.delay)
		}
		plan.faults = append(plan.faults, f)
	}
	for range 1 + rng.IntN(3) {
		kind := syncInstanceFaults[rng.IntN(len(syncInstanceFaults))]
		f := syncFault{kind, target(), between(0, primaryEnds+time.Second), between(300*ms, 3*time.Second)}
		if kind == "lose" && plan.losesInstance() {
			f.kind = "crash"
		}
		plan.faults = append(plan.faults, f)
	}
	for range rng.IntN(4) {
		plan.faults = append(plan.faults, randomSystemFault(rng, primaryEnds))
	}
	last := []string{"crash", "rename", "lose", "lose", "leave-replaced", "freeze"}[rng.IntN(6)]
	plan.faults = append(plan.faults, syncFault{last, targetPrimary, primaryEnds, between(300*ms, 3*time.Second)})
	return plan
}

// losesInstance reports whether the plan has an instance that ends without a word.
func (p syncPlan) losesInstance() bool {
	for _, f := range p.faults {
		if f.kind == "lose" {
			return true
		}
	}
	return false
}

// randomSystemFault returns a fault of control or of the platform near an instant.
func randomSystemFault(rng *rand.Rand, near time.Duration) syncFault {
	f := syncFault{kind: syncSystemFaults[rng.IntN(len(syncSystemFaults))], target: "-", delay: max(0, near+time.Duration(rng.IntN(3000)-1500)*ms)}
	f.lasts = time.Duration(200+rng.IntN(2500)) * ms
	if f.kind == "platform-down" {
		f.lasts += time.Duration(rng.IntN(16)) * time.Second
	}
	return f
}

// readSyncPlan reads a plan of testdata/sync. The first line holds the number of
// synchronous replicas and of instances. Each further line holds a fault: kind,
// target, delay, duration.
func readSyncPlan(t *testing.T, path string) syncPlan {
	t.Helper()
	var plan syncPlan
	readPlanLines(t, path, 4, func(line int, words []string) {
		if line == 0 {
			plan = syncPlan{syncReplicas: planNumber(t, words[1]), instances: planNumber(t, words[3])}
			return
		}
		plan.faults = append(plan.faults, syncFault{words[0], words[1], planDuration(t, words[2]), planDuration(t, words[3])})
	})
	return plan
}

// planNumber returns the number that a word of a plan gives.
func planNumber(t *testing.T, word string) int {
	t.Helper()
	n, err := strconv.Atoi(word)
	if err != nil {
		t.Fatal(err)
	}
	return n
}
