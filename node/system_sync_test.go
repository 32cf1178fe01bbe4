package node_test

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
)

// syncRun simulates a group with synchronous replicas on the platform: instances
// announce themselves to control, and only the platform promotes.
type syncRun struct {
	w    *simulation
	c    *callers
	o    *operators
	plan syncPlan
	// highestFence is the highest epoch of a promotion that the platform has seen.
	highestFence catalog.Epoch
	// platformDownUntil is until when the platform answers nothing. isLate is set if
	// it carries out then what it was asked meanwhile.
	platformDownUntil catalog.Instant
	isLate            bool
	// lastLeader is the leader that was ended last.
	lastLeader catalog.VMID
	// silentForGood counts the instances that ended without a word and without a
	// successor.
	silentForGood int
	// lost holds the writes that were reported as lost.
	lost map[catalog.RequestID]bool
}

const (
	// maxSilence is how long an instance may hold up an election without a word.
	maxSilence = 15 * time.Second
	// endedGrace is how long the callers go on after the last fault of a plan.
	endedGrace = time.Second
)

// simulateSync runs a plan and fails if an acknowledged write is not in the log of an
// instance that is promoted, or if writes are not served within the bound after it.
func simulateSync(seed uint64, plan syncPlan, mutate func(*simulation)) *simulation {
	w := newSimulation(seed, catalog.AckPrimary, func(w *simulation) {
		w.isListed, w.timings, w.syncReplicas = true, catalog.HostedTimings(4*time.Second), plan.syncReplicas
		for n := range plan.instances {
			w.instances = append(w.instances[:n:n], catalog.InstanceID('a'+rune(n)))
		}
		if mutate != nil {
			mutate(w)
		}
	})
	w.onAnswer = func(*process, node.AnswerRequest) {}
	r := &syncRun{w: w, o: newOperators(w), plan: plan, lost: map[catalog.RequestID]bool{}}
	r.o.loss = 0
	w.onStopped = func(p *process) { w.restart(p, 300*ms) }
	w.onPromote = r.promote
	for _, id := range slices.Clone(w.ids()) {
		u := w.group[id]
		w.schedule(time.Duration(w.rng.IntN(int(heartbeatInterval))), func() { r.beat(u) })
	}
	w.run(4 * time.Second)
	r.c = newCallers(w)
	end := time.Second
	for _, f := range plan.faults {
		w.schedule(f.delay, func() { r.inject(f) })
		end = max(end, f.delay+f.lasts+endedGrace)
	}
	r.c.until = w.now.Add(end)
	w.run(end)
	bound := servedBound
	if r.silentForGood > 0 {
		bound += maxSilence
	}
	w.run(bound)
	r.c.checkServed()
	r.c.check()
	delete(operations, w)
	return w
}

// beat sends the heartbeats of an upstream, each to another control VM until one
// acknowledges it.
func (r *syncRun) beat(u *instance) {
	if r.isGone(u) {
		return
	}
	r.w.schedule(heartbeatInterval, func() { r.beat(u) })
	r.sendBeat(u, len(r.w.names('k')))
}

// isGone reports whether an upstream has ended for good.
func (r *syncRun) isGone(u *instance) bool { return r.w.group[u.id] != u || u.address == "" }

func (r *syncRun) sendBeat(u *instance, attempts int) {
	if attempts == 0 || u.dead || u.isSilent || r.w.now < u.frozenUntil {
		return
	}
	l := &listedRun{w: r.w, o: r.o}
	r.o.sendCommand(r.o.randomControl(), l.announcement(u), maxRedirects, func(a node.Reply) {
		if a.Code != node.ReplyOK {
			r.w.schedule(20*ms, func() { r.sendBeat(u, attempts-1) })
		}
	})
}

