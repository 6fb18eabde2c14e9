package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// proxyState is the set of faults that a proxy applies. The zero value forwards
// everything unchanged.
type proxyState struct {
	// delay is added before each chunk is forwarded.
	delay time.Duration
	// dropToServer and dropToClient discard the data sent in that direction and
	// hide the end of the stream, without closing the connection.
	dropToServer, dropToClient bool
	// resetNew resets new connections.
	resetNew bool
}

// proxy is a loopback TCP proxy in front of one address. It is safe for concurrent
// use.
type proxy struct {
	listener net.Listener
	upstream string

	mu    sync.Mutex
	state proxyState
	// sources holds the faults for clients with an IP address, in place of state.
	sources map[string]proxyState
	conns   map[net.Conn]struct{}
	tasks   sync.WaitGroup
}

const (
	// chunkBytes is the size of the read buffer of each direction.
	chunkBytes = 16 << 10
	// dropPollInterval is the interval at which a connection that has ended on one
	// side checks whether data is still dropped.
	dropPollInterval = 10 * time.Millisecond
)

func newProxy(listen, to string) (*proxy, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for proxy to %s", to)
	}
	p := &proxy{listener: listener, upstream: to, conns: make(map[net.Conn]struct{})}
	p.tasks.Go(p.accept)
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// setState changes the faults for open and new connections.
func (p *proxy) setState(s proxyState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = s
}

// setSourceState changes the faults for clients with an IP address; the zero value ends them.
func (p *proxy) setSourceState(ip string, s proxyState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sources == nil {
		p.sources = make(map[string]proxyState)
	}
	if p.sources[ip] = s; s == (proxyState{}) {
		delete(p.sources, ip)
	}
}

// stateFor returns the faults for clients with an IP address.
func (p *proxy) stateFor(ip string) proxyState {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.sources[ip]; ok {
		return s
	}
	return p.state
}

func sourceOf(client net.Conn) string { return client.RemoteAddr().(*net.TCPAddr).IP.String() }

// reset closes all open connections with a TCP reset.
func (p *proxy) reset() { p.resetIf(func(net.Conn) bool { return true }) }

func (p *proxy) resetIf(match func(net.Conn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if match(c) {
			resetConnection(c)
		}
	}
}

// resetConnection closes a connection with a TCP reset.
func resetConnection(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only when the connection is already closed
	}
	_ = c.Close()
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.setState(proxyState{})
	p.reset()
	p.tasks.Wait()
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.stateFor(sourceOf(client)).resetNew {
			resetConnection(client)
			continue
		}
		p.tasks.Go(func() { p.serve(client) })
	}
}

func (p *proxy) serve(client net.Conn) {
	p.track(client)
	defer p.forget(client)
	// From the client's address, by which instances tell callers apart.
	source := sourceOf(client)
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
	server, err := dialer.Dial("tcp", p.upstream)
	if err != nil { // no server listens, so the client receives a reset, too
		resetConnection(client)
		return
	}
	p.track(server)
	defer p.forget(server)
	var both sync.WaitGroup
	both.Go(func() { p.forward(server, client, source, func(s proxyState) bool { return s.dropToServer }) })
	both.Go(func() { p.forward(client, server, source, func(s proxyState) bool { return s.dropToClient }) })
	both.Wait()
}

func (p *proxy) track(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
}

func (p *proxy) forget(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	_ = c.Close()
}

// forward copies data of a client with an IP address in one direction. Dropped data leaves a
// gap in the stream, so when data arrives after the dropping has ended, the connection is reset.
func (p *proxy) forward(to, from net.Conn, source string, dropping func(proxyState) bool) {
	buffer := make([]byte, chunkBytes)
	dropped := false
	for {
		n, err := from.Read(buffer)
		state := p.stateFor(source)
		if n > 0 && state.delay > 0 {
			time.Sleep(state.delay)
			state = p.stateFor(source)
		}
		switch {
		case n > 0 && dropping(state):
			dropped = true
		case n > 0 && dropped:
			err = net.ErrClosed
		case n > 0:
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			for dropping(p.stateFor(source)) { // while data is dropped, the end of the stream is hidden, too
				time.Sleep(dropPollInterval)
			}
			if tcp, ok := to.(*net.TCPConn); ok && err == io.EOF && !dropped {
				_ = tcp.CloseWrite() // fails only when the connection has ended
				return
			}
			resetConnection(to)
			return
		}
	}
}
