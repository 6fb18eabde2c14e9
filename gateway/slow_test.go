package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a success that no target sent: net/http answers 200 if a handler
// returns without a response. Here the caller counts as gone because it closed its
// sending side.
func TestCallerThatClosesItsSideGetsNoSuccess(t *testing.T) {
	is := is.New(t)
	f := start(t, startTarget(t, "a", func(_ *target, c net.Conn, _ *http.Request, _ []byte) bool {
		_, _ = c.Read(make([]byte, 1)) // ends when the gateway closes the connection
		return false
	}))
	conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "GET /safe/x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: i\r\nDeadline-Ms: 20000\r\n\r\n")
	is.NoErr(err)
	for len(f.targets[0].received()) == 0 {
		time.Sleep(time.Millisecond)
	}
	is.NoErr(conn.(*net.TCPConn).CloseWrite())
	got, _ := io.ReadAll(conn) // the connection may be reset
	is.True(!strings.Contains(string(got), "200 OK"))
}

// Guards against callers that send a body slowly and occupy memory and a connection
// without limit. Status 408 states that the request did not run.
func TestSlowBodyIsGivenUp(t *testing.T) {
	is := is.New(t)
	f := start(t, startTarget(t, "a", run))
	conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /brief/x HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 10\r\n\r\nhalf")
	is.NoErr(err)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(testTimeout)))
	got, err := io.ReadAll(conn)
	is.NoErr(err)
	is.True(strings.HasPrefix(string(got), "HTTP/1.1 408 "))
	is.Equal(f.total(), int64(0))
}

// Guards against a request that arrives late in a planned stop, reaches a target and is
// cut at the end of the stop.
func TestLateRequestsOfAStopAreRefused(t *testing.T) {
	is := is.New(t)
	f := start(t, startTarget(t, "a", run))
	f.gateway.Stop(time.Hour)
	got := f.send(t, http.MethodPost, "/unsafe/x", "body")
	is.Equal(got.status, http.StatusOK) // served while callers still use the instance
	f.gateway.RefuseNew()
	got = f.send(t, http.MethodPost, "/unsafe/x", "body")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(f.total(), int64(1))
}

// Guards against a request that a stopping instance takes although its deadline is after
// the end of the stop, and cuts there after a target has run it.
func TestRequestThatMayOutliveTheStopIsRefused(t *testing.T) {
	is := is.New(t)
	f := start(t, startTarget(t, "a", run))
	f.gateway.Stop(time.Nanosecond)
	for _, path := range []string{"/unsafe/x", "/safe/x"} {
		got := f.send(t, http.MethodPost, path, "body")
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.True(got.header.Get("Retry-After") != "")
	}
	is.Equal(f.total(), int64(0))
}

// Guards against the first send of a request that waits for room when a stop begins and
// may outlive it.
func TestWaitingRequestThatMayOutliveTheStopIsRefused(t *testing.T) {
	is := is.New(t)
	f := start(t, startTarget(t, "a", run))
	f.targets[0].load.Store("4,8,4")
	status := make(chan int, 1)
	go func() { status <- f.send(t, http.MethodPost, "/unsafe/x", "body").status }()
	for f.targets[0].probes.Load() < 2 { // the second probe is of a request that waits
		time.Sleep(time.Millisecond)
	}
	f.gateway.Stop(time.Nanosecond)
	f.targets[0].load.Store("0,0,4")
	is.Equal(<-status, http.StatusServiceUnavailable)
	is.Equal(f.total(), int64(0))
}

// Guards against a response that makes the process end: a panic ends the attempt in which
// it arises.
func TestPanicEndsTheAttemptOnly(t *testing.T) {
	is := is.New(t)
	var bad atomic.Bool
	bad.Store(true)
	f := start(t, startTarget(t, "a", func(s *target, c net.Conn, r *http.Request, body []byte) bool {
		if bad.Load() {
			s.respond(c, 200, r, "Signature: a\r\nLoad: panic", "")
			return true
		}
		return run(s, c, r, body)
	}))
	is.Equal(f.send(t, http.MethodPost, "/unsafe/x", "body").status, http.StatusBadGateway) // it may have run
	is.Equal(f.panics.Load(), int64(1))
	bad.Store(false)
	is.Equal(f.send(t, http.MethodPost, "/unsafe/x", "body").status, http.StatusOK)
}
