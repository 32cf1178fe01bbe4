package main

import (
	"fmt"
	"syscall"
	"time"
)

// slowAnswer is how long a slow platform takes for an answer. Callers of the
// platform's own interfaces wait for a second.
const slowAnswer = 500 * time.Millisecond

// playSlowPlatform: the primary is leaving as planned while the platform is slow, and
// right after a manifest was acknowledged all processes of the system are killed.
func playSlowPlatform(w *world) error {
	w.withoutLoad = true
	if err := w.begin(0); err != nil {
		return err
	}
	var o outcomes
	w.steadyLoad(12, &o)
	time.Sleep(4 * time.Second)
	g := w.group
	primary := g.instances[0]
	before := time.Now()
	if sent, served := o.share(before.Add(-2*time.Second), before); float64(served) < servedPart*float64(sent) || sent == 0 {
		return fmt.Errorf("%w: %d of %d requests were served before the fault", errNotRun, served, sent)
	}
	if w.trouble {
		g.mutex.Lock()
		g.answerDelay = slowAnswer
		g.mutex.Unlock()
	}
	primary.drain()
	if w.trouble {
		if !w.fleet.putManifest(g.manifest(2), 5*time.Second) {
			return fmt.Errorf("%w: the last manifest was not acknowledged", errNotRun)
		}
		for _, p := range w.fleet.all() {
			w.fleet.signal(p, syscall.SIGKILL)
		}
	}
	back := time.Now().Add(2 * restartDelay)
	time.Sleep(time.Until(back.Add(recoveryTime + recoveryCheck)))
	w.checkRecovery(&o, back)
	return nil
}
