package callerconn

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// drainWait is how long Accept waits for a further connection before the queue
// counts as empty.
const drainWait = 2 * time.Millisecond

// Listener is a TCP listener that can accept the connections that are queued before
// it closes. Its methods are safe for concurrent use, but only one goroutine may
// call Accept.
type Listener struct {
	*net.TCPListener
	draining  atomic.Bool
	drained   chan struct{} // closed when the queue is empty and the socket is closed
	closed    chan struct{}
	closeOnce sync.Once
}

// New returns a listener that wraps l, which must be a TCP listener.
func New(l net.Listener) (*Listener, error) {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return nil, errors.Errorf("listener on %s is a %T, not a TCP listener", l.Addr(), l)
	}
	return &Listener{TCPListener: tcp, drained: make(chan struct{}), closed: make(chan struct{})}, nil
}

// Accept implements net.Listener. After Drain it returns the connections that are
// queued, and then blocks until Close.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		draining := l.draining.Load()
		if draining {
			if err := l.SetDeadline(time.Now().Add(drainWait)); err != nil {
				return nil, err // closed
			}
		}
		conn, err := l.TCPListener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err // not wrapped: net/http checks for temporary errors
		}
		// The deadline may have passed before Accept looked at the queue.
		if draining && !l.pending() {
			_ = l.TCPListener.Close() // the error of a second close is of no use
			close(l.drained)
			<-l.closed
			return nil, net.ErrClosed
		}
	}
}

// pending reports whether a connection is queued, or an error is to be read.
func (l *Listener) pending() bool {
	raw, err := l.SyscallConn()
	if err != nil {
		return false // closed
	}
	ready := 0
	if controlErr := raw.Control(func(fd uintptr) {
		ready, err = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	}); controlErr != nil {
		return false
	}
	return ready > 0 || errors.Is(err, unix.EINTR)
}

// Drain lets Accept return the connections that are queued, then closes the socket.
// It waits until that is done, or until the context ends; the caller must then call
// Close. It needs a goroutine that calls Accept.
func (l *Listener) Drain(ctx context.Context) error {
	l.draining.Store(true)
	// Ends an Accept that is waiting. It fails only if the listener is closed.
	if err := l.SetDeadline(time.Now()); err != nil {
		return errors.Wrapf(err, "drain accept queue of %s", l.Addr())
	}
	select {
	case <-l.drained:
		return nil
	case <-l.closed:
		return nil
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "drain accept queue of %s", l.Addr())
	}
}

// Close implements net.Listener. It does not accept queued connections, and may be
// called after Drain and more than once.
func (l *Listener) Close() error {
	var err error
	l.closeOnce.Do(func() {
		close(l.closed)
		select {
		case <-l.drained: // closed already
		default:
			if err = l.TCPListener.Close(); l.draining.Load() && errors.Is(err, net.ErrClosed) {
				err = nil // Drain closed it meanwhile
			}
		}
	})
	return err
}
