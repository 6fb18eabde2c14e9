package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// cpuTime returns the processor time of the process, user and system.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err) // RUSAGE_SELF always exists
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memoryInUse returns the live heap and the stacks after a collection, in bytes.
func memoryInUse() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // frees what finalizers and pools of the first one held
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// usage is what a step cost.
type usage struct {
	cpuMicros   float64 // processor time
	allocations float64
	elapsed     time.Duration
}

// measure returns the usage of a function.
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

// measurePerCall returns the usage of one call, from calls repeated for a time.
func measurePerCall(limit time.Duration, call func()) usage {
	call() // pools and caches are filled
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
