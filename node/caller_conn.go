package node

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/dogwoodroute/dogwoodroute/catalog"
)

const (
	// defaultHeaderTimeout bounds the time to receive a request's header when
	// the configuration has no bound, or is not known yet.
	defaultHeaderTimeout = 5 * time.Second
	// defaultIdleTimeout is the same for connections without a request. It is
	// above what callers use, so that a request never crosses the close.
	defaultIdleTimeout = 75 * time.Second
)

// callerConn is a caller's connection that closes itself when the caller stays
// idle, or takes to send a header, longer than the configuration in force
// allows. net/http fixes both times when the server starts.
type callerConn struct {
	net.Conn
	limits func() catalog.Limits
	timer  *time.Timer
	phase  atomic.Int32
}

// Phases of a connection. Only idle and header are limited in time here.
const (
	phaseIdle   int32 = iota // no byte of the next request has arrived
	phaseHeader              // the header is arriving
	phaseServed              // a request is being served
	phaseClosed
)

// callerListener limits the connections that it accepts.
type callerListener struct {
	net.Listener
	limits func() catalog.Limits
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err // as net/http expects it: it retries temporary errors
	}
	c := &callerConn{Conn: raw, limits: l.limits}
	c.timer = time.AfterFunc(c.idleLimit(), c.expire)
	return c, nil
}

// Read implements net.Conn.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.phase.CompareAndSwap(phaseIdle, phaseHeader) {
		limit := c.limits().HeaderTimeout
		if limit == 0 {
			limit = defaultHeaderTimeout
		}
		c.timer.Reset(limit)
	}
	return n, err
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.phase.Store(phaseClosed)
	c.timer.Stop()
	return c.Conn.Close()
}

// CloseWrite lets net/http end an answer so that the caller can still read it.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

func (c *callerConn) idleLimit() time.Duration {
	if limit := c.limits().IdleTimeout; limit > 0 {
		return limit
	}
	return defaultIdleTimeout
}

// expire closes the connection unless a request has become complete meanwhile.
func (c *callerConn) expire() {
	if c.phase.CompareAndSwap(phaseIdle, phaseClosed) || c.phase.CompareAndSwap(phaseHeader, phaseClosed) {
		_ = c.Conn.Close() // the caller sees the close; there is nobody to tell
	}
}

// connState follows net/http: a connection is active from the end of a
// request's header to the end of its answer.
func connState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.timer.Stop()
		c.phase.CompareAndSwap(phaseIdle, phaseServed)
		c.phase.CompareAndSwap(phaseHeader, phaseServed)
	case http.StateIdle:
		if c.phase.CompareAndSwap(phaseServed, phaseIdle) {
			c.timer.Reset(c.idleLimit())
		}
	}
}
