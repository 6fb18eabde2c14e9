package node

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/catalog"
)

const (
	// defaultHeaderTimeout bounds the time to receive a request's header while no
	// configuration is in force, or if the configuration sets no limit.
	defaultHeaderTimeout = 5 * time.Second
	// defaultIdleTimeout bounds the time that a connection may be idle, in the same
	// cases. It exceeds the idle timeouts of callers, so that the server does not
	// close a connection on which a caller is just sending a request.
	defaultIdleTimeout = 75 * time.Second
	// lastReadWait is the length of the last read before a wait ends. A read whose
	// deadline has passed does not look at the socket, so it would miss a request that
	// arrived while the process did not run.
	lastReadWait = time.Millisecond
)

// callerConn is a caller's connection whose reads fail when it is idle, or the caller
// takes to send a request's header, for longer than the configuration in force
// allows. The timeouts of net/http cannot change after the server's start.
//
// Only the goroutine that reads the connection ends it: a close from another one
// could come after a request was read and before it is served.
type callerConn struct {
	net.Conn
	limits func() catalog.Limits
	// expired is called when a limit ends a wait.
	expired func(expiry)

	mu    sync.Mutex
	phase connPhase
	since time.Time // when the phase began
	// readDeadline is the deadline that the server has set, zero if none.
	readDeadline time.Time
}

// connPhase is what a connection is used for at present.
type connPhase int

// Phases of a connection. Only phaseIdle and phaseHeader have a time limit here.
const (
	phaseIdle   connPhase = iota // no byte of the next request has been received
	phaseHeader                  // a part of the header has been received
	phaseServed                  // a request is being served
)

// expiry is the limit that a connection exceeded, as written to metrics.
type expiry string

// Limits that end a wait. expiryNone stands for a deadline of the server.
const (
	expiryNone   expiry = ""
	expiryIdle   expiry = "idle"
	expiryHeader expiry = "header"
)

func newCallerConn(raw net.Conn, limits func() catalog.Limits, expired func(expiry)) *callerConn {
	return &callerConn{Conn: raw, limits: limits, expired: expired, since: time.Now()}
}

// Read implements net.Conn. While no request is served, it fails with
// os.ErrDeadlineExceeded at the earlier of the limit of the phase and the server's
// deadline.
func (c *callerConn) Read(b []byte) (int, error) {
	for {
		limit, last, err := c.applyDeadline()
		if err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(b)
		if n > 0 {
			c.received()
			return n, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || last {
			if last && limit != expiryNone {
				c.expired(limit)
				_ = c.Conn.Close() // or net/http would answer a part of a header
			}
			return n, err
		}
		// The deadline is evaluated again, since the limits or the phase may have changed.
	}
}

// SetReadDeadline implements net.Conn. It also ends a read that waits.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite closes the sending side of the connection. net/http calls it before
// Close, so that the caller can still read the response.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// enter starts a phase.
func (c *callerConn) enter(p connPhase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since = p, time.Now()
	if p == phaseServed { // the limit of the header is still set as a deadline
		_ = c.Conn.SetReadDeadline(c.readDeadline) // fails only if the connection is closed, as the next read does
	}
}

// received starts the phase of the header with the first byte of a request.
func (c *callerConn) received() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseIdle {
		c.phase, c.since = phaseHeader, time.Now()
	}
}

// applyDeadline sets the deadline of the next read. last is true if the deadline has
// passed already and the read is the last one; limit is what set it.
func (c *callerConn) applyDeadline() (limit expiry, last bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseServed {
		return expiryNone, true, nil // the server sets the deadline itself
	}
	now := time.Now()
	limit, deadline := c.phaseEnd()
	if !c.readDeadline.IsZero() && c.readDeadline.Before(deadline) {
		limit, deadline = expiryNone, c.readDeadline
	}
	deadline = deadline.Add(-lastReadWait)
	if last = !now.Before(deadline); last {
		deadline = now.Add(lastReadWait)
	}
	return limit, last, c.Conn.SetReadDeadline(deadline)
}

// phaseEnd returns the limit of the phase and when it is reached. The phase must be
// phaseIdle or phaseHeader.
func (c *callerConn) phaseEnd() (expiry, time.Time) {
	limit, timeout, byDefault := expiryIdle, c.limits().IdleTimeout, defaultIdleTimeout
	if c.phase == phaseHeader {
		limit, timeout, byDefault = expiryHeader, c.limits().HeaderTimeout, defaultHeaderTimeout
	}
	if timeout <= 0 {
		timeout = byDefault
	}
	return limit, c.since.Add(timeout)
}
