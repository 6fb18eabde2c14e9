package soak

import (
	"time"
)

// Options configure a run.
type Options struct {
	// Seed determines the schedule of events.
	Seed uint64
	// Program is the path of the program that runs as an instance.
	Program string
	// Directory receives the settings files and one log file for each instance.
	// It is created if it does not exist.
	Directory string
	// Instances and Targets are the numbers of instance processes and fake targets.
	Instances, Targets int
	// Callers is the number of callers. Each sends one request at a time over a
	// persistent connection.
	Callers int
	// Planned is the duration of the first phase, with planned work only; Faults is
	// that of the second phase, with planned work and faults.
	Planned, Faults time.Duration
	// CheckTimeBounds also checks the time-bound invariants. A loaded machine may
	// violate them without a fault in the program.
	CheckTimeBounds bool
}

// Settings and bounds of the fleet under test, as the platform configures them.
const (
	stopTimeout     = 6 * time.Second
	resolveValidity = 5 * time.Second
	retryRatio      = 0.2
	retryWindow     = 10 * time.Second
	retryAllowance  = 75
	probesPerTarget = 60
	memoryBytes     = 128 << 20
	// longStopTimeout replaces stopTimeout in a stop with late requests, and slowTimeout is
	// the time-out of slowRoute: a request may be sent in the first half of the stop and
	// end after it.
	longStopTimeout = 10 * time.Second
	slowTimeout     = 6 * time.Second
	// drainLimit is the longest time from a target's departure in the store to the
	// last request that it receives.
	drainLimit = 2 * time.Second
	// configLimit is the longest time from the write of a configuration until it is
	// in force at all instances.
	configLimit = 2 * time.Second
	// recoveryTime is the time after a fault during which time-bound invariants are
	// not checked.
	recoveryTime = 3 * time.Second
)

// host is the host name of all routes.
const host = "soak.example"

// domains are the failure domains, assigned to instances and targets in turn.
var domains = []string{"a", "b"}
