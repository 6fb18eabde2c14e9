package callerconn_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/dogwoodroute/dogwoodroute/internal/callerconn"
)

const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// pipeListener accepts in-memory connections, whose timers run on the fake clock of
// synctest.
type pipeListener struct {
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}
func (l *pipeListener) Close() error   { l.once.Do(func() { close(l.done) }); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// gate holds back the bytes of a read, as if the process did not run after it.
type gate struct {
	net.Conn
	armed   atomic.Bool
	read    chan struct{}
	release chan struct{}
}

func (g *gate) Read(b []byte) (int, error) {
	n, err := g.Conn.Read(b)
	if n > 0 && g.armed.CompareAndSwap(true, false) {
		close(g.read)
		<-g.release
	}
	return n, err
}

// testServer is a server with one connection, of which it has the caller's end.
type testServer struct {
	http     *http.Server
	listener *pipeListener
	conns    *callerconn.Conns
	gate     *gate
	conn     net.Conn
	in       *bufio.Reader
}

func noLimits() callerconn.Limits { return callerconn.Limits{} }

func startServer(t *testing.T, limits func() callerconn.Limits, handler http.HandlerFunc) *testServer {
	t.Helper()
	s := &testServer{conns: callerconn.NewConns(limits, nil), listener: &pipeListener{conns: make(chan net.Conn, 1), done: make(chan struct{})}}
	s.http = &http.Server{Handler: handler, ConnState: s.conns.StateChanged} //nolint:gosec // Conns limits the connections
	go func() {
		if err := s.http.Serve(s.conns.Listener(s.listener)); !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("serve: %v", err)
		}
	}()
	t.Cleanup(func() { _ = s.http.Close() })
	return s.connect(t)
}

// connect returns the server with another connection.
func (s *testServer) connect(t *testing.T) *testServer {
	t.Helper()
	c := *s
	serverEnd, callerEnd := net.Pipe()
	c.gate = &gate{Conn: serverEnd, read: make(chan struct{}), release: make(chan struct{})}
	c.conn, c.in = callerEnd, bufio.NewReader(callerEnd)
	c.listener.conns <- c.gate
	synctest.Wait()
	t.Cleanup(func() { _ = callerEnd.Close() })
	return &c
}

func (s *testServer) send(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(s.conn, text); err != nil {
		t.Fatal(err)
	}
}

// answered reports whether a response arrives, which must be complete and a success.
func (s *testServer) answered(t *testing.T) bool {
	t.Helper()
	response, err := http.ReadResponse(s.in, nil)
	if err != nil {
		return false
	}
	if _, err = io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("status %d, error %v", response.StatusCode, err)
	}
	return true
}

// exchange sends a request and expects its response.
func (s *testServer) exchange(t *testing.T) {
	t.Helper()
	s.send(t, request)
	if !s.answered(t) {
		t.Fatal("no response")
	}
	synctest.Wait()
}

// stop starts a planned stop and returns its result.
func (s *testServer) stop() <-chan error {
	stopped := make(chan error, 1)
	go func() { stopped <- s.conns.Shutdown(context.Background(), s.http) }()
	return stopped
}
