package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// proxyState is how a link treats its connections.
type proxyState struct {
	// delay holds back each piece of data.
	delay time.Duration
	// dropToServer and dropToClient swallow what goes to the server and to the client.
	dropToServer, dropToClient bool
	// resetNew resets new connections.
	resetNew bool
}

// proxy is a loopback proxy in front of one address. It is safe for concurrent use.
type proxy struct {
	listener net.Listener
	upstream       string

	mu    sync.Mutex
	state proxyState
	conns map[net.Conn]struct{}
	tasks  sync.WaitGroup
}

const (
	// chunkBytes is how much a link forwards at a time.
	chunkBytes = 16 << 10
	// dropPollInterval is how often a silent link looks whether the silence is over.
	dropPollInterval = 10 * time.Millisecond
)

func newProxy(listen, to string) (*proxy, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for the link to %s", to)
	}
	l := &proxy{listener: listener, upstream: to, conns: make(map[net.Conn]struct{})}
	l.tasks.Go(l.accept)
	return l, nil
}

func (l *proxy) address() string { return l.listener.Addr().String() }

// setState changes how the link treats open and new connections.
func (l *proxy) setState(s proxyState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = s
}

func (l *proxy) currentState() proxyState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

// reset ends all open connections with a reset.
func (l *proxy) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		resetConnection(c)
	}
}

// resetConnection ends a connection with a reset.
func resetConnection(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // a failure means that it is closed already
	}
	_ = c.Close()
}

func (l *proxy) close() {
	_ = l.listener.Close()
	l.setState(proxyState{})
	l.reset()
	l.tasks.Wait()
}

func (l *proxy) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		if l.currentState().resetNew {
			resetConnection(client)
			continue
		}
		l.tasks.Go(func() { l.serve(client) })
	}
}

func (l *proxy) serve(client net.Conn) {
	l.track(client)
	defer l.forget(client)
	server, err := net.Dial("tcp", l.upstream)
	if err != nil { // nobody listens, so the client gets a reset as well
		resetConnection(client)
		return
	}
	l.track(server)
	defer l.forget(server)
	var both sync.WaitGroup
	both.Go(func() { l.forward(server, client, func(s proxyState) bool { return s.dropToServer }) })
	both.Go(func() { l.forward(client, server, func(s proxyState) bool { return s.dropToClient }) })
	both.Wait()
}

func (l *proxy) track(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
}

func (l *proxy) forget(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	_ = c.Close()
}

// forward forwards one direction. Data that was swallowed leaves a gap, so the
// connection is reset when the silence ends, as a network would drop it.
func (l *proxy) forward(to, from net.Conn, dropping func(proxyState) bool) {
	buffer := make([]byte, chunkBytes)
	dropped := false
	for {
		n, err := from.Read(buffer)
		state := l.currentState()
		if n > 0 && state.delay > 0 {
			time.Sleep(state.delay)
			state = l.currentState()
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
			for dropping(l.currentState()) { // the end is not seen either
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
