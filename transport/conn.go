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

// bufferBytes is the size of a connection's read and of its write buffer. It
// also bounds the trailers of an answer.
const bufferBytes = 4 << 10

// conn is one connection to a target. It is owned by one exchange at a time.
type conn struct {
	address string
	net     net.Conn
	raw     syscall.RawConn
	in      *bufio.Reader
	out     *bufio.Writer
	request http.Request // tells the parser the method
	// headBytesLeft bounds the bytes read while an answer's head is parsed, when limited.
	headBytesLeft int
	limitHead  bool
	// written counts the bytes that the kernel accepted in this exchange.
	written     int64
	used      bool
	idleSince time.Time
	// idleLimit is how long the target keeps the connection open unused, less a
	// margin. Zero: it did not say.
	idleLimit time.Duration
	// sawLateResponse is set once an answer to another request was read from it.
	sawLateResponse bool
	stale   bool
	peek    func(fd uintptr) bool
	abort    func()
}

func newConn(address string, c net.Conn) *conn {
	nc := &conn{address: address, net: c}
	nc.in = bufio.NewReaderSize((*connReader)(nc), bufferBytes)
	nc.out = bufio.NewWriterSize((*connWriter)(nc), bufferBytes)
	if s, ok := c.(syscall.Conn); ok {
		nc.raw, _ = s.SyscallConn() // without it the connection counts as stale
	}
	nc.peek = nc.peekFD
	nc.abort = func() { _ = c.Close() }
	return nc
}

// idleMargin is how long before the target's own idle timeout a connection is
// no longer used: the target may close it while a request is on its way.
const idleMargin = time.Second

// keepAlive notes the idle timeout that the target announces, in whole seconds.
func (c *conn) keepAlive(h http.Header) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(value); err == nil && n > 0 && strings.EqualFold(name, "timeout") {
			c.idleLimit = max(time.Duration(n)*time.Second-idleMargin, idleMargin/2)
		}
	}
}

// expired reports whether the idle connection is too old to be used.
func (c *conn) expired(now time.Time) bool {
	return c.idleLimit > 0 && now.Sub(c.idleSince) >= c.idleLimit
}

// begin prepares an exchange whose deadline is the context's.
func (c *conn) begin(ctx context.Context) error {
	c.written, c.limitHead = 0, false
	deadline, _ := ctx.Deadline() // the zero time removes the deadline of the last exchange
	return c.net.SetDeadline(deadline)
}

// closedWhileIdle reports whether the target closed the idle connection or sent
// bytes that belong to no request. It does not block.
func (c *conn) closedWhileIdle() bool {
	if c.raw == nil || c.in.Buffered() > 0 {
		return true
	}
	// The deadline of the last exchange may have passed and would fail the read.
	if err := c.net.SetDeadline(time.Time{}); err != nil {
		return true
	}
	c.stale = true
	if err := c.raw.Read(c.peek); err != nil {
		return true
	}
	return c.stale
}

// peekFD looks for bytes or the end of the stream without taking them.
func (c *conn) peekFD(fd uintptr) bool {
	var buffer [1]byte
	_, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	c.stale = err != syscall.EAGAIN && err != syscall.EWOULDBLOCK
	return true
}

// connReader is the reading side of a conn below its buffer.
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

// connWriter is the writing side of a conn below its buffer.
type connWriter conn

func (w *connWriter) Write(p []byte) (int, error) {
	n, err := w.net.Write(p)
	w.written += int64(n)
	return n, err
}
