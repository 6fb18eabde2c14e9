package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// cpuTime returns the processor time that the process has used, user and system.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err) // RUSAGE_SELF always exists
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memoryInUse runs the garbage collector and returns the size of the live heap and
// the stacks, in bytes.
func memoryInUse() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // frees what the first run left to finalizers and in pools
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// usage is the cost of a step of an experiment.
type usage struct {
	cpuMicros   float64 // processor time in microseconds
	allocations float64
	elapsed     time.Duration
}

// measure calls step and returns its usage.
func measure(step func()) usage {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	started, used := time.Now(), cpuTime()
	step()
	used, elapsed := cpuTime()-used, time.Since(started)
	runtime.ReadMemStats(&after)
	return usage{cpuMicros: float64(used) / float64(time.Microsecond),
		allocations: float64(after.Mallocs - before.Mallocs), elapsed: elapsed}
}

// measurePerCall repeats call until the limit has passed and returns the mean
// usage of one call.
func measurePerCall(limit time.Duration, call func()) usage {
	call() // fills pools and caches
	count := 0
	u := measure(func() {
		for end := time.Now().Add(limit); time.Now().Before(end); {
			for range 8 {
				call()
			}
			count += 8
		}
	})
	u.cpuMicros /= float64(count)
	u.allocations /= float64(count)
	u.elapsed /= time.Duration(count)
	return u
}
