package callerconn

import (
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// lastReadWait is the length of the last read before a wait ends. A read whose
	// deadline has passed does not look at the socket, so it would miss a request that
	// arrived while the process did not run.
	lastReadWait = time.Millisecond
	// headerRestWait limits the wait for the rest of a header once the connection is to
	// be closed. Callers send a header at once.
	headerRestWait = 200 * time.Millisecond
)

// Conn is a caller's connection to an HTTP server. Its reads fail when it is idle, or the
// caller takes to send a request's header, for longer than the limits allow.
type Conn struct {
	net.Conn
	limits  func() Limits
	expired func(Expiry)
	headers *headerMemory

	mu      sync.Mutex
	phase   phase
	since   time.Time // when the phase began
	waiting bool      // a read for the first byte of a request is in progress
	header  int64     // bytes received in the phases idle and header
	// closingAt is when Close was called while the connection could not be closed at
	// once, zero if it was not.
	closingAt time.Time
}

// phase is what a connection is used for at present.
type phase int

const (
	phaseIdle   phase = iota // no byte of the next request has been received
	phaseHeader              // a part of the header has been received
	phaseServed              // a request is being served; no limit applies
	phaseEnded               // a read has failed or the connection is closed
)

// newConn returns a connection whose idle time starts at once.
func newConn(raw net.Conn, limits func() Limits, expired func(Expiry), headers *headerMemory) *Conn {
	return &Conn{Conn: raw, limits: limits, expired: expired, headers: headers, since: time.Now()}
}

// Read implements net.Conn. While no request is served, the limits replace the read
// deadline.
func (c *Conn) Read(b []byte) (int, error) {
	for {
		last, err := c.beginRead()
		if err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(b)
		if !c.endRead(n, err, last) {
			return n, err
		}
	}
}

// Close implements net.Conn. While the server waits for a request or its header, it only
// makes the reads end soon; the goroutine that reads then closes the connection, or
// serves the request that it has received.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waiting && c.phase != phaseHeader {
		c.enter(phaseEnded)
		return c.Conn.Close()
	}
	if !c.closingAt.IsZero() {
		return nil
	}
	c.closingAt = time.Now()
	return c.Conn.SetReadDeadline(c.closingAt) // wakes the reader
}

// CloseWrite closes the sending side of the connection. net/http calls it before
// Close, so that the caller can still read the response.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// stateChanged starts the phase of a state of net/http. A connection is active from the
// end of a request's header to the end of its response.
func (c *Conn) stateChanged(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase == phaseEnded:
	case state == http.StateActive:
		c.enter(phaseServed)
		_ = c.Conn.SetReadDeadline(time.Time{}) // that of the header; fails only if the connection is closed
	case state == http.StateIdle:
		c.enter(phaseIdle)
	}
}

func (c *Conn) enter(p phase) {
	if p != phaseHeader {
		c.headers.release(c.header)
		c.header = 0
	}
	c.phase, c.since = p, time.Now()
}

// beginRead sets the deadline of the next read while no request is served. last is true if
// the wait is over already, so that the read only looks for bytes that have arrived.
func (c *Conn) beginRead() (last bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseServed || c.phase == phaseEnded {
		return false, nil
	}
	c.waiting = c.phase == phaseIdle
	deadline := c.waitEnd()
	if !deadline.IsZero() {
		now := time.Now()
		deadline = deadline.Add(-lastReadWait)
		if last = !now.Before(deadline); last {
			deadline = now.Add(lastReadWait)
		}
	}
	return last, c.Conn.SetReadDeadline(deadline)
}

// endRead handles the result of a read, and reports whether to read again: the end of the
// wait may have changed meanwhile.
func (c *Conn) endRead(n int, err error, last bool) (again bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	switch {
	case c.phase == phaseServed || c.phase == phaseEnded:
		return false
	case n > 0 && !c.headers.add(c.header, int64(n)):
		if c.expired != nil {
			c.expired(ExpiryMemory)
		}
		c.enter(phaseEnded)
		_ = c.Conn.Close()
		return false
	case n > 0 && c.phase == phaseIdle:
		c.header += int64(n)
		c.enter(phaseHeader)
		return false
	case n > 0:
		c.header += int64(n)
		return false
	case err == nil:
		return false
	case errors.Is(err, os.ErrDeadlineExceeded) && !last:
		return true
	}
	if last && c.closingAt.IsZero() && c.expired != nil {
		c.expired(c.phase.expiry())
	}
	c.enter(phaseEnded)
	_ = c.Conn.Close() // or net/http would answer a part of a header
	return false
}

// waitEnd returns when the wait of the phase ends, zero if it has no limit.
func (c *Conn) waitEnd() time.Time {
	limits := c.limits()
	limit, closingWait := limits.Idle, time.Duration(0)
	if c.phase == phaseHeader {
		limit, closingWait = limits.Header, headerRestWait
	}
	var end time.Time
	if limit > 0 {
		end = c.since.Add(limit)
	}
	if closing := c.closingAt.Add(closingWait); !c.closingAt.IsZero() && (end.IsZero() || closing.Before(end)) {
		end = closing
	}
	return end
}
