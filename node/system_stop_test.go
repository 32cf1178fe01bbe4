package node_test

import (
	"slices"
	"testing"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
)

const (
	// noWorkAfter is how long an upstream may get new work after it announced
	// that it leaves.
	noWorkAfter = 3 * time.Second
	// switchedAfter is how long the replacement of a leaving primary may take.
	// Control checks all services only once per second.
	switchedAfter = 4 * time.Second
	leavingTime   = 6 * time.Second
	stopTime      = 4 * time.Second
	drainTime     = 4 * time.Second
)

// Ways in which an upstream leaves.
const (
	leaveAnnounced   = "leave"
	leaveSilent      = "silent"
	leaveIsolated    = "leave and isolated"
	leaveUnannounced = "unannounced"
)

// simulateLeaving makes an upstream leave under load and fails if the upstream
// gets new work afterwards.
func simulateLeaving(seed uint64, way string) *simulation {
	w := newSimulation(seed, catalog.AckReplicated, nil)
	w.onAnswer = func(*process, node.AnswerRequest) {}
	w.run(2 * time.Second)
	c := newCallers(w)
	c.until = w.now.Add(leavingTime)
	w.run(time.Duration(500+w.rng.IntN(500)) * ms)
	u := w.group[w.ids()[w.rng.IntN(3)]]
	since, primary := w.now, w.lastPromoted() == u
	w.counts["leave"]++
	if primary {
		w.counts["leaving primary"]++
	}
	u.leaving = way == leaveAnnounced || way == leaveIsolated
	u.isSilent = way == leaveSilent
	if way == leaveIsolated {
		w.isolated[u.site] = true
		w.schedule(4*time.Second, func() { delete(w.isolated, u.site) })
	}
	w.onBegin = func(p *process, at *instance, id catalog.RequestID) {
		if at == u && w.now > since.Add(noWorkAfter) {
			w.fail("%s gave work %d to %s %v after it left", p.vm, id, u.id, w.now.Sub(since))
		}
	}
	w.run(switchedAfter)
	if primary && w.lastPromoted() == u {
		w.fail("%s leaves and is still the primary", u.id)
	}
	w.run(c.until.Sub(w.now))
	w.run(drainTime)
	w.onBegin = nil
	c.check()
	delete(operations, w)
	return w
}

func TestSystemLeaving(t *testing.T) {
	for _, way := range []string{leaveAnnounced, leaveSilent, leaveIsolated} {
		t.Run(way, func(t *testing.T) {
			checkSeeds(t, (*seeds+1)/2, []string{"leave", "leaving primary"}, func(seed uint64) *simulation { return simulateLeaving(seed, way) })
		})
	}
}

func TestSystemLeavingDetectsViolations(t *testing.T) {
	requireViolation(t, "gave work", func(seed uint64) *simulation { return simulateLeaving(seed, leaveUnannounced) })
	requireViolation(t, "is still the primary", func(seed uint64) *simulation { return simulateLeaving(seed, leaveUnannounced) })
}

// simulateStop performs a planned change under load, without any fault, and
// fails unless every request is completed.
func simulateStop(seed uint64, do func(*simulation, *operators)) *simulation {
	w := newSimulation(seed, catalog.AckReplicated, nil)
	w.onAnswer = func(*process, node.AnswerRequest) {}
	o := newOperators(w)
	o.loss = 0
	stopped := map[catalog.VMID]bool{}
	w.onStopped = func(p *process) {
		stopped[p.vm] = true
		w.schedule(50*ms, func() { w.kill(p) })
	}
	w.run(2 * time.Second)
	c := newCallers(w)
	c.until = w.now.Add(stopTime)
	w.run(time.Duration(1000+w.rng.IntN(500)) * ms)
	do(w, o)
	w.run(c.until.Sub(w.now))
	w.run(drainTime)
	for _, p := range w.vms {
		if p.draining && !stopped[p.vm] {
			w.fail("%s never stopped", p.vm)
		}
	}
	for _, op := range c.ops {
		if op.verdict != node.VerdictDone {
			w.fail("request %d at %s from %v to %v ended with verdict %d", op.id, op.entry.vm, time.Duration(op.startedAt), time.Duration(op.endedAt), op.verdict)
		}
	}
	c.check()
	delete(operations, w)
	return w
}

func (w *simulation) drain(p *process) {
	p.draining = true
	w.counts["drain "+string(p.vm[0])]++
	w.deliver(p, p.incarnation, 0, node.DrainRequested{})
}

func switchPrimary(w *simulation, o *operators) {
	o.sendCommand(o.randomControl(), node.Command{Switch: &node.SwitchPrimary{Service: "ledger"}}, maxRedirects, func(r node.Reply) {
		if r.Code == node.ReplyOK {
			w.counts["switch"]++
			return
		}
		w.fail("the planned change was answered with %s: %s", r.Code, r.Text)
	})
}

func drainEntry(w *simulation, _ *operators) {
	names := w.names('e')
	w.drain(w.byName[names[w.rng.IntN(len(names))]])
}

func drainLeader(w *simulation, o *operators) {
	w.drain(o.findLeader())
}

func TestSystemPlannedSwitch(t *testing.T) {
	checkSeeds(t, *seeds, []string{"switch"}, func(seed uint64) *simulation { return simulateStop(seed, switchPrimary) })
}

func TestSystemPlannedStopOfEntry(t *testing.T) {
	checkSeeds(t, *seeds, []string{"drain e"}, func(seed uint64) *simulation { return simulateStop(seed, drainEntry) })
}

func TestSystemPlannedStopOfControl(t *testing.T) {
	checkSeeds(t, *seeds, []string{"drain k"}, func(seed uint64) *simulation { return simulateStop(seed, drainLeader) })
}

// TestSystemStopsDetectsViolations verifies that the checks of simulateStop
// fail if a primary or an entry is killed instead of stopped.
func TestSystemStopsDetectsViolations(t *testing.T) {
	t.Run("primary", func(t *testing.T) {
		requireViolation(t, "ended with verdict", func(seed uint64) *simulation {
			return simulateStop(seed, func(w *simulation, _ *operators) { w.restartPrimary(5 * time.Second) })
		})
	})
	t.Run("entry", func(t *testing.T) {
		requireViolation(t, "ended with verdict 2", func(seed uint64) *simulation {
			return simulateStop(seed, func(w *simulation, _ *operators) { w.kill(w.byName[slices.Max(w.names('e'))]) })
		})
	})
}
