package fleet_test

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"github.com/go-faster/errors"
)

// links are the connections between the instances of a cluster. A test can cut
// instances off from all others.
type links struct {
	mu    sync.Mutex
	cut   map[netip.Addr]bool
	conns map[link][]net.Conn
}

// link is a pair of instances; from opened the connection.
type link struct{ from, to netip.Addr }

func newLinks() *links {
	return &links{cut: make(map[netip.Addr]bool), conns: make(map[link][]net.Conn)}
}

// dialer returns the function with which an instance connects to peers.
func (l *links) dialer(from netip.Addr) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		to := netip.MustParseAddrPort(address).Addr()
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.cut[from] || l.cut[to] {
			_ = conn.Close()
			return nil, errors.Errorf("link from %s to %s is cut", from, to)
		}
		l.conns[link{from, to}] = append(l.conns[link{from, to}], conn)
		return conn, nil
	}
}

// cutOff closes the connections of an instance with others and prevents new ones.
func (l *links) cutOff(ip netip.Addr) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[ip] = true
	for pair, conns := range l.conns {
		if pair.from == ip || pair.to == ip {
			for _, conn := range conns {
				_ = conn.Close()
			}
			delete(l.conns, pair)
		}
	}
}

// heal lets all instances connect to each other again.
func (l *links) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.cut)
}
