package node_test

import (
	"slices"
	"testing"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
)

const (
	// noWorkAfter is how long after its word a leaving upstream may get new
	// work.
	noWorkAfter = 3 * time.Second
	// switchedAfter is when a leaving primary must have been replaced. Control
	// looks at all services once a second only.
	switchedAfter = 4 * time.Second
	leavingTime   = 6 * time.Second
	stopTime      = 4 * time.Second
	quietTime     = 4 * time.Second
)

// Ways for an upstream to leave.
const (
	leaveSaid   = "leave"
	leaveQuiet  = "quiet"
	leaveCut    = "leave and cut"
	leaveUnsaid = "unsaid"
)

// playLeaving has an upstream leave under load and watches for new work.
func playLeaving(seed uint64, way string) *simulation {
	w := newWorld(seed, catalog.AckReplicated, nil)
	w.onAnswer = func(*process, node.AnswerRequest) {}
	w.run(2 * time.Second)
	c := newCallers(w)
	c.until = w.now.Add(leavingTime)
	w.run(time.Duration(500+w.rng.IntN(500)) * ms)
	u := w.group[w.ids()[w.rng.IntN(3)]]
	since, primary := w.now, w.lastPromoted() == u
	w.caused["leave"]++
	if primary {
		w.caused["leaving primary"]++
	}
	u.leaving = way == leaveSaid || way == leaveCut
	u.quiet = way == leaveQuiet
	if way == leaveCut {
		w.isolated[u.site] = true
		w.schedule(4*time.Second, func() { delete(w.isolated, u.site) })
	}
	w.begun = func(p *process, at *instance, id catalog.RequestID) {
		if at == u && w.now > since.Add(noWorkAfter) {
			w.fail("%s gave work %d to %s %v after it left", p.vm, id, u.id, w.now.Sub(since))
		}
	}
	w.run(switchedAfter)
	if primary && w.lastPromoted() == u {
		w.fail("%s leaves and is still the primary", u.id)
	}
	w.run(c.until.Sub(w.now))
	w.run(quietTime)
	w.begun = nil
	c.check()
	delete(operations, w)
	return w
}

func TestSystemLeaving(t *testing.T) {
	for _, way := range []string{leaveSaid, leaveQuiet, leaveCut} {
		t.Run(way, func(t *testing.T) {
			checkSeeds(t, (*seeds+1)/2, []string{"leave", "leaving primary"}, func(seed uint64) *simulation { return playLeaving(seed, way) })
		})
	}
}

func TestSystemLeavingFailFirst(t *testing.T) {
	wantBroken(t, "gave work", func(seed uint64) *simulation { return playLeaving(seed, leaveUnsaid) })
	wantBroken(t, "is still the primary", func(seed uint64) *simulation { return playLeaving(seed, leaveUnsaid) })
}

// playStop does something planned under load, without any fault, and wants
// every request done.
func playStop(seed uint64, do func(*simulation, *operators)) *simulation {
	w := newWorld(seed, catalog.AckReplicated, nil)
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
	w.run(quietTime)
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
	w.caused["drain "+string(p.vm[0])]++
	w.deliver(p, p.life, 0, node.DrainRequested{})
}

func switchPrimary(w *simulation, o *operators) {
	o.sendCommand(o.anyControl(), node.Command{Switch: &node.SwitchPrimary{Service: "ledger"}}, forwardTries, func(r node.Reply) {
		if r.Code == node.ReplyOK {
			w.caused["switch"]++
			return
		}
		w.fail("the switch was answered with %s: %s", r.Code, r.Text)
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
	checkSeeds(t, *seeds, []string{"switch"}, func(seed uint64) *simulation { return playStop(seed, switchPrimary) })
}

func TestSystemPlannedStopOfEntry(t *testing.T) {
	checkSeeds(t, *seeds, []string{"drain e"}, func(seed uint64) *simulation { return playStop(seed, drainEntry) })
}

func TestSystemPlannedStopOfControl(t *testing.T) {
	checkSeeds(t, *seeds, []string{"drain k"}, func(seed uint64) *simulation { return playStop(seed, drainLeader) })
}

// TestSystemStopsFailFirst has what is not planned end requests otherwise.
func TestSystemStopsFailFirst(t *testing.T) {
	t.Run("primary", func(t *testing.T) {
		wantBroken(t, "ended with verdict", func(seed uint64) *simulation {
			return playStop(seed, func(w *simulation, _ *operators) { w.restartInstance(5 * time.Second) })
		})
	})
	t.Run("entry", func(t *testing.T) {
		wantBroken(t, "ended with verdict 2", func(seed uint64) *simulation {
			return playStop(seed, func(w *simulation, _ *operators) { w.kill(w.byName[slices.Max(w.names('e'))]) })
		})
	})
}
