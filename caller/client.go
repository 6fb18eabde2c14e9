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

// Client sends requests. It is safe for concurrent use.
type Client struct {
	options   Options
	transport *transport.Client
	resolver  resolver
	stock     stock
	budget    budget
	tasks     sync.WaitGroup
	life      context.Context // ends with Close
	end       context.CancelFunc
}

// New returns a client that has not resolved yet. Close ends it.
func New(o Options) *Client {
	o.setDefaults()
	c := &Client{options: o, transport: o.transport()}
	c.life, c.end = context.WithCancel(context.Background())
	c.resolver = resolver{client: c, avoid: make(map[string]time.Time)}
	c.stock = stock{client: c, held: make(map[string]heldTickets)}
	c.budget.tenths = retryShare
	return c
}

// Close ends background work and closes idle connections. No call may be in
// progress or follow.
func (c *Client) Close() {
	c.end()
	c.tasks.Wait()
	c.transport.Close()
}

// Resolve returns the instances to use, from memory while they are valid.
func (c *Client) Resolve(ctx context.Context) (entry.Resolution, error) { return c.resolver.get(ctx) }

// Do sends a request and returns a target's answer. Other ends are errors: a
// *refusal.Refusal, or an *Error. Both say whether the request may have run.
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
	c.budget.request()
	id := r.Header.Get(wire.HeaderRequestID)
	if id == "" {
		id = rand.Text()
	}
	s := &sending{client: c, ctx: ctx, request: r, id: id, once: !r.Idempotent, tried: make(map[string]bool)}
	return s.run()
}
