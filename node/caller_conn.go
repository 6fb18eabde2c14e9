package node

import (
	"net"
	"sync/atomic"
	"time"

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
)

// callerConn is a caller's connection that closes itself when it is idle, or the
// caller takes to send a request's header, for longer than the configuration in
// force allows. The timeouts of net/http cannot change after the server's start.
type callerConn struct {
	net.Conn
	limits func() catalog.Limits
	timer  *time.Timer
	phase  atomic.Int32
	// expired is called when the connection is closed because of a limit.
	expired func(expiry)
	// closedBy is the limit that closed the connection, empty if none did.
	closedBy atomic.Value
}

// expiry is the limit that a connection exceeded, as written to logs and metrics.
type expiry string

// Limits that close a connection.
const (
	expiryIdle   expiry = "idle"
	expiryHeader expiry = "header"
)

// Phases of a connection. Only phaseIdle and phaseHeader have a time limit here.
const (
	phaseIdle   int32 = iota // no byte of the next request has been received
	phaseHeader              // a part of the header has been received
	phaseServed              // a request is being served
	phaseClosed
)

// callerListener wraps the connections that it accepts in a callerConn.
type callerListener struct {
	net.Listener
	limits  func() catalog.Limits
	expired func(expiry)
}

// Accept implements net.Listener. The idle timeout of the connection starts at once.
func (l *callerListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err // not wrapped: net/http checks for temporary errors and retries
	}
	c := &callerConn{Conn: raw, limits: l.limits, expired: l.expired}
	c.timer = time.AfterFunc(c.idleLimit(), c.expire)
	return c, nil
}

// Read implements net.Conn. The first byte of a request starts the header timeout.
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

// CloseWrite closes the sending side of the connection. net/http calls it before
// Close, so that the caller can still read the response.
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

// expire closes the connection unless a request is being served. The timer calls it.
func (c *callerConn) expire() {
	reason := expiryIdle
	if !c.phase.CompareAndSwap(phaseIdle, phaseClosed) {
		reason = expiryHeader
		if !c.phase.CompareAndSwap(phaseHeader, phaseClosed) {
			return
		}
	}
	c.closedBy.Store(reason)
	_ = c.Conn.Close() // the caller sees the close; there is nobody to report an error to
	c.expired(reason)
}
