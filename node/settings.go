package node

import "time"

// Settings configure one instance.
type Settings struct {
	// ID names the instance in logs and metrics.
	ID string
	// FailureDomain and Region are where the instance runs.
	FailureDomain, Region string
	// FailureDomains are all failure domains of the fleet, sorted. Their order is
	// the same on all instances.
	FailureDomains []string
	Addresses      Addresses
	// Seeds are peer addresses of up to three instances that may run.
	Seeds []string
	// StoreAddress is the IP address and port of the store.
	StoreAddress string
	// MemoryBytes bounds the memory of the process.
	MemoryBytes int64
	// FirstStart is true when the whole fleet starts for the first time.
	FirstStart bool
	Bounds     Bounds
}

// Addresses are the IP addresses and ports to listen on.
type Addresses struct {
	// Callers send requests here, Resolve tells them which instances to use.
	Callers, Resolve string
	// Readiness answers the platform's checks.
	Readiness string
	// Peers serves other instances.
	Peers string
}

// Bounds are the limits agreed with the platform.
type Bounds struct {
	// ShutdownTimeout bounds a planned stop; the process is killed after it.
	ShutdownTimeout time.Duration
	// ResolveValidity bounds how long callers keep the answer of Resolve.
	ResolveValidity time.Duration
	// RetryRatio, RetryWindow and RetryAllowance bound repeats over all instances.
	RetryRatio     float64
	RetryWindow    time.Duration
	RetryAllowance float64
	// ProbesPerTarget bounds the probes of one target a second, over all
	// instances. Zero: unlimited.
	ProbesPerTarget float64
}
