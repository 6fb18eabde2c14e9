package acceptqueue

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// firstRequestWait is how long a stop waits for the first request of a connection
	// that was accepted before it.
	firstRequestWait = 200 * time.Millisecond
	// pollInterval is the time between two checks for connections in use.
	pollInterval = 2 * time.Millisecond
)

// Conns tracks the connections of a server. The zero value is empty. It is safe for
// concurrent use.
type Conns struct {
	mu     sync.Mutex
	states map[net.Conn]http.ConnState // of those that are new or active
}

// StateChanged is the ConnState hook of the server.
func (c *Conns) StateChanged(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew, http.StateActive:
		if c.states == nil {
			c.states = make(map[net.Conn]http.ConnState)
		}
		c.states[conn] = state
	default:
		delete(c.states, conn)
	}
}

// inState returns the connections in a state.
func (c *Conns) inState(state http.ConnState) []net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []net.Conn
	for conn, s := range c.states {
		if s == state {
			list = append(list, conn)
		}
	}
	return list
}

// Shutdown ends a server whose listener is drained. Requests in progress, and those that
// connections accepted before it send at once, are answered; other connections are
// closed. It returns an error if the context ends first.
//
// http.Server.Shutdown alone closes connections without an answer if it is called while
// their request is being read, and waits five seconds for connections without a request.
func (c *Conns) Shutdown(ctx context.Context, server *http.Server) error {
	server.SetKeepAlivesEnabled(false) // closes idle connections
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for started := time.Now(); ; {
		unused := c.inState(http.StateNew)
		if time.Since(started) >= firstRequestWait {
			for _, conn := range unused {
				_ = conn.Close() // its caller knows that no request was read
			}
		}
		if len(unused) == 0 && len(c.inState(http.StateActive)) == 0 {
			break
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
