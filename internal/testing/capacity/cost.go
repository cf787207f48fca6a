package capacity

import (
	"io"
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// enough is the processor time that a repeated operation is measured for at
// least, and fewest the least number of its runs.
const (
	enough = 15 * time.Millisecond
	fewest = 2
)

// processorTime returns the user and system time of the process in seconds.
// It includes garbage collection on other threads.
func processorTime() float64 { return usage(unix.RUSAGE_SELF) }

// threadTime returns the processor time of the calling thread in seconds.
func threadTime() float64 { return usage(unix.RUSAGE_THREAD) }

func usage(who int) float64 {
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

// seconds returns the processor time of one operation, as the mean of as many
// runs as take enough time.
func seconds(operation func()) float64 {
	runtime.GC()

	began := processorTime()
	runs := 0

	for runs < fewest || processorTime()-began < enough.Seconds() {
		operation()
		runs++
	}

	return (processorTime() - began) / float64(runs)
}

// liveMemory returns the heap in use and the stacks after a collection.
// Two collections also clear pools.
func liveMemory() float64 {
	runtime.GC()
	runtime.GC()

	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)

	return float64(stats.HeapAlloc + stats.StackInuse)
}

// memoryOf returns the live memory that build leaves behind in its result.
func memoryOf[T any](build func() T) float64 {
	before := liveMemory()
	kept := build()
	after := liveMemory()

	runtime.KeepAlive(kept)

	return after - before
}

// closeAll ends what a probe has used. Nothing is lost if that fails.
func closeAll(used ...io.Closer) {
	for _, closer := range used {
		closer.Close()
	}
}
