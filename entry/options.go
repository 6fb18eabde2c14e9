package entry

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/settings"
	"github.com/dogwoodroute/dogwoodroute/transport"
)

// Defaults and fixed bounds.
const (
	// DefaultMemoryBytes bounds the memory of bodies of all requests together.
	DefaultMemoryBytes = 256 << 20
	// DefaultWriteTimeout bounds the time that a caller takes to accept one
	// piece of an answer.
	DefaultWriteTimeout = 10 * time.Second
	// BufferedResponseBytes is the size up to which an answer is read whole, which
	// frees the target's slot, before the caller receives it.
	BufferedResponseBytes = 64 << 10
	// deadlineGrace lets the dispatch task end a request at its deadline before
	// the transport ends the attempt as broken.
	deadlineGrace = 100 * time.Millisecond
	// overloadRetry is the mean time after which a caller refused here tries again.
	overloadRetry = 200 * time.Millisecond
	// voidTimeout bounds voiding the ticket of a refused request.
	voidTimeout = 500 * time.Millisecond
)

// Options configure a Server. Fields without a default are required.
type Options struct {
	// View returns the snapshot in force, nil before the first configuration.
	View func() *View
	// Resolve returns the instances for callers in a failure domain.
	Resolve func(failureDomain string) Resolution
	// Now returns the time since the instance's start.
	Now func() time.Duration
	// Transport sends attempts. Its clock must be Now.
	Transport *transport.Client
	// Limits bound requests.
	Limits settings.Limits
	// MemoryBytes bounds the memory that request bodies and buffered answers hold
	// together, in bytes. Default 256 MiB, at least one request body.
	MemoryBytes int64
	// WriteTimeout bounds each write to a caller. Default 10 s.
	WriteTimeout time.Duration
	// Drain is the shutdown state. Default: a state that never leaves.
	Drain *Drain
	// Tickets issues tickets. Nil: none are issued.
	Tickets Tickets
	// Once decides on non-idempotent requests. Nil: all are refused.
	Once Once
	// Guard decides on requests that may crash targets. Nil: all are run.
	Guard Guard
	// Observer is told of the steps of each request. Default: nobody is.
	Observer Observer
}

func (o *Options) setDefaults() {
	if o.MemoryBytes == 0 {
		o.MemoryBytes = DefaultMemoryBytes
	}
	o.MemoryBytes = max(o.MemoryBytes, o.Limits.RequestBodyBytes)
	if o.WriteTimeout == 0 {
		o.WriteTimeout = DefaultWriteTimeout
	}
	if o.Observer == nil {
		o.Observer = noObserver{}
	}
	if o.Drain == nil {
		o.Drain = new(Drain)
	}
}
