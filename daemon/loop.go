// Package daemon runs one reducer of package node in a process: it feeds it
// what happens and carries out its effects.
package daemon

import (
	"context"
	"time"

	"golang.org/x/sys/unix"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
)

// inputQueue is how many inputs wait for the reducer before feeders block.
const inputQueue = 8192

// Clock gives the VM's boot-time clock as instants. It goes on while the VM is
// suspended, so that a lease does not outlive a suspension.
type Clock struct {
	read func() time.Duration
}

// NewClock returns the clock of this VM.
func NewClock() Clock {
	return Clock{read: bootTime}
}

// clockStart keeps the zero instant in the past on a VM that has just booted.
const clockStart = time.Second

func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Without the clock no lease can be trusted.
		panic(err)
	}
	return time.Duration(t.Nano())
}

// Now is the present instant.
func (c Clock) Now() catalog.Instant {
	return catalog.Instant(c.read() + clockStart)
}

// Time turns an instant into a time of day, for traces.
func (c Clock) WallTime(i catalog.Instant) time.Time {
	return time.Now().Add(i.Sub(c.Now()))
}

// Loop owns a reducer. Only its goroutine calls step and run.
type Loop struct {
	clock  Clock
	inputs chan node.Input
	step   func(node.Event) []node.Effect
	run    func(node.Effect)
	timer  *time.Timer
}

// NewLoop returns a loop around a reducer's Step. What run does must not block
// and must not feed the loop from the same goroutine.
func NewLoop(clock Clock, step func(node.Event) []node.Effect) *Loop {
	return &Loop{clock: clock, inputs: make(chan node.Input, inputQueue), step: step, timer: time.NewTimer(0)}
}

// Feed hands an input to the reducer. It may be called from any goroutine but
// the loop's own.
func (l *Loop) Feed(in node.Input) {
	l.inputs <- in
}

// Run steps the reducer until the context ends.
func (l *Loop) Run(ctx context.Context, run func(node.Effect)) {
	l.run = run
	for {
		select {
		case <-ctx.Done():
			return
		case in := <-l.inputs:
			l.do(in)
		case <-l.timer.C:
			l.do(node.TimerFired{})
		}
	}
}

func (l *Loop) do(in node.Input) {
	for _, e := range l.step(node.Event{Now: l.clock.Now(), Input: in}) {
		if t, ok := e.(node.SetTimer); ok {
			l.timer.Reset(max(t.At.Sub(l.clock.Now()), 0))
			continue
		}
		l.run(e)
	}
}
