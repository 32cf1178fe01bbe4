package node_test

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
)

type (
	// restart is a kill of several processes, which are down for a time.
	restart struct {
		kind string
		// delay is the time since the restarts begin.
		delay time.Duration
		down  time.Duration
	}
	// restartPlan is a sequence of restarts, and what happens to the primary.
	restartPlan struct {
		isListed bool
		// fault is what the primary suffers for good, lostAt when that begins,
		// relative to the first restart.
		fault    string
		lostAt   time.Duration
		restarts []restart
	}
)

const (
	// restartTime is the time from the first restart until all processes run.
	restartTime = 8 * time.Second
	// silentTime is longer than any simulation.
	silentTime = time.Hour
)

var (
	primaryFaults = []string{"silent", "cut", "promoted-silent"}
	restartKinds  = []string{"entries", "control", "all"}
)

// simulateRestarts runs a plan and fails if an entry serves no writes at its end, or
// if there was a change of primary without a fault of the primary.
func simulateRestarts(seed uint64, plan restartPlan) *simulation {
	w := newSimulation(seed, catalog.AckPrimary, func(w *simulation) {
		if w.isListed = plan.isListed; w.isListed {
			w.timings = catalog.HostedTimings(4 * time.Second)
		}
	})
	w.onAnswer = func(*process, node.AnswerRequest) {}
	o := newOperators(w)
	o.loss = 0
	if plan.isListed {
		l := &listedRun{w: w, o: o}
		for _, id := range w.ids() {
			u := w.group[id]
			w.schedule(time.Duration(w.rng.IntN(int(heartbeatInterval))), func() { l.beat(u) })
		}
	}
	w.run(4 * time.Second)
	c := newCallers(w)
	c.sendWrites(w.now.Add(time.Second + restartTime + servedBound))
	w.run(time.Second)
	if plan.fault != "" {
		w.schedule(time.Second+plan.lostAt, func() { w.losePrimary(plan.fault) })
	}
	for _, r := range plan.restarts {
		w.schedule(time.Second+r.delay, func() { w.restartAll(r) })
		if plan.fault == "" {
			w.schedule(time.Second+r.delay+r.down+time.Duration(w.rng.IntN(1200))*ms, w.pausePrimary)
		}
	}
	w.run(time.Second + restartTime)
	c.until = w.now
	w.run(servedBound)
	if epoch := w.leader().control.PrimaryEpoch("ledger"); plan.fault == "" && epoch > 1 {
		w.fail("a primary that was not lost was elected again in epoch %d (%d promotions)", epoch, w.counts["promotion"])
	}
	c.checkServed()
	c.check()
	delete(operations, w)
	return w
}

// pausePrimary lets the first attempts of processes that have just started time out.
func (w *simulation) pausePrimary() {
	w.counts["pause"]++
	u := w.lastPromoted()
	u.frozenUntil = max(u.frozenUntil, w.now.Add(w.timings.SuspectTimeout*7/10))
}

// losePrimary makes the primary unreachable for good.
func (w *simulation) losePrimary(fault string) {
	w.counts[fault]++
	u := w.lastPromoted()
	switch fault {
	case "silent":
		u.frozenUntil = w.now.Add(silentTime)
	case "cut":
		w.isolated[u.site] = true
	case "promoted-silent":
		w.restartPrimary(silentTime)
		w.awaitPromotion(w.counts["promotion"])
	}
}

// awaitPromotion makes the next primary unreachable for good as soon as it was
// promoted, and lets the former one start again.
func (w *simulation) awaitPromotion(promotions int) {
	if w.counts["promotion"] == promotions {
		w.schedule(ms, func() { w.awaitPromotion(promotions) })
		return
	}
	next := w.lastPromoted()
	w.schedule(time.Duration(w.rng.IntN(3000))*ms, func() {
		next.frozenUntil = w.now.Add(silentTime)
		for _, id := range w.ids() {
			if u := w.group[id]; u.dead {
				u.dead = false
			}
		}
	})
}

func (w *simulation) restartAll(r restart) {
	w.counts[r.kind]++
	for _, p := range w.vms {
		if r.kind == "all" || (p.vm[0] == 'e') == (r.kind == "entries") {
			// All start within 300 ms of each other.
			w.restart(p, r.down+time.Duration(w.rng.IntN(300))*ms)
		}
	}
}

// randomRestarts returns a plan with a fault of the primary that derives from the
// seed.
func randomRestarts(seed uint64) restartPlan {
	rng := newSimulation(seed+1<<34, catalog.AckPrimary, nil).rng
	plan := restartPlan{
		isListed: rng.IntN(3) > 0, fault: primaryFaults[rng.IntN(len(primaryFaults))],
		lostAt: time.Duration(rng.IntN(4000)-1000) * ms,
	}
	for n := range 1 + rng.IntN(3) {
		plan.restarts = append(plan.restarts, restart{
			kind: restartKinds[rng.IntN(len(restartKinds))], delay: time.Duration(n*1500+rng.IntN(1500)) * ms,
			down: time.Duration(100+rng.IntN(1500)) * ms,
		})
	}
	return plan
}

// readRestarts reads a plan of testdata/restarts. The first line holds who lists the
// upstreams, when the primary is lost, and how. Each further line holds a restart:
// which processes, when, and for how long they are down.
func readRestarts(t *testing.T, path string) restartPlan {
	t.Helper()
	var plan restartPlan
	readPlanLines(t, path, 3, func(line int, words []string) {
		if line == 0 {
			plan = restartPlan{isListed: words[0] == "listed", lostAt: planDuration(t, words[1]), fault: words[2]}
			return
		}
		plan.restarts = append(plan.restarts, restart{kind: words[0], delay: planDuration(t, words[1]), down: planDuration(t, words[2])})
	})
	return plan
}

// TestSilentPrimaryIsReplacedAfterRestart guards against a primary that is never replaced because no process has heard it since it started.
func TestSilentPrimaryIsReplacedAfterRestart(t *testing.T) {
	files, err := filepath.Glob("testdata/restarts/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no plans: %v", err)
	}
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) {
			checkSeeds(t, (*seeds+1)/2, nil, func(seed uint64) *simulation { return simulateRestarts(seed, readRestarts(t, f)) })
		})
	}
}

// TestLostPrimaryUnderRandomRestarts guards against the same, with generated restarts.
func TestLostPrimaryUnderRandomRestarts(t *testing.T) {
	checkSeeds(t, 3**seeds, append(append([]string{}, primaryFaults...), restartKinds...), func(seed uint64) *simulation {
		plan := randomRestarts(seed)
		return simulateRestarts(seed, plan).explain(plan)
	})
}

// TestRestartReplacesNoHealthyPrimary guards against a primary that is replaced because the processes that have just started have not heard it yet.
func TestRestartReplacesNoHealthyPrimary(t *testing.T) {
	checkSeeds(t, 3**seeds, append([]string{"pause"}, restartKinds...), func(seed uint64) *simulation {
		plan := randomRestarts(seed)
		plan.fault = ""
		return simulateRestarts(seed, plan).explain(plan)
	})
}
