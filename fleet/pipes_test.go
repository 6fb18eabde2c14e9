package fleet_test

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"github.com/go-faster/errors"
)

// pipes connects instances within the process, so that a fleet can run in simulated time.
type pipes struct {
	mu        sync.Mutex
	listeners map[netip.Addr]*pipeListener
	cut       map[[2]byte]bool // pairs of failure domains of which the second gets nothing from the first
}

func newPipes() *pipes {
	return &pipes{listeners: make(map[netip.Addr]*pipeListener), cut: make(map[[2]byte]bool)}
}

// cutOneWay drops everything from one failure domain to another without notice.
func (p *pipes) cutOneWay(from, to byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut[[2]byte{from, to}] = true
}

// heal ends all cuts.
func (p *pipes) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.cut)
}

func (p *pipes) isCut(from, to netip.Addr) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut[[2]byte{from.As4()[2], to.As4()[2]}]
}

func (p *pipes) listen(ip netip.Addr) net.Listener {
	l := &pipeListener{ip: ip, accepted: make(chan net.Conn), closed: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listeners[ip] = l
	return l
}

func (p *pipes) dial(ctx context.Context, from netip.Addr, address string) (net.Conn, error) {
	to := netip.MustParseAddrPort(address).Addr()
	p.mu.Lock()
	l := p.listeners[to]
	p.mu.Unlock()
	if l == nil {
		return nil, errors.Errorf("connect to %s: refused", to)
	}
	if p.isCut(from, to) || p.isCut(to, from) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, far := net.Pipe()
	near, far = &pipeConn{Conn: near, pipes: p, from: from, to: to}, &pipeConn{Conn: far, pipes: p, from: to, to: from}
	select {
	case l.accepted <- far:
		return near, nil
	case <-l.closed:
		return nil, errors.Errorf("connect to %s: refused", to)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// pipeConn is an end of a connection. What it sends over a link that is cut is lost.
type pipeConn struct {
	net.Conn
	pipes    *pipes
	from, to netip.Addr
}

func (c *pipeConn) Write(data []byte) (int, error) {
	if c.pipes.isCut(c.from, c.to) {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// pipeListener accepts the connections of pipes to one address.
type pipeListener struct {
	ip       netip.Addr
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(netip.AddrPortFrom(l.ip, 0)) }
