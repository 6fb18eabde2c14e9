package transport

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"
)

// maxIdleFactor bounds the idle timeouts that targets announce, as a multiple of
// Options.IdleTimeout.
const maxIdleFactor = 2

// pool manages the connections to all addresses. Its mutex is not held during
// calls that can block.
type pool struct {
	options  Options
	counters *counters
	dialer   net.Dialer

	mu        sync.Mutex
	closed    bool
	addresses map[string]*addressPool
	reaper    *time.Timer
}

// addressPool holds the connections to one address.
type addressPool struct {
	open    int          // connections open or being opened
	idle    []*conn      // most recently used last
	waiters []chan *conn // oldest first; see pool.wait for what they receive
}

// get returns a connection that no other exchange uses, or the failed step and an
// error. It waits for one if the limit of the address is reached. A connection
// that has served an exchange is checked directly before it is returned, even if
// it was just handed over, because extra bytes may arrive after the response was
// read. newConnection requires a connection that has not served an exchange.
func (p *pool) get(ctx context.Context, address string, newConnection bool) (*conn, string, error) {
	for {
		c, step, err := p.acquire(ctx, address)
		if err != nil || !c.used || (!newConnection && !c.expired(time.Now()) && !c.closedWhileIdle()) {
			return c, step, err
		}
		p.discard(c, CloseStale)
	}
}

// acquire returns the most recently used idle connection, opens one if the limit
// allows it, or waits for one to become free.
func (p *pool) acquire(ctx context.Context, address string) (*conn, string, error) {
	if err := ctx.Err(); err != nil {
		return nil, StepWait, err
	}
	limit := p.limit(address)
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, StepWait, ErrClosed
	}
	a := p.addresses[address]
	if a == nil {
		a = new(addressPool)
		p.addresses[address] = a
	}
	if n := len(a.idle); n > 0 {
		c := a.idle[n-1]
		a.idle = a.idle[:n-1]
		p.mu.Unlock()
		return c, "", nil
	}
	if a.open < limit {
		a.open++
		p.mu.Unlock()
		return p.dial(ctx, address)
	}
	ready := make(chan *conn, 1)
	a.waiters = append(a.waiters, ready)
	p.mu.Unlock()
	return p.wait(ctx, address, ready)
}

// wait receives from ready: a connection, nil as the permission to open one, or
// the closing of the channel when the pool is closed.
func (p *pool) wait(ctx context.Context, address string, ready chan *conn) (*conn, string, error) {
	select {
	case c, ok := <-ready:
		switch {
		case !ok:
			return nil, StepWait, ErrClosed
		case c == nil:
			return p.dial(ctx, address)
		default:
			return c, "", nil
		}
	case <-ctx.Done():
	}
	p.mu.Lock()
	a := p.addresses[address]
	if a != nil {
		if i := slices.Index(a.waiters, ready); i >= 0 {
			a.waiters = slices.Delete(a.waiters, i, i+1)
			p.mu.Unlock()
			return nil, StepWait, ctx.Err()
		}
	}
	p.mu.Unlock()
	if c, ok := <-ready; ok { // a connection or permission was handed over meanwhile: pass it on
		if c != nil {
			p.put(c)
		} else {
			p.releaseSlot(address)
		}
	}
	return nil, StepWait, ctx.Err()
}

// dial opens a connection. The caller has already counted it in addressPool.open;
// dial releases the slot on failure.
func (p *pool) dial(ctx context.Context, address string) (*conn, string, error) {
	opened, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.counters.dialsFailed.Add(1)
		p.releaseSlot(address)
		return nil, StepConnect, err
	}
	p.counters.opened.Add(1)
	return newConn(address, opened), "", nil
}

// put returns a reusable connection to the pool. It goes to the first waiter, if
// any, and is closed if the pool is closed or the limit was lowered.
func (p *pool) put(c *conn) {
	limit := p.limit(c.address)
	c.idleSince = time.Now() // get checks it, also for a connection that a waiter receives
	p.mu.Lock()
	a := p.addresses[c.address]
	switch {
	case p.closed:
		p.mu.Unlock()
		p.discard(c, CloseShutdown)
	case a.open > limit:
		p.mu.Unlock()
		p.discard(c, CloseOverLimit)
	case len(a.waiters) > 0:
		ready := a.waiters[0]
		a.waiters = slices.Delete(a.waiters, 0, 1)
		p.mu.Unlock()
		ready <- c
	default:
		a.idle = append(a.idle, c)
		if p.reaper == nil {
			p.reaper = time.AfterFunc(min(p.idleTimeout(c), p.options.IdleTimeout), p.reap)
		}
		p.mu.Unlock()
	}
}

// discard closes a connection and releases its slot.
func (p *pool) discard(c *conn, reason CloseReason) {
	_ = c.net.Close()
	p.counters.closed[reason].Add(1)
	p.releaseSlot(c.address)
}

// releaseSlot passes the permission to open a connection to the first waiter, or
// decrements the number of open connections.
func (p *pool) releaseSlot(address string) {
	limit := p.limit(address)
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.addresses[address]
	if len(a.waiters) > 0 && a.open <= limit {
		ready := a.waiters[0]
		a.waiters = slices.Delete(a.waiters, 0, 1)
		ready <- nil // does not block: the channel has a buffer
		return
	}
	a.open--
	if a.open == 0 && len(a.waiters) == 0 {
		delete(p.addresses, address)
	}
}

// idleTimeout returns how long a connection is kept idle: until shortly before the target
// closes it, if the target has announced when that is, else for IdleTimeout. It is bounded,
// since an idle connection may break without a sign.
func (p *pool) idleTimeout(c *conn) time.Duration {
	if c.idleLimit == 0 {
		return p.options.IdleTimeout
	}
	return min(c.idleLimit, maxIdleFactor*p.options.IdleTimeout)
}

// reap closes connections that have been idle for their idle timeout, and schedules its
// next run while idle connections remain.
func (p *pool) reap() {
	var expired []*conn
	next := time.Duration(-1)
	now := time.Now()
	p.mu.Lock()
	for _, a := range p.addresses {
		a.idle = slices.DeleteFunc(a.idle, func(c *conn) bool {
			left := p.idleTimeout(c) - now.Sub(c.idleSince)
			if left <= 0 {
				expired = append(expired, c)
			} else if next < 0 || left < next {
				next = left
			}
			return left <= 0
		})
	}
	p.reaper = nil
	if next >= 0 && !p.closed {
		p.reaper = time.AfterFunc(next, p.reap)
	}
	p.mu.Unlock()
	for _, c := range expired {
		p.discard(c, CloseIdle)
	}
}

// close closes idle connections and makes waiters fail. Connections in use are
// closed when their exchange ends.
func (p *pool) close() {
	var idle []*conn
	p.mu.Lock()
	p.closed = true
	if p.reaper != nil {
		p.reaper.Stop()
	}
	for _, a := range p.addresses {
		idle = append(idle, a.idle...)
		a.idle = nil
		for _, ready := range a.waiters {
			close(ready)
		}
		a.waiters = nil
	}
	p.mu.Unlock()
	for _, c := range idle {
		p.discard(c, CloseShutdown)
	}
}

func (p *pool) limit(address string) int { return max(1, p.options.ConnectionLimit(address)) }
