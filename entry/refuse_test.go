package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/entry"
	"github.com/dogwoodroute/dogwoodroute/internal/standin"
	"github.com/dogwoodroute/dogwoodroute/refusal"
	"github.com/dogwoodroute/dogwoodroute/wire"
)

// Guards against "not run" refusals of requests that reached a target, and against
// refusals of the wrong kind or without the request identifier.
func TestNotRunRefusals(t *testing.T) {
	f := start(t, standin.TargetOptions{}, nil)
	for n, c := range []struct {
		method, path string
		kind         refusal.Kind
		headers      []string
	}{
		{"GET", "/nowhere", refusal.UnknownRoute, nil},
		{"GET", "/.dogwoodroute/other", refusal.UnknownRoute, nil},
		{"DELETE", wire.PathResolve, refusal.UnknownRoute, nil},
		{"GET", "/.dogwoodroute/../echo", refusal.UnknownRoute, nil},
		{"POST", wire.PathTickets, refusal.UnknownRoute, nil},
		{"GET", "/closed", refusal.RouteClosed, nil},
		{"GET", "/dead", refusal.NoTarget, nil},
		{"GET", "/echo/%2e%2e/closed", refusal.BadRequest, nil},
		{"GET", "/echo", refusal.BadRequest, []string{"Upgrade", "websocket"}},
		{"GET", "/echo", refusal.BadRequest, []string{wire.HeaderDeadline, "soon"}},
		{"GET", "/echo", refusal.BadRequest, []string{wire.HeaderDeadline, "5", wire.HeaderDeadline, "6"}},
		{"GET", "/echo", refusal.BadRequest, []string{wire.HeaderAttempt, "0"}},
		{"GET", "/echo", refusal.Deadline, []string{wire.HeaderDeadline, "0"}},
		{"POST", "/record", refusal.TicketRequired, nil},
		{"POST", "/record", refusal.TicketRequired, []string{wire.HeaderTicket, "any"}}, // Once is nil
	} {
		t.Run(fmt.Sprintf("%s %s %v", c.method, c.path, c.headers), func(t *testing.T) {
			is := is.New(t)
			id := fmt.Sprintf("r%d", n)
			a := f.mustDo(t, c.method, c.path, []byte("x"), append(c.headers, wire.HeaderRequestID, id)...)
			is.Equal(a.refused.Kind, c.kind)
			is.Equal(a.refused.Execution, refusal.NotRun)
			is.Equal(a.refused.RequestID, id)
			is.Equal(a.Header.Get(wire.HeaderRequestID), id)
		})
	}
	is := is.New(t)
	is.Equal(f.mustDo(t, "GET", "/echo", nil, wire.HeaderRequestID, "a b").refused.Kind, refusal.BadRequest)
	is.True(f.mustDo(t, "GET", "/echo", nil).Header.Get(wire.HeaderRequestID) != "")
	is.Equal(len(f.target.RecordedRuns()), 1) // only the last request reached the target
}

// Guards against refusing a request as "not run" after its target broke the
// connection.
func TestBrokenAttemptMayHaveRun(t *testing.T) {
	is := is.New(t)
	f := start(t, standin.TargetOptions{}, nil)
	a := f.mustDo(t, http.MethodPost, "/echo", []byte("x"), fault(standin.FaultCrash, "a")...)
	is.Equal(a.refused.Kind, refusal.AttemptFailed)
	is.Equal(a.refused.Execution, refusal.MayHaveRun)
	is.Equal(f.target.RunCounts()["a"], 1)
}

