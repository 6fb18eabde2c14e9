package callerconn

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

const (
	// firstRequestWait is how long a stop waits for the first request of a connection
	// that was accepted before it.
	firstRequestWait = 200 * time.Millisecond
	// pollInterval is the time between two checks for open connections.
	pollInterval = 2 * time.Millisecond
)

// Conns tracks the connections of a server. It is safe for concurrent use.
type Conns struct {
	limits  func() Limits
	expired func(Expiry)
	headers headerMemory
	// sendBuffer is the size of the send buffer of a connection in bytes, 0 for the default
	// of the system.
	sendBuffer atomic.Int64

	mu     sync.Mutex
	states map[net.Conn]http.ConnState // of the open connections
}

// NewConns returns an empty set of connections with these limits, which take the place of
// the server's ReadTimeout, ReadHeaderTimeout and IdleTimeout. expired is called for each
// connection that a limit ends; it may be nil.
func NewConns(limits func() Limits, expired func(Expiry)) *Conns {
	return &Conns{limits: limits, expired: expired, states: make(map[net.Conn]http.ConnState)}
}

// SetHeaderMemory bounds the memory for headers of which only a part has been received, over
// all connections together and without the first 4 KiB of each. A connection that exceeds
// it is closed. 0, the default, means no bound.
func (c *Conns) SetHeaderMemory(bytes int64) { c.headers.limit.Store(bytes) }

// SetSendBuffer bounds the memory of the system for what a caller has not yet received, in
// bytes for each connection that is accepted from now on. 0, the default, leaves it to the
// system, which may hold several MB for a slow caller.
func (c *Conns) SetSendBuffer(bytes int64) { c.sendBuffer.Store(bytes) }

// Listener returns a listener that wraps the connections of l in a Conn.
func (c *Conns) Listener(l net.Listener) net.Listener { return &connListener{Listener: l, conns: c} }

type connListener struct {
	net.Listener
	conns *Conns
}

// Accept implements net.Listener.
func (l *connListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err // not wrapped: net/http checks for temporary errors and retries
	}
	if size, ok := raw.(interface{ SetWriteBuffer(int) error }); ok && l.conns.sendBuffer.Load() > 0 {
		_ = size.SetWriteBuffer(int(l.conns.sendBuffer.Load())) // fails only if the connection is closed, as its reads then do
	}
	return newConn(raw, l.conns.limits, l.conns.expired, &l.conns.headers), nil
}

// StateChanged is the ConnState hook of the server.
func (c *Conns) StateChanged(conn net.Conn, state http.ConnState) {
	if caller, ok := conn.(*Conn); ok {
		caller.stateChanged(state)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew, http.StateActive, http.StateIdle:
		c.states[conn] = state
	default:
		delete(c.states, conn)
	}
}

// inState returns the connections in a state, and the number of all.
func (c *Conns) inState(state http.ConnState) (list []net.Conn, all int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, s := range c.states {
		if s == state {
			list = append(list, conn)
		}
	}
	return list, len(c.states)
}

// Shutdown ends a server whose listener is drained. Requests in progress, and those that
// connections accepted before it send at once, are answered; other connections are
// closed. It returns an error if the context ends first.
//
// http.Server.Shutdown alone waits five seconds for connections without a request, and
// closes them without an answer if their request is read meanwhile.
func (c *Conns) Shutdown(ctx context.Context, server *http.Server) error {
	server.SetKeepAlivesEnabled(false) // announces the close in responses, and closes idle connections
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for started := time.Now(); ; {
		unused, open := c.inState(http.StateNew)
		if open == 0 {
			break
		}
		if time.Since(started) >= firstRequestWait {
			for _, conn := range unused {
				_ = conn.Close() // its caller knows that no request was read
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for requests in progress")
		}
	}
	if err := server.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "shut down server")
	}
	return nil
}
