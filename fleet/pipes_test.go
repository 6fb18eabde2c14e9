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
}

func newPipes() *pipes { return &pipes{listeners: make(map[netip.Addr]*pipeListener)} }

func (p *pipes) listen(ip netip.Addr) net.Listener {
	l := &pipeListener{ip: ip, accepted: make(chan net.Conn), closed: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listeners[ip] = l
	return l
}

func (p *pipes) dial(ctx context.Context, address string) (net.Conn, error) {
	to := netip.MustParseAddrPort(address).Addr()
	p.mu.Lock()
	l := p.listeners[to]
	p.mu.Unlock()
	if l == nil {
		return nil, errors.Errorf("connect to %s: refused", to)
	}
	near, far := net.Pipe()
	select {
	case l.accepted <- far:
		return near, nil
	case <-l.closed:
		return nil, errors.Errorf("connect to %s: refused", to)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
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
