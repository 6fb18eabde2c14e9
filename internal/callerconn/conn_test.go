package callerconn_test

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/internal/callerconn"
)

// slowEcho returns the request's body after a time that exceeds both limits, which do
// not apply to a request in progress.
func slowEcho(w http.ResponseWriter, r *http.Request) {
	time.Sleep(time.Minute)
	_, _ = io.Copy(w, r.Body)
}

func noop(http.ResponseWriter, *http.Request) {}

// timeUntilClose returns the time until the server closes the connection.
func (s *testServer) timeUntilClose(t *testing.T) time.Duration {
	t.Helper()
	start := time.Now()
	if text, err := io.ReadAll(s.in); len(text) > 0 {
		t.Fatalf("got %q, error %v, want the connection closed", text, err)
	}
	return time.Since(start)
}

// Guards against ignoring the time limits, against limits that apply only to
// connections opened after a change, and against a limit that ends a request in
// progress.
func TestCallersAreLimitedInTime(t *testing.T) {
	limits := callerconn.Limits{Header: 3 * time.Second, Idle: 15 * time.Second}
	tests := []struct {
		name         string
		afterRequest bool // a whole request is served first
		text         string
		want         time.Duration
	}{
		{"nothing sent", false, "", 15 * time.Second},
		{"part of a header", false, "GET / HTTP/1.1\r\nHo", 3 * time.Second},
		{"one byte", false, "G", 3 * time.Second},
		{"idle after a request", true, "", 15 * time.Second},
		{"part of a header after a request", true, "GE", 3 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var inForce atomic.Pointer[callerconn.Limits]
				inForce.Store(&limits)
				if test.afterRequest {
					inForce.Store(&callerconn.Limits{}) // in force when the connection is opened
				}
				s := startServer(t, func() callerconn.Limits { return *inForce.Load() }, slowEcho)
				if test.afterRequest {
					s.send(t, request)
					inForce.Store(&limits)
					is.New(t).True(s.answered(t))
				}
				s.send(t, test.text)
				is.New(t).Equal(s.timeUntilClose(t), test.want)
			})
		})
	}
}

// Guards against closing a connection by an idle limit that was raised meanwhile: its
// caller relies on the limit in force and sends a request.
func TestRaisedIdleLimitAppliesToIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var inForce atomic.Pointer[callerconn.Limits]
		inForce.Store(&callerconn.Limits{Idle: 5 * time.Second})
		s := startServer(t, func() callerconn.Limits { return *inForce.Load() }, noop)
		time.Sleep(4 * time.Second)
		inForce.Store(&callerconn.Limits{Idle: 15 * time.Second})
		time.Sleep(8 * time.Second)
		s.exchange(t)
		is.New(t).Equal(s.timeUntilClose(t), 15*time.Second)
	})
}

// Guards against a connection that its time limit closes after the next request was
// read: the request is forwarded and its caller gets no answer.
func TestRequestReadBeforeTheIdleLimitIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := startServer(t, func() callerconn.Limits { return callerconn.Limits{Idle: 15 * time.Second, Header: 3 * time.Second} }, noop)
		time.Sleep(14 * time.Second)
		s.gate.armed.Store(true)
		s.send(t, request)
		<-s.gate.read
		time.Sleep(2 * time.Second)
		close(s.gate.release)
		is.True(s.answered(t))
	})
}

// Guards against a request that arrives at the very limit and is served without an
// answer.
func TestRequestAtTheIdleLimitIsAnsweredOrNotRead(t *testing.T) {
	const rounds = 500
	limits := callerconn.Limits{Header: 3 * time.Second, Idle: 15 * time.Second}
	answered, closed := 0, 0
	for range rounds {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			var served atomic.Int32
			s := startServer(t, func() callerconn.Limits { return limits }, func(http.ResponseWriter, *http.Request) { served.Add(1) })
			time.Sleep(limits.Idle)
			_, _ = io.WriteString(s.conn, request) // fails if the connection is closed
			if s.answered(t) {
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

// Guards against callers that send long headers slowly and together take the memory of the
// process: the connection that exceeds the limit is closed, those with short headers are
// served, and the memory is free once a header is complete or its connection has ended.
func TestLongHeadersShareAMemoryLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		first := startServer(t, noLimits, noop)
		first.conns.SetHeaderMemory(10 << 10)
		long := "GET / HTTP/1.1\r\nHost: h\r\nLong: " + strings.Repeat("a", 12<<10) // 8 KiB count
		first.send(t, long)
		second := first.connect(t)
		_, err := io.WriteString(second.conn, long)
		is.True(err != nil) // closed
		first.connect(t).exchange(t)
		first.send(t, "\r\n\r\n")
		is.True(first.answered(t))
		third := first.connect(t)
		third.send(t, long)
		is.NoErr(third.conn.Close())
		synctest.Wait()
		fourth := first.connect(t)
		fourth.send(t, long+"\r\n\r\n")
		is.True(fourth.answered(t))
	})
}
