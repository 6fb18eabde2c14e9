package transport

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// bufferBytes is the size of each of a connection's read and write buffers. The
// size of the read buffer also limits the trailers of a response.
const bufferBytes = 4 << 10

// conn is a connection to a target. One exchange at a time uses it.
type conn struct {
	address string
	net     net.Conn
	raw     syscall.RawConn
	in      *bufio.Reader
	out     *bufio.Writer
	request http.Request // passes the method to http.ReadResponse
	// headBytesLeft is the number of bytes that may still be read for a response
	// head. It applies while limitHead is set.
	headBytesLeft int
	limitHead     bool
	// written is the number of bytes that the kernel accepted in this exchange.
	written int64
	// used is true once an exchange was started, reused if an earlier one was.
	used, reused bool
	idleSince    time.Time
	// idleLimit is the target's announced idle timeout minus idleMargin. Zero: the
	// target has not announced one.
	idleLimit time.Duration
	// sawLateResponse is set once a response to another request was read.
	sawLateResponse bool
	stale           bool
	peek            func(fd uintptr) bool
	abort           func()
}

func newConn(address string, c net.Conn) *conn {
	nc := &conn{address: address, net: c}
	nc.in = bufio.NewReaderSize((*connReader)(nc), bufferBytes)
	nc.out = bufio.NewWriterSize((*connWriter)(nc), bufferBytes)
	if s, ok := c.(syscall.Conn); ok {
		nc.raw, _ = s.SyscallConn() // if raw is nil, closedWhileIdle returns true
	}
	nc.peek = nc.peekFD
	nc.abort = func() { _ = c.Close() }
	return nc
}

// idleMargin is the time before the target's idle timeout from which a connection
// is no longer reused, because the target could close it while a request is in
// transit.
const idleMargin = time.Second

// keepAlive stores the idle timeout, in whole seconds, that the target announces
// in the Keep-Alive header.
func (c *conn) keepAlive(h http.Header) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(value); err == nil && n > 0 && strings.EqualFold(name, "timeout") {
			c.idleLimit = max(time.Duration(n)*time.Second-idleMargin, idleMargin/2)
		}
	}
}

// expired reports whether the connection has been idle for as long as idleLimit.
func (c *conn) expired(now time.Time) bool {
	return c.idleLimit > 0 && now.Sub(c.idleSince) >= c.idleLimit
}

// begin prepares the connection for an exchange with the deadline of the context.
func (c *conn) begin(ctx context.Context) error {
	c.written, c.limitHead = 0, false
	deadline, _ := ctx.Deadline() // the zero time removes the deadline of the previous exchange
	return c.net.SetDeadline(deadline)
}

// closedWhileIdle reports whether the target closed the idle connection or sent
// bytes that belong to no request. It also returns true if this cannot be
// determined. It does not block.
func (c *conn) closedWhileIdle() bool {
	if c.raw == nil || c.in.Buffered() > 0 {
		return true
	}
	// The deadline of the previous exchange may have passed, which would make the
	// read fail.
	if err := c.net.SetDeadline(time.Time{}); err != nil {
		return true
	}
	c.stale = true
	if err := c.raw.Read(c.peek); err != nil {
		return true
	}
	return c.stale
}

// peekFD sets stale if unread bytes, the end of the stream or an error is pending
// on the socket. It consumes nothing.
func (c *conn) peekFD(fd uintptr) bool {
	var buffer [1]byte
	_, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	c.stale = err != syscall.EAGAIN && err != syscall.EWOULDBLOCK
	return true
}

// connReader reads from the network below the buffer of a conn and enforces the
// limit of the response head.
type connReader conn

func (r *connReader) Read(p []byte) (int, error) {
	if r.limitHead {
		if r.headBytesLeft <= 0 {
			return 0, ErrHeadTooLarge
		}
		p = p[:min(len(p), r.headBytesLeft)]
	}
	n, err := r.net.Read(p)
	r.headBytesLeft -= n
	return n, err
}

// connWriter writes to the network below the buffer of a conn and counts the bytes
// written.
type connWriter conn

func (w *connWriter) Write(p []byte) (int, error) {
	n, err := w.net.Write(p)
	w.written += int64(n)
	return n, err
}