// sendRaw opens a connection, sends text, and returns the open connection.
func (f *fixture) sendRaw(t *testing.T, text string) net.Conn {
	conn, err := net.Dial("tcp", f.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err = io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn
}

// Guards against slow senders that exhaust memory or the request limit, and against
// never disconnecting them.
func TestSlowSenders(t *testing.T) {
	is := is.New(t)
	f := start(t, standin.TargetOptions{}, func(o *entry.Options) {
		o.Limits.HeaderTimeoutMillis, o.Limits.BodyTimeoutMillis = 200, 200
		o.MemoryBytes = 4 << 20
	})
	var conns []net.Conn
	for n := range 200 {
		text := "POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n12345"
		if n%2 == 0 {
			text = "POST /echo HTTP/1.1\r\nHo"
		}
		conns = append(conns, f.sendRaw(t, text))
	}
	waitUntil(t, func() bool { return f.entry.Counters().Requests == 100 })
	is.True(f.entry.Counters().MemoryBytes <= 100*4<<10)
	is.Equal(f.mustDo(t, http.MethodPost, "/echo", []byte("x"), wire.HeaderRequestID, "other").text, "t other\nx")
	for _, conn := range conns {
		_, err := io.Copy(io.Discard, conn) // returns when the instance closes the connection
		_ = err                             // a connection reset is also accepted
	}
	waitUntil(t, func() bool { return f.entry.Drain().InFlight() == 0 })
	is.Equal(f.entry.Counters().MemoryBytes, int64(0))
	is.Equal(len(f.target.RecordedRuns()), 1)
}

// Guards against accepting oversize headers and bodies, with or without a declared
// length, and against refusing a request that sends "Expect: 100-continue" within
// the limits.
func TestOversize(t *testing.T) {
	is := is.New(t)
	f := start(t, standin.TargetOptions{}, func(o *entry.Options) {
		o.Limits.HeaderBytes, o.Limits.RequestBodyBytes = 1024, 1024
	})
	is.Equal(f.mustDo(t, http.MethodGet, "/echo", nil, "X-Large", strings.Repeat("x", 8<<10)).StatusCode,
		http.StatusRequestHeaderFieldsTooLarge)
	for _, text := range []string{
		"POST /echo HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 2000\r\n\r\n",
		"POST /echo HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" + strings.Repeat("x", 2000) + "\r\n0\r\n\r\n",
	} {
		response, err := http.ReadResponse(bufio.NewReader(f.sendRaw(t, text)), nil)
		is.NoErr(err)
		is.Equal(refusal.Parse(response).Kind, refusal.TooLarge)
	}
	is.Equal(len(f.target.RecordedRuns()), 0)
	expecting := f.sendRaw(t, "POST /echo HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nx")
	in := bufio.NewReader(expecting)
	response, err := http.ReadResponse(in, nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusContinue)
	response, err = http.ReadResponse(in, nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
}

// Guards against memory and requests in flight that grow without limit with the
// number of callers.
func TestOverload(t *testing.T) {
	is := is.New(t)
	f := start(t, standin.TargetOptions{Slots: 64, ServiceTime: func(r *http.Request) time.Duration {
		if r.URL.Path == "/echo/hold" {
			return testTimeout
		}
		return 0
	}}, func(o *entry.Options) { o.MemoryBytes, o.Limits.RequestBodyBytes, o.Limits.Requests = 1<<20, 1<<20, 3 })
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	occupySlot := func(size int) {
		go func() {
			_, _ = f.do(ctx, http.MethodPost, "/echo/hold", make([]byte, size)) // cancelled below
			ended <- struct{}{}
		}()
	}
	occupySlot(600 << 10)
	waitUntil(t, func() bool { return f.target.InFlight() == 1 })
	a := f.mustDo(t, http.MethodPost, "/echo", make([]byte, 600<<10))
	is.Equal(a.refused.Kind, refusal.Overload)
	is.True(a.refused.RetryAfter > 0)
	is.True(f.mustDo(t, http.MethodPost, "/echo", make([]byte, 10<<10)).refused == nil) // small requests still fit
	occupySlot(0)
	occupySlot(0)
	waitUntil(t, func() bool { return f.target.InFlight() == 3 })
	is.Equal(f.mustDo(t, http.MethodGet, "/echo", nil).refused.Kind, refusal.Overload)
	cancel()
	for range 3 {
		<-ended
	}
	waitUntil(t, func() bool { return f.entry.Drain().InFlight() == 0 })
	is.Equal(f.entry.Counters().MemoryBytes, int64(0))
	is.Equal(len(f.target.RecordedRuns()), 4) // refused requests were not run
}

// Guards against an instance that keeps its callers' connections open while it
// leaves, and against serving requests after the shutdown.
func TestDrain(t *testing.T) {
	is := is.New(t)
	f := start(t, standin.TargetOptions{}, nil)
	is.True(!f.mustDo(t, http.MethodGet, "/echo", nil).Close)
	f.entry.Drain().Leave(24 * time.Hour)
	is.True(f.mustDo(t, http.MethodGet, "/echo", nil).Close)
	is.True(f.mustDo(t, http.MethodGet, wire.PathResolve, nil).Close)
	is.Equal(f.entry.Drain().End(), int64(0))
	refused := f.mustDo(t, http.MethodGet, "/echo", nil).refused
	is.Equal(refused.Kind, refusal.Leaving)
	is.Equal(refused.Execution, refusal.NotRun)
}

// Guards against a request that a leaving instance takes although its deadline is after
// the shutdown limit, and aborts there after a target has run it.
func TestRequestThatMayOutliveTheStopIsRefused(t *testing.T) {
	is := is.New(t)
	f := start(t, standin.TargetOptions{}, nil)
	f.entry.Drain().Leave(time.Minute) // the route's deadline is ten minutes
	refused := f.mustDo(t, http.MethodGet, "/echo", nil).refused
	is.True(refused != nil)
	is.Equal(refused.Kind, refusal.Leaving)
	is.Equal(refused.Execution, refusal.NotRun)
	is.Equal(len(f.target.RecordedRuns()), 0)
	is.True(f.mustDo(t, http.MethodGet, "/echo", nil, wire.HeaderDeadline, "1000").refused == nil)
}

// Guards against requests that a target runs which has got the address of the one that
// they are meant for, and against probes that it answers with its own load.
func TestTargetAtAReusedAddressRunsNothing(t *testing.T) {
	is := is.New(t)
	f := start(t, standin.TargetOptions{Name: "new"}, nil)
	refused := f.mustDo(t, http.MethodGet, "/echo", nil, wire.HeaderDeadline, "1000").refused
	is.True(refused != nil)
	is.Equal(refused.Execution, refusal.NotRun)
	is.Equal(len(f.target.RecordedRuns()), 0)
	is.Equal(f.target.Probes(), int64(0))
}
