package transport_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/dogwoodroute/dogwoodroute/internal/standin"
	"github.com/dogwoodroute/dogwoodroute/transport"
	"github.com/dogwoodroute/dogwoodroute/wire"
)

// testTimeout ends a test that would otherwise hang.
const testTimeout = time.Minute

// maxAttemptAllocations is the maximum number of allocations of one attempt in
// TestAttemptAllocations. An attempt makes about 58, with the race detector about 61.
const maxAttemptAllocations = 80

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func startTarget(t testing.TB, o standin.TargetOptions) *standin.Target {
	target, err := standin.StartTarget(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(target.Close)
	return target
}

func newClient(t testing.TB, o transport.Options) *transport.Client {
	client := transport.NewClient(o)
	t.Cleanup(client.Close)
	return client
}

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// serveRaw listens until the test ends and calls serve for each connection in
// turn; n is the number of the connection, from 1. It returns the address.
func serveRaw(t testing.TB, serve func(n int, conn net.Conn, in *bufio.Reader)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for n := 1; ; n++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serve(n, conn, bufio.NewReader(conn))
			_ = conn.Close()
		}
	}()
	t.Cleanup(func() { _ = listener.Close(); <-done })
	return listener.Addr().String()
}

func send(ctx context.Context, c *transport.Client, address, fault, body string) (string, error) {
	response, err := c.Do(ctx, &transport.Attempt{Target: "t", Address: address, Method: http.MethodPost, URI: "/",
		Header: http.Header{standin.HeaderFault: {fault}, wire.HeaderRequestID: {"r"}}, Body: [][]byte{[]byte(body)}})
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return string(text), err
}

// Guards against reusing a connection after an incomplete exchange, which would
// deliver one caller's response to another caller.
func TestReuseOnlyAfterWholeExchange(t *testing.T) {
	for _, c := range []struct {
		fault  standin.Fault
		reused int64
		fails  bool
	}{{"", 1, false}, {standin.FaultError, 1, false}, {standin.FaultTruncate, 0, true}, {standin.FaultReset, 0, true},
		{standin.FaultUnexpectedData, 0, false}} {
		t.Run(string(c.fault), func(t *testing.T) {
			is := is.New(t)
			target := startTarget(t, standin.TargetOptions{Name: "t"})
			client := newClient(t, transport.Options{})
			text, err := send(testContext(t), client, target.Address(), string(c.fault), "first")
			is.Equal(err != nil, c.fails)
			is.True(c.fails || text == "t r\nfirst")
			text, err = send(testContext(t), client, target.Address(), "", "second")
			is.NoErr(err)
			is.Equal(text, "t r\nsecond")
			is.Equal(client.Counters().Reused, c.reused)
			is.Equal(len(target.RecordedRuns()), 2) // no request was resent
		})
	}
}

// Guards against reusing a connection whose response was only partly read.
func TestUnreadAnswerClosesConnection(t *testing.T) {
	is := is.New(t)
	target := startTarget(t, standin.TargetOptions{Name: "t"})
	client := newClient(t, transport.Options{})
	response, err := client.Do(testContext(t), &transport.Attempt{Address: target.Address(), Method: http.MethodPost,
		URI: "/", Body: [][]byte{make([]byte, 1<<20)}})
	is.NoErr(err)
	_, err = io.ReadFull(response.Body, make([]byte, 10))
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(client.Counters().Closed[transport.CloseUnfinished], int64(1))
}

// Guards against resending a request when the target closes a reused connection
// after reading the request, and against reporting that request as not sent.
func TestReusedConnectionThatBreaksIsNotResent(t *testing.T) {
	is := is.New(t)
	var requests atomic.Int64
	address := serveRaw(t, func(_ int, conn net.Conn, in *bufio.Reader) {
		for answered := range 2 {
			request, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			requests.Add(1)
			if answered == 0 {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
		}
	})
	client := newClient(t, transport.Options{})
	_, err := send(testContext(t), client, address, "", "")
	is.NoErr(err)
	_, err = send(testContext(t), client, address, "", "")
	var failed *transport.Error
	is.True(errors.As(err, &failed))
	is.Equal(failed.Step, transport.StepHead)
	is.True(!failed.NotSent)
	is.Equal(requests.Load(), int64(2))
}

// Guards against sending over a connection that the target closed while it was
// idle: the request would then count as possibly run, although it was not.
func TestClosedIdleConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{}, 2)
	address := serveRaw(t, func(_ int, conn net.Conn, in *bufio.Reader) {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		_ = conn.Close()
		closed <- struct{}{}
	})
	client := newClient(t, transport.Options{})
	for range 2 {
		text, err := send(testContext(t), client, address, "", "")
		is.NoErr(err)
		is.Equal(text, "ok")
		<-closed
	}
	is.Equal(client.Counters().Closed[transport.CloseStale], int64(1))
}

