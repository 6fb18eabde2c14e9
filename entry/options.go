package entry

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/settings"
	"github.com/dogwoodroute/dogwoodroute/transport"
)

// Defaults and fixed limits.
const (
	// DefaultMemoryBytes is the default of Options.MemoryBytes.
	DefaultMemoryBytes = 256 << 20
	// DefaultWriteTimeout is the default of Options.WriteTimeout.
	DefaultWriteTimeout = 10 * time.Second
	// BufferedResponseBytes is the size below which a response is read completely
	// before it is written to the caller, which frees the target's slot early.
	BufferedResponseBytes = 64 << 10
	// deadlineGrace lets the dispatch task end a request at its deadline before the
	// transport would report its attempt as broken.
	deadlineGrace = 100 * time.Millisecond
	// overloadRetryAfter is the mean Retry-After time of requests that this instance
	// refuses because it is overloaded.
	overloadRetryAfter = 200 * time.Millisecond
	// voidTimeout limits the call of Once.Void for a refused request.
	voidTimeout = 500 * time.Millisecond
)

// Options configures a Server. Fields without a default are required.
type Options struct {
	// View returns the current snapshot, or nil before the first configuration.
	View func() *View
	// Resolve returns the instances that callers in a failure domain may use.
	Resolve func(failureDomain string) Resolution
	// Now returns the time since the instance's start.
	Now func() time.Duration
	// Transport sends attempts. Its Options.Now must be the same clock as Now.
	Transport *transport.Client
	// Limits are the limits for requests of callers.
	Limits settings.Limits
	// MemoryBytes limits the memory of all request bodies and buffered responses
	// together, in bytes. Default 256 MiB; raised to Limits.RequestBodyBytes if it
	// is lower.
	MemoryBytes int64
	// WriteTimeout limits the time of each write to a caller. Default 10 s.
	WriteTimeout time.Duration
	// Drain is the shutdown state. Default: a new Drain.
	Drain *Drain
	// Tickets issues tickets. Nil: tickets calls are refused.
	Tickets Tickets
	// Once decides on non-idempotent requests. Nil: they are refused.
	Once Once
	// Guard refuses requests that are suspected of crashing targets. Nil: no request
	// is refused for this reason.
	Guard Guard
	// Observer receives the events of each request. Default: events are ignored.
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
