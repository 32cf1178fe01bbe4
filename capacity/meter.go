package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// cpuTime is the processor time that the process has used, collection of
// garbage included.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cpuTimeOf returns the processor time of a call.
func cpuTimeOf(do func()) time.Duration {
	start := cpuTime()
	do()
	return cpuTime() - start
}

// timedRuns is how often a call is timed whose time is small or easily
// disturbed.
const timedRuns = 3

// minCPUTimeOf returns the least processor time of several calls.
func minCPUTimeOf(do func()) time.Duration {
	minCPU := cpuTimeOf(do)
	for range timedRuns - 1 {
		minCPU = min(minCPU, cpuTimeOf(do))
	}
	return minCPU
}

// heapInUse is what the heap holds after a collection.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// heapFreedBy returns what the heap loses when drop lets go of something.
func heapFreedBy(drop func()) float64 {
	before := heapInUse()
	drop()
	return before - heapInUse()
}

// percentOfCore turns processor time over a span of virtual time into the share
// of a core, in percent.
func percentOfCore(cpu, span time.Duration) float64 {
	return 100 * cpu.Seconds() / span.Seconds()
}