// Guards against reading responses with a wrong length, and against accepting
// malformed ones: 1xx heads, responses without a body, oversize heads, truncated
// chunks and conflicting lengths.
func TestAnswerForms(t *testing.T) {
	for name, c := range map[string]struct {
		method, raw, body string
		status            int // 0: an error
		reusable          bool
	}{
		"informational":   {"GET", "HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", "a", 200, true},
		"head":            {"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", "", 200, true},
		"no content":      {"GET", "HTTP/1.1 204 No\r\n\r\n", "", 204, true},
		"not modified":    {"GET", "HTTP/1.1 304 No\r\nContent-Length: 9\r\n\r\n", "", 304, true},
		"trailers":        {"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX: y\r\n\r\n", "a", 200, true},
		"close requested": {"GET", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\na", "a", 200, false},
		"old version":     {"GET", "HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\na", "a", 200, false},
		"switch":          {"GET", "HTTP/1.1 101 Switching\r\n\r\n", "", 0, false},
		"endless 1xx":     {"GET", strings.Repeat("HTTP/1.1 103 E\r\n\r\n", 20), "", 0, false},
		"oversize head":   {"GET", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 1<<20), "", 0, false},
		"chunks cut":      {"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", "", -1, false},
		"empty":           {"GET", "", "", 0, false},
		"not HTTP":        {"GET", "hello\r\n\r\n", "", 0, false},
		"two lengths":     {"GET", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", "", 0, false},
		"negative length": {"GET", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nab", "", 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := serveRaw(t, func(_ int, conn net.Conn, in *bufio.Reader) {
				if _, err := http.ReadRequest(in); err == nil {
					_, _ = io.WriteString(conn, c.raw)
					if c.reusable {
						_, _ = in.ReadByte() // keeps the connection open
					}
				}
			})
			client := newClient(t, transport.Options{})
			defer client.Close()
			response, err := client.Do(testContext(t), &transport.Attempt{Address: address, Method: c.method, URI: "/"})
			is.Equal(err != nil, c.status == 0)
			if err != nil {
				return
			}
			text, err := io.ReadAll(response.Body)
			is.Equal(err != nil, c.status < 0)
			is.NoErr(response.Body.Close())
			if err == nil {
				is.Equal(response.StatusCode, c.status)
				is.Equal(string(text), c.body)
				is.Equal(client.Counters().Closed[transport.CloseRequested] == 0, c.reusable)
			}
		})
	}
}

