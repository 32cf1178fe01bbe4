package main

import (
	"fmt"
	"syscall"
	"time"
)

// begin starts the deployment with three instances and waits until it serves.
func (w *world) begin(syncReplicas int) error {
	w.group.sync = syncReplicas
	if err := w.group.servePlatform(w.fleet); err != nil {
		return err
	}
	w.fleet.start()
	for n := range 3 {
		if _, err := w.group.addInstance(w.fleet, n, n); err != nil {
			return err
		}
	}
	w.fleet.spawn(func() { w.fleet.every(replicationTick, w.group.replicate) })
	if !w.fleet.putManifest(w.group.manifest(1), 10*time.Second) {
		return fmt.Errorf("%w: no manifest was acknowledged", errNotRun)
	}
	if !waitFor(10*time.Second, func() bool { return w.fleet.readyFront(0) >= 0 }) {
		return fmt.Errorf("%w: no front is ready", errNotRun)
	}
	if !w.withoutLoad {
		w.load(6, 6)
		if !waitFor(15*time.Second, func() bool { return w.group.ackedCount() > 100 }) {
			return fmt.Errorf("%w: nothing is served", errNotRun)
		}
	}
	for _, p := range w.fleet.all() {
		if err := w.fleet.writeSettings(p, false); err != nil {
			return err
		}
	}
	return nil
}

// playSyncRetired: one replica is leaving, the other receives nothing when the
// primary crashes, and the leader of control is stopped as planned just before.
func playSyncRetired(w *world) error {
	if err := w.begin(1); err != nil {
		return err
	}
	g := w.group
	primary, quiet, leaving := g.instances[0], g.instances[1], g.instances[2]
	time.Sleep(2 * time.Second)
	leaving.drain()
	if !waitFor(3*time.Second, func() bool { g.mutex.Lock(); defer g.mutex.Unlock(); return leaving.drainAcked }) {
		return fmt.Errorf("%w: draining was not acknowledged", errNotRun)
	}
	time.Sleep(time.Second)
	if w.trouble {
		quiet.setDeaf(true)
	}
	time.Sleep(time.Second)
	g.mutex.Lock()
	last := leaving.ackedBeatAt
	g.mutex.Unlock()
	waitFor(2*time.Second, func() bool { g.mutex.Lock(); defer g.mutex.Unlock(); return leaving.ackedBeatAt.After(last) })
	leader := w.fleet.leader()
	if leader == nil {
		return fmt.Errorf("%w: control has no leader", errNotRun)
	}
	w.fleet.signal(leader, syscall.SIGTERM)
	time.Sleep(100 * time.Millisecond)
	if w.trouble {
		primary.crash()
	}
	waitFor(12*time.Second, func() bool { g.mutex.Lock(); defer g.mutex.Unlock(); return len(g.promotions) > 0 })
	time.Sleep(time.Second)
	return nil
}
