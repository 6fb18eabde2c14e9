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

// Conns tracks the connections of a server and ends them at a stop. The zero value is
// empty. It is safe for concurrent use.
type Conns struct {
	mu     sync.Mutex
	states map[net.Conn]http.ConnState // of the open connections
	// stopping is true once Shutdown was called.
	stopping bool
}

// StateChanged is the ConnState hook of the server, which calls it in the goroutine that
// reads the connection.
func (c *Conns) StateChanged(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew, http.StateActive, http.StateIdle:
		if c.states == nil {
			c.states = make(map[net.Conn]http.ConnState)
		}
		c.states[conn] = state
	default:
		delete(c.states, conn)
	}
	if !c.stopping {
		return
	}
	switch state {
	case http.StateActive:
		_ = conn.SetReadDeadline(time.Time{}) // set by endWaits; fails only if the connection is closed
	case http.StateIdle:
		_ = conn.Close() // nothing of a next request has been read
	}
}

// count returns the number of connections in a state.
func (c *Conns) count(state http.ConnState) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, s := range c.states {
		if s == state {
			n++
		}
	}
	return n
}

// endWaits makes the reads of the connections in a state fail. Their readers then close
// them, unless they have just received a request. A close from here could come after a
// request was read and before it is served.
func (c *Conns) endWaits(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping = true
	for conn, s := range c.states {
		if s == state {
			_ = conn.SetReadDeadline(time.Unix(0, 1)) // in the past; fails only if the connection is closed
		}
	}
}

// Shutdown ends a server whose listener is drained. Requests in progress, and those that
// connections accepted before it send at once, are answered; other connections are
// closed. It returns an error if the context ends first.
//
// http.Server.Shutdown and SetKeepAlivesEnabled close connections whose request is just
// being read without an answer, and Shutdown waits five seconds for connections without a
// request.
func (c *Conns) Shutdown(ctx context.Context, server *http.Server) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for started := time.Now(); ; {
		// Repeated, since net/http sets a deadline of its own before it waits for a request.
		c.endWaits(http.StateIdle)
		if time.Since(started) >= firstRequestWait {
			c.endWaits(http.StateNew)
		}
		if waiting := c.count(http.StateIdle) + c.count(http.StateNew); waiting == 0 {
			server.SetKeepAlivesEnabled(false) // closes idle connections, of which there are none
			if c.count(http.StateActive) == 0 {
				break
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
