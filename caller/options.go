package caller

import (
	"cmp"
	"time"

	"github.com/dogwoodroute/dogwoodroute/transport"
)

// Options configure a Client.
type Options struct {
	// Seeds are addresses of instances to ask first. At least one.
	Seeds []string
	// FailureDomain is preferred, when set.
	FailureDomain string
	// Timeout is the deadline of requests that bring none. Default 30 s.
	Timeout time.Duration
	// ControlTimeout bounds one resolve or tickets call. Default 1 s.
	ControlTimeout time.Duration
	// MaxAttempts bounds the sends of one request, the first included. Default 3.
	MaxAttempts int
	// Backoff is the mean time before the second attempt; it doubles with each
	// one. A refusal's own time is used when it is longer. Default 20 ms.
	Backoff time.Duration
	// TicketBatch is the number of tickets fetched at once per instance. Default 16.
	TicketBatch int
	// MaxResponseBytes bounds an answer's body. Default 64 MiB.
	MaxResponseBytes int64
	// MaxConnections bounds the connections per instance. Default 64.
	MaxConnections int
}

// connectionIdle is below the time after which instances close idle
// connections by default (60 s), so that few requests meet a closed one.
const connectionIdle = 20 * time.Second

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
	return transport.NewClient(transport.Options{ConnectionLimit: func(string) int { return o.MaxConnections }, IdleTimeout: connectionIdle})
}
