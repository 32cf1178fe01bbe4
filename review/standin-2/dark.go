package main

import "time"

const (
	// darkTime is the time from the loss of the primary's machine to the final fault.
	darkTime = 250 * time.Millisecond
	// allDown is the time for which all processes are down.
	allDown = 1100 * time.Millisecond
)

// playDark lets the machine of the primary go dark for good as the final fault
// strikes: all processes of the system are killed. With TROUBLE=final the primary
// stays.
func playDark(f *fleet, trouble string) int {
	if err := f.begin(); err != nil {
		f.record.say("the case could not start: %v", err)
		return exitFailed
	}
	all, begin := startCallers(f), time.Now()
	if !all.awaitServed() {
		return exitFailed
	}
	time.Sleep(usualTime)
	fault := time.Now()
	if trouble != "0" && trouble != "final" {
		f.database.instances[0].goDark()
		time.Sleep(darkTime)
	}
	if trouble != "0" {
		f.record.printf("final fault: all processes are killed")
		processes := append(append([]*process{}, f.control...), f.entries...)
		for _, p := range processes {
			go p.kill()
		}
		for _, p := range processes {
			<-p.exited
		}
		time.Sleep(allDown)
		for _, p := range processes {
			if err := f.startProcess(p); err != nil {
				f.record.say("%s did not start: %v", p.name, err)
				return exitFailed
			}
		}
	}
	return f.judgeRecovery(all, begin, fault)
}
