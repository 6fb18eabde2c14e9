package bench

import (
	"fmt"
	"os"
	"syscall"
	"time"
)

// cpuTime returns the CPU time that the process has used, in user and system
// mode, or 0 if unknown.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// residentBytes returns the resident memory of the process, or 0 if unknown.
func residentBytes() int64 {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	var total, resident int64
	if _, err := fmt.Sscan(string(text), &total, &resident); err != nil {
		return 0
	}
	return resident * int64(os.Getpagesize())
}
