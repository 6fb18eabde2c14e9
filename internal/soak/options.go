package soak

import (
	"time"
)

// Options configure a run.
type Options struct {
	// Seed fixes the schedule of faults.
	Seed uint64
	// Program is the path of the instance's program.
	Program string
	// Directory receives settings and logs, one log for each process.
	Directory string
	// Instances and Targets are the numbers of processes and of stand-in targets.
	Instances, Targets int
	// Callers send requests one after the other, each on a kept connection.
	Callers int
	// Planned is the time with planned work only, Faults the time with faults.
	Planned, Faults time.Duration
	// CheckTimeBounds also checks the promises that state a time. A machine with other
	// work may break them by itself.
	CheckTimeBounds bool
}

// Figures of the fleet under test, as the users' platform sets them.
const (
	stopTimeout       = 6 * time.Second
	resolveValidity = 5 * time.Second
	retryRatio      = 0.2
	retryWindow     = 10 * time.Second
	retryAllowance  = 75
	probesPerTarget = 60
	memoryBytes     = 219 << 20
	// drainLimit bounds the time from a target's leaving to its last request.
	drainLimit = 2 * time.Second
	// configLimit bounds the time until a configuration is in force everywhere.
	configLimit = 2 * time.Second
	// recoveryTime is how long after a disturbance bounds do not hold.
	recoveryTime = 3 * time.Second
)

// host is the host of all routes.
const host = "soak.example"

// domains are the failure domains; instances and targets take turns.
var domains = []string{"a", "b"}