// Guards against opening more connections than the limit, and against waiting for
// a connection beyond the context's deadline.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	target := startTarget(t, standin.TargetOptions{Name: "t", Slots: 64})
	client := newClient(t, transport.Options{ConnectionLimit: func(string) int { return 3 }})
	errs := make(chan error)
	for n := range 100 {
		go func() {
			text, err := send(testContext(t), client, target.Address(), "", fmt.Sprint(n))
			if err == nil && text != fmt.Sprintf("t r\n%d", n) {
				err = fmt.Errorf("request %d received %q", n, text)
			}
			errs <- err
		}()
	}
	for range 100 {
		is.NoErr(<-errs)
	}
	is.True(client.Counters().Opened <= 3)

	unread := make([]*http.Response, 3)
	for i := range unread {
		var err error
		unread[i], err = client.Do(testContext(t), &transport.Attempt{Address: target.Address(), Method: "GET", URI: "/"})
		is.NoErr(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	_, err := send(ctx, client, target.Address(), "", "")
	var failed *transport.Error
	is.True(errors.As(err, &failed))
	is.True(failed.NotSent)
	is.True(errors.Is(err, context.DeadlineExceeded))
	for _, response := range unread {
		is.NoErr(response.Body.Close())
	}
	_, err = send(testContext(t), client, target.Address(), "", "") // no connection slot was lost
	is.NoErr(err)
}

// Guards against reporting requests that reached the target as not sent, and
// requests that did not reach it as sent.
func TestNotSent(t *testing.T) {
	is := is.New(t)
	target := startTarget(t, standin.TargetOptions{Name: "t"})
	now := time.Second
	client := newClient(t, transport.Options{Now: func() time.Duration { return now }})
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	valid := transport.Attempt{Address: target.Address(), Method: "GET", URI: "/"}
	for name, c := range map[string]struct {
		ctx    context.Context
		change func(*transport.Attempt)
	}{
		"expired":       {testContext(t), func(a *transport.Attempt) { a.Expires = now - 1 }},
		"cancelled":     {cancelled, func(*transport.Attempt) {}},
		"refused":       {testContext(t), func(a *transport.Attempt) { a.Address = "127.0.0.1:1" }},
		"bad method":    {testContext(t), func(a *transport.Attempt) { a.Method = "G T" }},
		"split URI":     {testContext(t), func(a *transport.Attempt) { a.URI = "/ HTTP/1.1\r\nX: y" }},
		"split header":  {testContext(t), func(a *transport.Attempt) { a.Header = http.Header{"X": {"a\r\nY: b"}} }},
		"bad name":      {testContext(t), func(a *transport.Attempt) { a.Header = http.Header{"X:": {"a"}} }},
		"split by host": {testContext(t), func(a *transport.Attempt) { a.Host = "a\nb" }},
	} {
		attempt := valid
		c.change(&attempt)
		_, err := client.Do(c.ctx, &attempt)
		var failed *transport.Error
		if !errors.As(err, &failed) || !failed.NotSent {
			t.Errorf("%s: %v", name, err)
		}
	}
	is.Equal(len(target.RecordedRuns()), 0)
	attempt := valid
	attempt.Header = http.Header{standin.HeaderFault: {string(standin.FaultCrash)}}
	_, err := client.Do(testContext(t), &attempt)
	var failed *transport.Error
	is.True(errors.As(err, &failed))
	is.True(!failed.NotSent)
	is.Equal(len(target.RecordedRuns()), 1)
}

// Guards against a cancelled attempt that keeps running at the target.
func TestCancelEndsExchange(t *testing.T) {
	is := is.New(t)
	target := startTarget(t, standin.TargetOptions{Name: "t", ServiceTime: func(*http.Request) time.Duration { return testTimeout }})
	client := newClient(t, transport.Options{})
	ctx, cancel := context.WithCancel(testContext(t))
	failed := make(chan error)
	go func() {
		_, err := send(ctx, client, target.Address(), "", "")
		failed <- err
	}()
	for target.InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	is.True(errors.Is(<-failed, context.Canceled))
	for target.InFlight() > 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(target.RecordedRuns()[0].State, standin.RunCancelled)
}

// Guards against probes that misread a load report, and against a probe of an
// unreachable target that counts as OK.
func TestProbe(t *testing.T) {
	is := is.New(t)
	target := startTarget(t, standin.TargetOptions{Name: "t", Slots: 7})
	client := newClient(t, transport.Options{Now: func() time.Duration { return 42 }})
	result := client.Probe(testContext(t), "t", target.Address())
	is.True(result.OK && result.Report.HasLoad)
	is.Equal(result.Report.Load.Slots, 7)
	is.Equal(result.Sent, time.Duration(42))
	is.True(!client.Probe(testContext(t), "t", "127.0.0.1:1").OK)
}

// Guards against an unnoticed increase of allocations per attempt. The fake
// target runs in the same process, so the limit includes net/http's server.
func TestAttemptAllocations(t *testing.T) {
	target := startTarget(t, standin.TargetOptions{Name: "t", ServiceTime: func(*http.Request) time.Duration { return 0 }})
	client := newClient(t, transport.Options{})
	ctx := testContext(t)
	allocations := testing.AllocsPerRun(200, func() {
		if _, err := send(ctx, client, target.Address(), "", "body"); err != nil {
			t.Fatal(err)
		}
	})
	t.Logf("%.0f allocations per attempt", allocations)
	if allocations > maxAttemptAllocations {
		t.Fatalf("%.0f allocations per attempt, at most %d are accepted", allocations, maxAttemptAllocations)
	}
}