// promote carries out a promotion as the platform does: the instance leads the next
// term with what it has received, and the former primary leads no more.
func (r *syncRun) promote(p *process, v node.Promote) {
	w, incarnation := r.w, p.incarnation
	done := node.PromoteDone{Service: v.Service, Instance: v.Instance, Epoch: v.Epoch}
	if w.now < r.platformDownUntil {
		w.counts["promotion not answered"]++
		w.schedule(w.untilLocal(p, v.Deadline), func() { w.handle(p, incarnation, done) })
		if r.isLate {
			w.schedule(r.platformDownUntil.Sub(w.now), func() { r.lead(v) })
		}
		return
	}
	w.schedule(20*ms, func() {
		if u := r.lead(v); u != nil {
			done.OK, done.Position = true, u.position()
		}
		w.deliver(p, incarnation, 10*ms, done)
	})
}

// lead makes an instance the primary, unless a newer promotion was seen or the
// instance does not run. It returns the primary.
func (r *syncRun) lead(v node.Promote) *instance {
	w, u := r.w, r.w.group[v.Instance]
	if v.Epoch < r.highestFence || u.dead || r.isGone(u) {
		return nil
	}
	r.highestFence = v.Epoch
	if u.role == catalog.RolePrimary {
		return u
	}
	w.counts["promotion"]++
	u.log = u.receivedLog()
	for _, id := range w.ids() {
		x := w.group[id]
		u.term = max(u.term, x.term)
		if x.role == catalog.RolePrimary {
			x.role, x.following = catalog.RoleReplica, ""
		}
	}
	u.role, u.following, u.promotedAt, u.isDeaf = catalog.RolePrimary, "", w.now, false
	u.term++
	r.checkKept(u)
	return u
}

// checkKept fails if an acknowledged write is not in the log of a new primary.
func (r *syncRun) checkKept(u *instance) {
	held := map[record]bool{}
	for _, x := range u.log {
		held[record{key: x.key, value: x.value}] = true
	}
	missing := 0
	for _, op := range r.c.ops {
		if op.isAcked() && !r.lost[op.id] && !held[record{key: op.key, value: op.value}] {
			r.lost[op.id] = true
			missing++
		}
	}
	if missing > 0 {
		r.w.fail("%s was promoted without %d acknowledged writes", u.id, missing)
	}
}

func (op *operation) isAcked() bool {
	return op.isWrite && op.answered && op.verdict == node.VerdictDone
}

// survives reports whether each acknowledged write is at another instance, too, that
// has not ended, and whether enough instances are left for writes.
func (r *syncRun) survives(without *instance) bool {
	held, left := map[record]bool{}, 0
	for _, id := range r.w.ids() {
		if u := r.w.group[id]; u != without && !r.isGone(u) {
			left++
			for _, x := range u.receivedLog() {
				held[record{key: x.key, value: x.value}] = true
			}
		}
	}
	if left <= r.plan.syncReplicas {
		return false
	}
	for _, op := range r.c.ops {
		if op.isAcked() && !held[record{key: op.key, value: op.value}] {
			return false
		}
	}
	return true
}

// TestSynchronousWritesSurviveChanges guards against acknowledged writes that are lost because control does not know all instances that may hold them.
func TestSynchronousWritesSurviveChanges(t *testing.T) {
	files, err := filepath.Glob("testdata/sync/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no plans: %v", err)
	}
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) {
			checkSeeds(t, *seeds, nil, func(seed uint64) *simulation { return simulateSync(seed, readSyncPlan(t, f), nil) })
		})
	}
}

// TestSynchronousWritesDetectsAnyAnswer verifies that the check of acknowledged writes fails if one answer suffices for an election.
func TestSynchronousWritesDetectsAnyAnswer(t *testing.T) {
	requireViolation(t, "acknowledged writes", func(seed uint64) *simulation {
		return simulateSync(seed, randomSyncPlan(seed), func(w *simulation) { w.breakControl = (*node.Control).DisableSurveyQuorum })
	})
}

// newID returns the id of an instance that starts.
func (r *syncRun) newID(base catalog.InstanceID) catalog.InstanceID {
	return catalog.InstanceID(fmt.Sprintf("%c%d", base[0], len(r.w.ids())))
}
