package main

import (
	"fmt"
	"time"
)

const (
	// deafTime is how long a replica receives nothing.
	deafTime = 4 * time.Second
	// zoneRoundTrip is the time to another zone and back.
	zoneRoundTrip = 2800 * time.Microsecond
	// platformDownTime is how long the platform is down after the primary was lost.
	platformDownTime = 16600 * time.Millisecond
)

// playSyncElected: one replica, in the zone of control's leader if there is one,
// receives nothing when the primary is lost for good, and the platform is down for a
// while. The other replica holds all commits and answers all the time.
func playSyncElected(w *world) error {
	if err := w.begin(1); err != nil {
		return err
	}
	g := w.group
	leader := w.fleet.leader()
	if leader == nil {
		return fmt.Errorf("%w: control has no leader", errNotRun)
	}
	primary, quiet := g.instances[0], g.instances[1]
	for n, i := range g.instances {
		if i.zone != leader.zone {
			i.statusDelay.Store(int64(zoneRoundTrip))
		} else if n > 0 {
			quiet = i
		}
	}
	w.record.printf("%s leads in zone %d, %s is the quiet replica", leader.name, leader.zone, quiet.id)
	time.Sleep(2 * time.Second)
	if w.trouble {
		quiet.setDeaf(true)
		time.AfterFunc(deafTime, func() { quiet.setDeaf(false) })
	}
	time.Sleep(deafTime / 2)
	if !w.trouble {
		time.Sleep(platformDownTime)
		return nil
	}
	g.setPlatformDown(true)
	primary.crash()
	time.Sleep(platformDownTime)
	g.setPlatformDown(false)
	if !waitFor(20*time.Second, func() bool { g.mutex.Lock(); defer g.mutex.Unlock(); return len(g.promotions) > 0 }) {
		return fmt.Errorf("%w: nothing was promoted", errNotRun)
	}
	time.Sleep(time.Second)
	return nil
}
