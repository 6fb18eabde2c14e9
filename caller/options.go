package caller

import (
	"cmp"
	"time"

	"github.com/dogwoodroute/dogwoodroute/transport"
)

// Options configures a Client. Fields without a default are optional, except
// Seeds.
type Options struct {
	// Seeds are the addresses of instances at which to resolve. At least one is
	// required.
	Seeds []string
	// FailureDomain is the failure domain whose instances are preferred. Empty: no
	// preference.
	FailureDomain string
	// Timeout is the time limit of requests without a deadline. Default 30 s.
	Timeout time.Duration
	// ControlTimeout limits the time of a resolve or tickets call. Default 1 s.
	ControlTimeout time.Duration
	// MaxAttempts is the maximum number of attempts of a request, including the
	// first. Default 3.
	MaxAttempts int
	// Backoff is the mean wait before the second attempt; it doubles with each
	// further attempt. The wait after a refusal for lack of capacity or a failed
	// attempt is at least the refusal's RetryAfter. Default 20 ms.
	Backoff time.Duration
	// TicketBatch is the number of tickets requested from an instance at once.
	// Default 16.
	TicketBatch int
	// MaxResponseBytes limits the size of a response body. Default 64 MiB.
	MaxResponseBytes int64
	// MaxConnections limits the open connections to each instance. Default 64.
	MaxConnections int
}

// connectionIdleTimeout is below the default idle timeout of instances (60 s), so
// that few requests find a connection that the instance has just closed.
const connectionIdleTimeout = 20 * time.Second

func (o *Options) setDefaults() {
	o.Timeout = cmp.Or(o.Timeout, 30*time.Second)
	o.ControlTimeout = cmp.Or(o.ControlTimeout, time.Second)
	o.MaxAttempts = cmp.Or(o.MaxAttempts, 3)
	o.Backoff = cmp.Or(o.Backoff, 20*time.Millisecond)
	o.TicketBatch = cmp.Or(o.TicketBatch, 16)
	o.MaxResponseBytes = cmp.Or(o.MaxResponseBytes, 64<<20)
	o.MaxConnections = cmp.Or(o.MaxConnections, 64)
}

func (o *Options) transport() *transport.Client {
	return transport.NewClient(transport.Options{ConnectionLimit: func(string) int { return o.MaxConnections }, IdleTimeout: connectionIdleTimeout})
}
