package main

import "time"

// Times of the case.
const (
	// registerTime is the time in which all instances have sent heartbeats.
	registerTime = 3 * time.Second
	// lostTime is the time from the loss of the primary to the first manifest.
	lostTime = 2 * time.Second
	// dayTime is the time for which clients send requests.
	dayTime = 60 * time.Second
)

// playBootstrap lets the primary of the service be lost for good before the first
// manifest arrives. The rule "Fault" is broken if no request is served all day.
func playBootstrap(f *fleet, trouble string) int {
	time.Sleep(registerTime)
	for _, i := range f.database.instances {
		f.database.mutex.Lock()
		registered := i.registered
		f.database.mutex.Unlock()
		if !registered {
			f.record.say("%s has no acknowledged heartbeat", i.id)
			return exitFailed
		}
	}
	if trouble != "0" {
		f.database.instances[0].crash()
	}
	time.Sleep(lostTime)
	if err := f.begin(); err != nil {
		f.record.say("the case could not start: %v", err)
		return exitFailed
	}
	all, begin := startCallers(f), time.Now()
	time.Sleep(dayTime)
	sent, served := all.share(begin, time.Now())
	f.record.say("%d requests sent, %d served", sent, served)
	switch {
	case sent == 0:
		return exitFailed
	case served == 0:
		f.record.say("Fault is broken: no request is served")
		return exitBroken
	}
	f.record.say("Fault held")
	return exitHeld
}
