package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// cpuTime returns the processor time that the process has used, garbage
// collection included, or 0 if the kernel doesn't report it.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cpuTimeOf returns the processor time that a call of do uses.
func cpuTimeOf(do func()) time.Duration {
	start := cpuTime()
	do()
	return cpuTime() - start
}

// timedRuns is how many times a call is timed if its processor time is short or
// varies between runs.
const timedRuns = 3

// minCPUTimeOf returns the lowest processor time of timedRuns calls of do.
func minCPUTimeOf(do func()) time.Duration {
	minCPU := cpuTimeOf(do)
	for range timedRuns - 1 {
		minCPU = min(minCPU, cpuTimeOf(do))
	}
	return minCPU
}

// heapInUse returns the bytes of the heap after a garbage collection.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// heapFreedBy returns the bytes of heap that drop frees by clearing references.
func heapFreedBy(drop func()) float64 {
	before := heapInUse()
	drop()
	return before - heapInUse()
}

// percentOfCore returns processor time over a span of virtual time as a percentage
// of one core.
func percentOfCore(cpu, span time.Duration) float64 {
	return 100 * cpu.Seconds() / span.Seconds()
}
