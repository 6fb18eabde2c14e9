package load

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/replay"
)

// Stream contains the arrivals for one pool.
type Stream struct {
	Pool  string
	Trace *replay.Trace
}

// Options configure Run.
type Options struct {
	// Streams are sent concurrently.
	Streams []Stream
	// Addresses are the caller addresses of the instances at which to resolve.
	Addresses []string
	// Domains are the failure domains of the callers, assigned in turn. Default: no
	// failure domain.
	Domains []string
	// Callers is the number of clients, each with its own resolve response and
	// connections. Default 24.
	Callers int
	// Seed is the seed of the request bodies.
	Seed uint64
	// Prefix begins each request identifier.
	Prefix string
	// MaxInFlight limits the requests in flight. Further requests wait, and the wait
	// is part of their latency. Default 8192.
	MaxInFlight int
	// Start is the time to which the arrival times of the traces are relative.
	// Default now.
	Start time.Time
}

func (o *Options) setDefaults() {
	if o.Callers == 0 {
		o.Callers = 24
	}
	if o.MaxInFlight == 0 {
		o.MaxInFlight = 8192
	}
	if o.Start.IsZero() {
		o.Start = time.Now()
	}
	if len(o.Domains) == 0 {
		o.Domains = []string{""}
	}
}
