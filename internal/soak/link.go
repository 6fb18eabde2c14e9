package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// linkState is how a link treats its connections.
type linkState struct {
	// delay holds back each piece of data.
	delay time.Duration
	// silentUp and silentDown swallow what goes to the server and to the client.
	silentUp, silentDown bool
	// refuse resets new connections.
	refuse bool
}

// link is a loopback proxy in front of one address. It is safe for concurrent use.
type link struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	state linkState
	conns map[net.Conn]struct{}
	done  sync.WaitGroup
}

const (
	// pieceBytes is how much a link forwards at a time.
	pieceBytes = 16 << 10
	// silentPoll is how often a silent link looks whether the silence is over.
	silentPoll = 10 * time.Millisecond
)

func newLink(listen, to string) (*link, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for the link to %s", to)
	}
	l := &link{listener: listener, to: to, conns: make(map[net.Conn]struct{})}
	l.done.Go(l.accept)
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

// set changes how the link treats open and new connections.
func (l *link) set(s linkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = s
}

func (l *link) now() linkState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

// reset ends all open connections with a reset.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		abort(c)
	}
}

// abort ends a connection with a reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // a failure means that it is closed already
	}
	_ = c.Close()
}

func (l *link) close() {
	_ = l.listener.Close()
	l.set(linkState{})
	l.reset()
	l.done.Wait()
}

func (l *link) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		if l.now().refuse {
			abort(client)
			continue
		}
		l.done.Go(func() { l.serve(client) })
	}
}

func (l *link) serve(client net.Conn) {
	l.track(client)
	defer l.forget(client)
	server, err := net.Dial("tcp", l.to)
	if err != nil { // nobody listens, so the client gets a reset as well
		abort(client)
		return
	}
	l.track(server)
	defer l.forget(server)
	var both sync.WaitGroup
	both.Go(func() { l.copy(server, client, func(s linkState) bool { return s.silentUp }) })
	both.Go(func() { l.copy(client, server, func(s linkState) bool { return s.silentDown }) })
	both.Wait()
}

func (l *link) track(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
}

func (l *link) forget(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	_ = c.Close()
}

// copy forwards one direction. Data that was swallowed leaves a gap, so the
// connection is reset when the silence ends, as a network would drop it.
func (l *link) copy(to, from net.Conn, silent func(linkState) bool) {
	buffer := make([]byte, pieceBytes)
	swallowed := false
	for {
		n, err := from.Read(buffer)
		state := l.now()
		if n > 0 && state.delay > 0 {
			time.Sleep(state.delay)
			state = l.now()
		}
		switch {
		case n > 0 && silent(state):
			swallowed = true
		case n > 0 && swallowed:
			err = net.ErrClosed
		case n > 0:
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			for silent(l.now()) { // the end is not seen either
				time.Sleep(silentPoll)
			}
			if tcp, ok := to.(*net.TCPConn); ok && err == io.EOF && !swallowed {
				_ = tcp.CloseWrite() // fails only when the connection has ended
				return
			}
			abort(to)
			return
		}
	}
}
