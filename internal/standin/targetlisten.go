package standin

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// restartable is a server whose listener a crash closes until it is restarted.
type restartable struct {
	server *http.Server
	tasks  sync.WaitGroup

	mu       sync.Mutex
	address  string
	listener net.Listener
	conns    map[net.Conn]struct{}
	closed   bool
}

// StartTarget returns a target that is served on a loopback address. The caller must
// call Close.
func StartTarget(o TargetOptions) (*Target, error) {
	t := NewTarget(o)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &t.listener
	l.address, l.listener, l.conns = listener.Addr().String(), listener, make(map[net.Conn]struct{})
	l.server = &http.Server{Handler: t, ConnState: l.track}
	l.tasks.Go(func() { _ = l.server.Serve(listener) }) // ends with Close or Crash
	return t, nil
}

// Address returns the address of a target from StartTarget.
func (t *Target) Address() string { return t.listener.address }

// Close stops a target from StartTarget and waits for its goroutines.
func (t *Target) Close() {
	l := &t.listener
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	_ = l.server.Close()
	l.tasks.Wait()
}

// Crash resets all connections and refuses new ones for Downtime. It has no effect
// while the target is down, after Close, and on a target from NewTarget.
func (t *Target) Crash() {
	l := &t.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener == nil || l.closed {
		return // already down, closed, or not from StartTarget
	}
	_ = l.listener.Close()
	l.listener = nil
	for conn := range l.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	l.tasks.Go(func() { l.restart(t.options.Downtime) })
}

// restart listens on the same address again after a time, and retries until it can.
func (l *restartable) restart(after time.Duration) {
	for ; ; after = time.Millisecond {
		time.Sleep(after)
		l.mu.Lock()
		if l.closed {
			l.mu.Unlock()
			return
		}
		listener, err := net.Listen("tcp", l.address)
		if err != nil { // an outgoing connection may use the port for a short time
			l.mu.Unlock()
			continue
		}
		l.listener = listener
		l.mu.Unlock()
		_ = l.server.Serve(listener) // ends with Close or Crash
		return
	}
}

// track keeps the set of open connections. It is the server's ConnState callback.
func (l *restartable) track(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateNew:
		l.conns[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(l.conns, conn)
	}
}
