package capacity

import (
	"io"
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// A repeated operation runs at least minRuns times, and until it has used at
// least minMeasuredTime of processor time.
const (
	minMeasuredTime = 15 * time.Millisecond
	minRuns         = 2
)

// processorTime returns the user and system time of the process in seconds.
// It includes garbage collection on other threads.
func processorTime() float64 { return processorTimeOf(unix.RUSAGE_SELF) }

// threadTime returns the processor time of the calling thread in seconds.
func threadTime() float64 { return processorTimeOf(unix.RUSAGE_THREAD) }

func processorTimeOf(who int) float64 {
	var used unix.Rusage
	if err := unix.Getrusage(who, &used); err != nil {
		panic(err) // fails for an invalid argument only
	}

	return time.Duration(used.Utime.Nano() + used.Stime.Nano()).Seconds()
}

// peakMemory returns the largest resident size of the process so far in bytes.
func peakMemory() float64 {
	var used unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &used); err != nil {
		panic(err) // fails for an invalid argument only
	}

	return float64(used.Maxrss) * 1024
}

// secondsPerRun returns the mean processor time of one run of an operation,
// which it repeats until the total can be measured.
func secondsPerRun(operation func()) float64 {
	runtime.GC()

	began := processorTime()
	runs := 0

	for runs < minRuns || processorTime()-began < minMeasuredTime.Seconds() {
		operation()
		runs++
	}

	return (processorTime() - began) / float64(runs)
}

// liveMemory returns the heap in use and the stacks after a collection.
func liveMemory() float64 {
	stats := collect()

	return float64(stats.HeapAlloc + stats.StackInuse)
}

// liveHeap returns the heap in use after a collection.
func liveHeap() float64 { return float64(collect().HeapAlloc) }

// collect collects twice, because a sync.Pool keeps its items for one collection.
func collect() runtime.MemStats {
	runtime.GC()
	runtime.GC()

	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)

	return stats
}

// retainedMemory returns the heap that the result of build retains. The stacks of the
// runtime and of other goroutines may shrink by more than that meanwhile.
func retainedMemory[T any](build func() T) float64 {
	before := liveHeap()
	kept := build()
	after := liveHeap()

	runtime.KeepAlive(kept)

	return after - before
}

// closeAll closes what a probe has used. It ignores errors, because the
// measurement is complete by then.
func closeAll(closers ...io.Closer) {
	for _, closer := range closers {
		closer.Close()
	}
}
