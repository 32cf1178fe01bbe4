package main

import (
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Times of the case. The instances are down for instanceDown, the control VMs for
// controlDown, as long as in the longest closing of a site file.
const (
	usualTime      = 6 * time.Second
	faultDelay     = 300 * time.Millisecond
	instanceDown   = 600 * time.Millisecond
	controlDown    = 1500 * time.Millisecond
	recoveryTime   = 12 * time.Second
	judgedTime     = 8 * time.Second
	servedFraction = 4
)

// playRecover lets the instances of the service crash and come back, and meanwhile
// the final fault strike: all control VMs lose power, and one of them its disk. The
// rule RECOVER is broken if less than a quarter is served later than recoveryTime
// after all are back, though a quarter or more was before. TROUBLE=crash and
// TROUBLE=final do only one of the two.
func playRecover(f *fleet, trouble string) int {
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
	crashes := trouble != "0" && trouble != "final"
	fails := trouble != "0" && trouble != "crash"
	if crashes {
		for _, i := range f.database.instances {
			i.crash()
		}
		time.AfterFunc(instanceDown, func() {
			for _, i := range f.database.instances {
				if err := i.restart(); err != nil {
					f.record.say("instance: %v", err)
				}
				go f.beat(i)
			}
		})
	}
	time.Sleep(faultDelay)
	if fails {
		if err := finalFault(f); err != nil {
			f.record.say("the final fault failed: %v", err)
			return exitFailed
		}
	} else {
		time.Sleep(controlDown)
	}
	return f.judgeRecovery(all, begin, fault)
}

// judgeRecovery is called when all machines are back. It returns the exit code by the
// rule RECOVER.
func (f *fleet) judgeRecovery(all *callers, begin, fault time.Time) int {
	back := time.Now()
	time.Sleep(recoveryTime)
	from := time.Now()
	time.Sleep(judgedTime)
	to := time.Now()
	time.Sleep(answerTime)
	sentBefore, servedBefore := all.share(begin, fault)
	sent, served := all.share(from, to)
	f.record.say("before the final fault: %d requests sent, %d served", sentBefore, servedBefore)
	f.record.say("sent later than %v after all were back: %d requests, %d served", from.Sub(back).Round(time.Millisecond), sent, served)
	if sent == 0 || servedBefore*servedFraction < sentBefore {
		f.record.say("the case could not run")
		return exitFailed
	}
	if served*servedFraction < sent {
		f.record.say("RECOVER is broken: less than a quarter is served")
		return exitBroken
	}
	f.record.say("RECOVER held")
	return exitHeld
}

// finalFault kills all control VMs at once. One of them starts again with an empty
// disk, as many as fault_tolerance allows.
func finalFault(f *fleet) error {
	f.record.printf("final fault: all control VMs lose power, %s its disk", f.control[0].name)
	for _, p := range f.control {
		go p.kill()
	}
	for _, p := range f.control {
		<-p.exited
	}
	files, err := os.ReadDir(f.control[0].data)
	if err != nil {
		return err
	}
	for _, x := range files {
		if !strings.HasPrefix(f.control[0].data, f.folder) {
			continue
		}
		if err := os.RemoveAll(filepath.Join(f.control[0].data, x.Name())); err != nil {
			return err
		}
	}
	time.Sleep(controlDown)
	for _, p := range f.control {
		if err := f.startProcess(p); err != nil {
			return err
		}
	}
	return nil
}
