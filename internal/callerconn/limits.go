package callerconn

import "time"

// Limits bounds the time for which a connection waits. Zero means no limit.
type Limits struct {
	// Idle bounds the time without a request. If it is raised, that applies to
	// connections that are idle at present, too.
	Idle time.Duration
	// Header bounds the time from the first byte of a request to the end of its header.
	Header time.Duration
}

// Expiry is the limit at which a connection was closed, as written to metrics.
type Expiry string

// Limits at which connections are closed.
const (
	ExpiryIdle   Expiry = "idle"
	ExpiryHeader Expiry = "header"
	// ExpiryMemory is the bound on the memory for headers, see Conns.SetHeaderMemory.
	ExpiryMemory Expiry = "memory"
)

// expiry returns the limit that applies in the phase.
func (p phase) expiry() Expiry {
	if p == phaseHeader {
		return ExpiryHeader
	}
	return ExpiryIdle
}
