package node_test

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
)

const (
	// changeTime is the time in which the faults of a changePlan begin and end.
	changeTime = 6 * time.Second
	// servedBound is how long after the last fault each entry must serve writes.
	servedBound = 12 * time.Second
)

type (
	// leaderEnd is the end of a leader. The delay counts from its first revocation or,
	// for a later leader, from its first answer to an entry.
	leaderEnd struct {
		kind  string
		delay time.Duration
		lasts time.Duration
	}
	// changePlan is a change of primary, and the ends of the leaders that order it.
	changePlan struct {
		isListed bool
		// cause is why the primary changes, and lasts how long the cause does.
		cause string
		lasts time.Duration
		// ends holds the end of the first leader that revokes leases, of the next
		// leader, and so on.
		ends []leaderEnd
	}
	// changeRun simulates a changePlan under load.
	changeRun struct {
		w    *simulation
		c    *callers
		o    *operators
		plan changePlan
		// endedLeaders counts the leaders whose end was scheduled. lastLeader is
		// the last of them.
		endedLeaders int
		lastLeader   catalog.VMID
		// givenUp holds the highest epoch that an incarnation of an entry has
		// confirmed to have given up.
		givenUp map[string]catalog.Epoch
		// epochs holds the epoch under which each request began.
		epochs map[catalog.RequestID]catalog.Epoch
	}
)

var (
	changeCauses = []string{"crash-all", "crash-primary", "freeze-primary", "switch"}
	leaderEnds   = []string{"kill", "kill-all", "stop", "freeze", "cut"}
)

// simulateChange runs a plan and fails if an entry acknowledges a write of an epoch
// that it has given up, or serves no writes after the faults.
func simulateChange(seed uint64, plan changePlan, mutate func(*simulation)) *simulation {
	w := newSimulation(seed, catalog.AckPrimary, func(w *simulation) {
		if w.isListed = plan.isListed; w.isListed {
			w.timings = catalog.HostedTimings(4 * time.Second)
		}
		if mutate != nil {
			mutate(w)
		}
	})
	w.onAnswer = func(*process, node.AnswerRequest) {}
	r := &changeRun{w: w, o: newOperators(w), plan: plan, givenUp: map[string]catalog.Epoch{}, epochs: map[catalog.RequestID]catalog.Epoch{}}
	r.o.loss = 0
	w.onSend = r.trackMessage
	w.onBegin = func(p *process, _ *instance, id catalog.RequestID) { r.epochs[id] = p.entry.RequestEpoch(id) }
	w.onStopped = func(p *process) { w.restart(p, 300*ms) }
	if plan.isListed {
		l := &listedRun{w: w, o: r.o}
		for _, id := range w.ids() {
			u := w.group[id]
			w.schedule(time.Duration(w.rng.IntN(int(heartbeatInterval))), func() { l.beat(u) })
		}
	}
	w.run(4 * time.Second)
	r.c = newCallers(w)
	handleAnswer := w.onAnswer
	w.onAnswer = func(p *process, a node.AnswerRequest) {
		r.checkEpoch(p, a)
		handleAnswer(p, a)
	}
	w.run(time.Duration(200+w.rng.IntN(1000)) * ms)
	r.begin()
	w.run(changeTime)
	r.c.until = w.now
	w.run(servedBound)
	r.c.checkServed()
	r.c.check()
	delete(operations, w)
	return w
}

// begin causes the change of primary.
func (r *changeRun) begin() {
	w := r.w
	w.counts[r.plan.cause]++
	switch r.plan.cause {
	case "crash-all":
		for _, id := range w.ids() {
			u := w.group[id]
			w.killInstance(u)
			w.schedule(r.plan.lasts, func() { u.dead = false })
		}
	case "crash-primary":
		w.restartPrimary(r.plan.lasts)
	case "freeze-primary":
		w.lastPromoted().frozenUntil = w.now.Add(r.plan.lasts)
	case "switch":
		r.o.sendCommand(r.o.randomControl(), node.Command{Switch: &node.SwitchPrimary{Service: "ledger"}}, maxRedirects, func(node.Reply) {})
	}
}

