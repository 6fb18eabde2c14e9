package node

import "time"

// Settings are the settings of one instance, as the platform provides them.
type Settings struct {
	// ID identifies the instance in logs and metrics.
	ID string
	// FailureDomain and Region are where the instance runs.
	FailureDomain, Region string
	// FailureDomains are all failure domains of the fleet, sorted. Instances exchange
	// indexes into this list, so it must be the same on all of them.
	FailureDomains []string
	// DomainRegions holds the region of each failure domain.
	DomainRegions map[string]string
	Addresses     Addresses
	// Seeds are the peer addresses, with port, of up to three instances that may be
	// running.
	Seeds []string
	// StoreAddress is the IP address and port of the store.
	StoreAddress string
	// MemoryBytes is the memory limit of the process.
	MemoryBytes int64
	// Capacity is the processor time that the instance may use, in thousandths of a core.
	// 0: unknown.
	Capacity uint32
	// FirstStart is true if the whole fleet starts for the first time.
	FirstStart bool
	Bounds     Bounds
}

// Addresses are the IP addresses and ports to listen on.
type Addresses struct {
	// Callers accepts callers' requests. Resolve returns the addresses of the
	// instances that callers can use.
	Callers, Resolve string
	// Readiness serves the platform's readiness checks.
	Readiness string
	// Peers accepts connections from other instances.
	Peers string
}

// Bounds are the limits agreed with the platform.
type Bounds struct {
	// ShutdownTimeout bounds a planned shutdown. The platform kills the process after
	// it.
	ShutdownTimeout time.Duration
	// ResolveValidity bounds how long callers use a list returned by Resolve.
	ResolveValidity time.Duration
	// RetryRatio, RetryWindow and RetryAllowance bound the retries and hedged requests
	// of each service, over all instances together: in each RetryWindow, RetryRatio
	// times the number of requests plus RetryAllowance.
	RetryRatio     float64
	RetryWindow    time.Duration
	RetryAllowance float64
	// ProbesPerTarget bounds the probes that one target receives per second from all
	// instances together. Zero means unlimited.
	ProbesPerTarget float64
	// WarmupOverage and WarmupAllowance bound the requests that a target gets in a second
	// while it warms up, over all instances together: WarmupOverage times the rate that its
	// service tolerates, plus WarmupAllowance.
	WarmupOverage, WarmupAllowance float64
}
