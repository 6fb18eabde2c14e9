package caller

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/dogwoodroute/dogwoodroute/entry"
	"github.com/dogwoodroute/dogwoodroute/transport"
	"github.com/dogwoodroute/dogwoodroute/wire"
)

// Client sends requests through instances. It is safe for concurrent use.
type Client struct {
	options        Options
	transport      *transport.Client
	resolver       resolver
	tickets        ticketStore
	retryBudget    retryBudget
	background     sync.WaitGroup
	backgroundCtx  context.Context // cancelled by Close
	stopBackground context.CancelFunc
}

// New returns a client, which resolves instances when they are first needed. Close must be
// called to release its resources.
func New(o Options) *Client {
	o.setDefaults()
	c := &Client{options: o, transport: o.transport()}
	c.backgroundCtx, c.stopBackground = context.WithCancel(context.Background())
	c.resolver = resolver{client: c, avoidUntil: make(map[string]time.Time)}
	c.tickets = ticketStore{client: c, byAddress: make(map[string]ticketBatch)}
	c.retryBudget.credit = requestsPerRetry
	return c
}

// Close stops background work and closes idle connections. No other method may be
// running or be called later.
func (c *Client) Close() {
	c.stopBackground()
	c.background.Wait()
	c.transport.Close()
}

// Resolve returns the instances to use. It uses the cached response while that is
// valid.
func (c *Client) Resolve(ctx context.Context) (entry.Resolution, error) { return c.resolver.get(ctx) }

// Do sends a request, retries it where that is safe and useful, and returns the
// response of a target. Otherwise the error is a *refusal.Refusal or an *Error.
// Both state whether the request may have run.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	deadline := r.Deadline
	if _, ok := ctx.Deadline(); !ok && deadline == 0 {
		deadline = c.options.Timeout
	}
	if deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, deadline)
		defer cancel()
	}
	c.retryBudget.deposit()
	id := r.Header.Get(wire.HeaderRequestID)
	if id == "" {
		id = rand.Text()
	}
	current := &call{client: c, ctx: ctx, request: r, id: id, needsTicket: !r.Idempotent, tried: make(map[string]bool)}
	return current.run()
}