// trackMessage records which epochs entries give up, and ends leaders that revoke
// leases.
func (r *changeRun) trackMessage(p *process, m node.SendMessage) {
	switch {
	case m.Message.FenceAck != nil:
		key := fmt.Sprint(p.vm, p.incarnation)
		r.givenUp[key] = max(r.givenUp[key], m.Message.FenceAck.Epoch)
	case r.c == nil || r.endedLeaders == len(r.plan.ends) || r.lastLeader == p.vm:
	case m.Message.Revoke != nil, r.endedLeaders > 0 && m.Message.Answer != nil && !m.Message.Answer.Refused:
		end, isLater := r.plan.ends[r.endedLeaders], r.endedLeaders > 0
		r.endedLeaders++
		r.lastLeader = p.vm
		r.w.schedule(end.delay, func() { r.endLeader(p, end, isLater) })
	}
}

func (r *changeRun) endLeader(p *process, end leaderEnd, isLater bool) {
	w := r.w
	w.counts[end.kind]++
	if isLater {
		w.counts["later leader ended"]++
	}
	switch end.kind {
	case "kill":
		w.restart(p, end.lasts)
	case "kill-all":
		for _, vm := range w.names('k') {
			w.restart(w.byName[vm], end.lasts)
		}
	case "stop":
		w.drain(p)
	case "freeze":
		p.frozenUntil = w.now.Add(end.lasts)
	case "cut":
		w.isolated[p.site] = true
		w.schedule(end.lasts, func() { delete(w.isolated, p.site) })
	}
}

// checkEpoch fails if an entry acknowledges a write that ran in an epoch which the
// entry has confirmed to have given up.
func (r *changeRun) checkEpoch(p *process, a node.AnswerRequest) {
	op := r.c.byID[a.Request]
	if a.Verdict != node.VerdictDone || op == nil || !op.isWrite {
		return
	}
	epoch, given := r.epochs[op.id], r.givenUp[fmt.Sprint(p.vm, p.incarnation)]
	if epoch != 0 && epoch <= given {
		r.w.fail("%s acknowledged write %d of epoch %d after it gave up epoch %d", p.vm, op.id, epoch, given)
	}
}

// randomChange returns a plan that derives from the seed.
func randomChange(seed uint64) changePlan {
	rng := newSimulation(seed+1<<33, catalog.AckPrimary, nil).rng
	duration := func(most time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(most))) }
	plan := changePlan{isListed: rng.IntN(2) == 0, cause: changeCauses[rng.IntN(len(changeCauses))], lasts: 300*ms + duration(1500*ms)}
	for range 1 + rng.IntN(3) {
		end := leaderEnd{kind: leaderEnds[rng.IntN(len(leaderEnds))], delay: duration(10 * ms), lasts: 200*ms + duration(1800*ms)}
		if rng.IntN(3) == 0 {
			end.delay = duration(500 * ms)
		}
		plan.ends = append(plan.ends, end)
	}
	return plan
}

// readChange reads a plan of testdata/changes. The first line holds who lists the
// upstreams, the cause of the change and how long it lasts. Each further line holds
// the end of a leader: kind, delay, duration.
func readChange(t *testing.T, path string) changePlan {
	t.Helper()
	var plan changePlan
	readPlanLines(t, path, 3, func(line int, words []string) {
		if line == 0 {
			plan = changePlan{isListed: words[0] == "listed", cause: words[1], lasts: planDuration(t, words[2])}
			return
		}
		plan.ends = append(plan.ends, leaderEnd{kind: words[0], delay: planDuration(t, words[1]), lasts: planDuration(t, words[2])})
	})
	return plan
}

// TestChangeOutlivesItsLeader guards against entries that serve nothing for good because a leader ended between the fence and the election.
func TestChangeOutlivesItsLeader(t *testing.T) {
	files, err := filepath.Glob("testdata/changes/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no plans: %v", err)
	}
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) {
			checkSeeds(t, (*seeds+1)/2, nil, func(seed uint64) *simulation { return simulateChange(seed, readChange(t, f), nil) })
		})
	}
}

// TestChangeUnderRandomEndsOfLeaders guards against the same, and against writes in an epoch that was given up, with generated plans.
func TestChangeUnderRandomEndsOfLeaders(t *testing.T) {
	checkSeeds(t, 3**seeds, append(append([]string{"later leader ended"}, changeCauses...), leaderEnds...), func(seed uint64) *simulation {
		plan := randomChange(seed)
		return simulateChange(seed, plan, nil).explain(plan)
	})
}

// TestChangeDetectsLeasesAfterTheFence verifies that the check of epochs fails for entries that keep leases which they have given up.
func TestChangeDetectsLeasesAfterTheFence(t *testing.T) {
	requireViolation(t, "after it gave up", func(seed uint64) *simulation {
		return simulateChange(seed, randomChange(seed), func(w *simulation) { setLongLease(w); w.breakEntry = (*node.Entry).DisableFence })
	})
}
