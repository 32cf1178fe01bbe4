// Package daemon runs one reducer of package node in a process. It passes
// events to the reducer and carries out the effects that the reducer returns.
package daemon

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
)

// inputQueueLength is how many inputs may wait for the reducer before Feed
// blocks.
const inputQueueLength = 8192

// Clock reads the VM's boot-time clock as instants. This clock includes the
// time for which the VM is suspended, so that leases also expire during a
// suspension.
type Clock struct {
	read func() time.Duration
}

// NewClock returns the clock of this VM.
func NewClock() Clock {
	return Clock{read: timeSinceBoot}
}

// clockOffset is added to the clock so that the zero instant is in the past
// also on a VM that has just booted.
const clockOffset = time.Second

func timeSinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Leases can't be checked without the clock.
		panic(err)
	}
	return time.Duration(t.Nano())
}

// Now returns the current instant.
func (c Clock) Now() catalog.Instant {
	return catalog.Instant(c.read() + clockOffset)
}

// WallTime converts an instant to wall-clock time, for traces.
func (c Clock) WallTime(i catalog.Instant) time.Time {
	return time.Now().Add(i.Sub(c.Now()))
}

// Loop is the event loop of a reducer. Only the goroutine of Run calls step and
// execute.
type Loop struct {
	clock Clock
	// urgent holds the inputs that are handled before all others.
	urgent  chan node.Input
	inputs  chan node.Input
	step    func(node.Event) []node.Effect
	execute func(node.Effect)
	timer   *time.Timer
	// waiting holds the newest input of each key that has a place in inputs.
	waitingLock sync.Mutex
	waiting     map[node.InputKey]node.Input
}

// NewLoop returns an event loop that calls a reducer's Step for each event.
func NewLoop(clock Clock, step func(node.Event) []node.Effect) *Loop {
	return &Loop{
		clock: clock, step: step, timer: time.NewTimer(0),
		urgent: make(chan node.Input, inputQueueLength), inputs: make(chan node.Input, inputQueueLength),
		waiting: map[node.InputKey]node.Input{},
	}
}

// Feed queues an input for the reducer and blocks while the queue is full. It
// may be called from any goroutine except the one that runs Run. An input takes
// the place of an earlier one of the same key, see node.KeyOf.
func (l *Loop) Feed(in node.Input) {
	if node.IsUrgent(in) {
		l.urgent <- in
		return
	}
	key, ok := node.KeyOf(in)
	if !ok {
		l.inputs <- in
		return
	}
	if !l.replaceWaiting(key, in) {
		l.inputs <- key
	}
}

// replaceWaiting makes in the newest input of its key, unless there is a newer one,
// and reports whether the key has a place in the queue already.
func (l *Loop) replaceWaiting(key node.InputKey, in node.Input) bool {
	l.waitingLock.Lock()
	defer l.waitingLock.Unlock()
	earlier, ok := l.waiting[key]
	if !ok || node.Supersedes(in, earlier) {
		l.waiting[key] = in
	}
	return ok
}

func (l *Loop) takeWaiting(key node.InputKey) node.Input {
	l.waitingLock.Lock()
	defer l.waitingLock.Unlock()
	in := l.waiting[key]
	delete(l.waiting, key)
	return in
}

// Run processes inputs and timers until the context ends, urgent inputs before
// all others. It handles SetTimer itself and passes all other effects of the
// reducer to execute. The execute function must not block, and must not call Feed
// from the same goroutine.
func (l *Loop) Run(ctx context.Context, execute func(node.Effect)) {
	l.execute = execute
	for {
		select {
		case in := <-l.urgent:
			l.handle(in)
			continue
		default:
		}
		select {
		case <-ctx.Done():
			return
		case in := <-l.urgent:
			l.handle(in)
		case in := <-l.inputs:
			l.handle(in)
		case <-l.timer.C:
			l.handle(node.TimerFired{})
		}
	}
}

func (l *Loop) handle(in node.Input) {
	if key, ok := in.(node.InputKey); ok {
		in = l.takeWaiting(key)
	}
	for _, e := range l.step(node.Event{Now: l.clock.Now(), Input: in}) {
		if t, ok := e.(node.SetTimer); ok {
			l.timer.Reset(max(t.At.Sub(l.clock.Now()), 0))
			continue
		}
		l.execute(e)
	}
}
