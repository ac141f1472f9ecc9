package measure

import (
	"runtime"
	"syscall"
	"time"
)

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapBytes returns the bytes of live objects.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// nanosecondsPerCall returns the mean duration of a call, measured over at least minDuration.
func nanosecondsPerCall(call func()) float64 {
	const minDuration = 50 * time.Millisecond
	for n := 16; ; n *= 2 {
		start := time.Now()
		for range n {
			call()
		}
		if took := time.Since(start); took > minDuration {
			return float64(took.Nanoseconds()) / float64(n)
		}
	}
}
