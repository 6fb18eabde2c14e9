package node

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/catalog"
)

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

// slowEcho returns the request's body after a time that exceeds both limits, which do
// not apply to a request in progress.
func slowEcho(w http.ResponseWriter, r *http.Request) {
	time.Sleep(time.Minute)
	_, _ = io.Copy(w, r.Body)
}

// dial returns the caller's end of a new connection to a server with these limits.
func dial(t *testing.T, limits func() catalog.Limits, handler http.HandlerFunc) net.Conn {
	t.Helper()
	l := &pipeListener{conns: make(chan net.Conn, 1), done: make(chan struct{})}
	conns := new(callerConns)
	server := &http.Server{Handler: handler, ConnState: conns.stateChanged} //nolint:gosec // callerListener limits the connections
	go func() {
		if err := server.Serve(&callerListener{Listener: l, limits: limits, expired: func(expiry) {}}); !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("serve: %v", err)
		}
	}()
	t.Cleanup(func() { _ = server.Close() })
	serverEnd, callerEnd := net.Pipe()
	l.conns <- serverEnd
	t.Cleanup(func() { _ = callerEnd.Close() })
	return callerEnd
}

// timeUntilClose returns the time until the server closes the connection.
func timeUntilClose(t *testing.T, conn net.Conn) time.Duration {
	t.Helper()
	start := time.Now()
	if n, err := conn.Read(make([]byte, 1)); n > 0 || err == nil {
		t.Fatal("got a response, want the connection closed")
	}
	return time.Since(start)
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// Guards against ignoring the configured time limits, against limits that apply
// only to connections opened after a configuration change, and against a limit
// that ends a request in progress.
func TestCallersAreLimitedInTime(t *testing.T) {
	limits := catalog.Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	tests := []struct {
		name         string
		limits       catalog.Limits
		afterRequest bool // a whole request is served first
		text         string
		want         time.Duration
	}{
		{"nothing sent", limits, false, "", 15 * time.Second},
		{"part of a header", limits, false, "GET / HTTP/1.1\r\nHo", 3 * time.Second},
		{"idle after a request", limits, true, "", 15 * time.Second},
		{"part of a header after a request", limits, true, "GE", 3 * time.Second},
		{"no idle limit configured", catalog.Limits{}, true, "", defaultIdleTimeout},
		{"no header limit configured", catalog.Limits{}, false, "G", defaultHeaderTimeout},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var inForce atomic.Pointer[catalog.Limits]
				inForce.Store(&test.limits)
				if test.afterRequest {
					inForce.Store(&catalog.Limits{}) // in force when the connection is opened
				}
				conn := dial(t, func() catalog.Limits { return *inForce.Load() }, slowEcho)
				if test.afterRequest {
					send(t, conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
					inForce.Store(&test.limits)
					response, err := http.ReadResponse(bufio.NewReader(conn), nil)
					is.NoErr(err)
					is.Equal(response.StatusCode, http.StatusOK)
				}
				send(t, conn, test.text)
				is.Equal(timeUntilClose(t, conn), test.want)
			})
		})
	}
}

// Guards against closing a connection by an idle limit that was raised meanwhile: its
// caller relies on the limit in force and sends a request.
func TestRaisedIdleLimitAppliesToIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		limits := catalog.Limits{IdleTimeout: 5 * time.Second}
		var inForce atomic.Pointer[catalog.Limits]
		inForce.Store(&limits)
		conn := dial(t, func() catalog.Limits { return *inForce.Load() }, func(http.ResponseWriter, *http.Request) {})
		time.Sleep(4 * time.Second)
		inForce.Store(&catalog.Limits{IdleTimeout: 15 * time.Second})
		time.Sleep(8 * time.Second)
		send(t, conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusOK)
		is.Equal(timeUntilClose(t, conn), 15*time.Second)
	})
}

// Guards against a connection that its time limit closes while the next request is
// read: the request is forwarded and its caller gets no answer.
func TestRequestAtTheIdleLimitIsAnsweredOrNotRead(t *testing.T) {
	const rounds = 500
	limits := catalog.Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	answered, closed := 0, 0
	for range rounds {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			var served atomic.Int32
			conn := dial(t, func() catalog.Limits { return limits }, func(http.ResponseWriter, *http.Request) { served.Add(1) })
			time.Sleep(limits.IdleTimeout)
			_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n") // fails if the connection is closed
			if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
				is.Equal(response.StatusCode, http.StatusOK)
				answered++
				return
			}
			synctest.Wait()
			is.Equal(served.Load(), int32(0))
			closed++
		})
	}
	t.Logf("%d answered, %d closed before the request was read", answered, closed)
}
