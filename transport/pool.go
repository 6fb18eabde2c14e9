package transport

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"
)

// pool holds the connections of all addresses. Its mutex is never held across
// a call that can block.
type pool struct {
	options  Options
	counters *counters
	dialer   net.Dialer

	mu        sync.Mutex
	closed    bool
	addresses map[string]*addressPool
	reaper    *time.Timer
}

// addressPool is the part of one address.
type addressPool struct {
	open    int     // connections open or being opened
	idle    []*conn // most recently used last
	waiters []chan *conn
}

// get returns a connection that no other exchange uses. It waits for one when
// the limit of the address is reached. A used connection is checked last, also
// when it comes straight from another exchange, since bytes that follow an
// answer may arrive after it was read. fresh asks for a connection without an
// earlier exchange.
func (p *pool) get(ctx context.Context, address string, fresh bool) (*conn, string, error) {
	for {
		c, step, err := p.take(ctx, address)
		if err != nil || !c.used || (!fresh && !c.expired(time.Now()) && !c.closedWhileIdle()) {
			return c, step, err
		}
		p.discard(c, CloseStale)
	}
}

// take returns an idle connection, a new one, or the next that becomes free.
func (p *pool) take(ctx context.Context, address string) (*conn, string, error) {
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

// wait receives a connection, or nil as the permission to open one.
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
	if c, ok := <-ready; ok { // handed over in the meantime
		if c != nil {
			p.put(c)
		} else {
			p.free(address)
		}
	}
	return nil, StepWait, ctx.Err()
}

// dial opens a connection for which the address has been charged.
func (p *pool) dial(ctx context.Context, address string) (*conn, string, error) {
	opened, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.counters.dialsFailed.Add(1)
		p.free(address)
		return nil, StepConnect, err
	}
	p.counters.opened.Add(1)
	return newConn(address, opened), "", nil
}

// put takes back a connection whose last exchange ended whole.
func (p *pool) put(c *conn) {
	limit := p.limit(c.address)
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
		c.idleSince = time.Now()
		a.idle = append(a.idle, c)
		if p.reaper == nil {
			p.reaper = time.AfterFunc(p.options.IdleTimeout, p.reap)
		}
		p.mu.Unlock()
	}
}

// discard closes a connection and frees its place.
func (p *pool) discard(c *conn, reason CloseReason) {
	_ = c.net.Close()
	p.counters.closed[reason].Add(1)
	p.free(c.address)
}

// free gives the place of a connection to the first waiter, if any.
func (p *pool) free(address string) {
	limit := p.limit(address)
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.addresses[address]
	if len(a.waiters) > 0 && a.open <= limit {
		ready := a.waiters[0]
		a.waiters = slices.Delete(a.waiters, 0, 1)
		ready <- nil // buffered
		return
	}
	a.open--
	if a.open == 0 && len(a.waiters) == 0 {
		delete(p.addresses, address)
	}
}

// reap closes connections that were idle for too long.
func (p *pool) reap() {
	var old []*conn
	next := time.Duration(-1)
	now := time.Now()
	p.mu.Lock()
	for _, a := range p.addresses {
		keep := slices.IndexFunc(a.idle, func(c *conn) bool { return now.Sub(c.idleSince) < p.options.IdleTimeout })
		if keep < 0 {
			keep = len(a.idle)
		} else if left := p.options.IdleTimeout - now.Sub(a.idle[keep].idleSince); next < 0 || left < next {
			next = left
		}
		old = append(old, a.idle[:keep]...)
		a.idle = slices.Delete(a.idle, 0, keep)
	}
	p.reaper = nil
	if next >= 0 && !p.closed {
		p.reaper = time.AfterFunc(next, p.reap)
	}
	p.mu.Unlock()
	for _, c := range old {
		p.discard(c, CloseIdle)
	}
}

// close closes idle connections and lets waiters fail. Connections in use are
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
