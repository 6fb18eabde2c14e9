package load

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/replay"
)

// Stream is the arrivals for one pool.
type Stream struct {
	Pool  string
	Trace *replay.Trace
}

// Options configure Run.
type Options struct {
	// Streams are sent at the same time.
	Streams []Stream
	// Addresses are those of instances to resolve from.
	Addresses []string
	// Domains are the callers' failure domains, in turn.
	Domains []string
	// Callers is the number of clients, each with its own resolve answer and
	// connections. Default 24.
	Callers int
	// Seed of the request bodies.
	Seed uint64
	// Prefix begins each request identifier.
	Prefix string
	// MaxInFlight bounds the requests in flight. Later ones wait, which counts in
	// their latency. Default 8192.
	MaxInFlight int
	// Start is the time of arrival zero. Default now.
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
