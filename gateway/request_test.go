package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/catalog"
)

// Guards against a changed method, path, body, request ID or response, and against a
// request that does not name the target that may run it.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	is := is.New(t)
	f := start(t, startTarget(t, "a", run))
	got := f.send(t, "POST", "/unsafe/x%2Fy?q=1&q=2", "the body", "Id", "id-1", "Other", "kept", "Connection", "X-Hop", "X-Hop", "1")
	is.Equal(got.status, 200)
	is.Equal(got.body, "from a")
	is.Equal(got.header.Get("Signature"), "a")
	is.Equal(got.header.Get("Id"), "id-1")
	r := f.targets[0].received()[0]
	is.Equal(r.Method, "POST")
	is.Equal(r.RequestURI, "/unsafe/x%2Fy?q=1&q=2")
	is.Equal(f.targets[0].bodies[0], "the body")
	is.Equal(r.Header.Get("Id"), "id-1")
	is.Equal(r.Header.Get("Expected"), "a")
	is.Equal(r.Header.Get("Other"), "kept")
	is.Equal(r.Header.Get("X-Hop"), "") // a hop-by-hop header
	left, err := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	is.NoErr(err)
	is.True(left > 0 && left <= 30000)
}

// Guards against status 404 from an instance that has no configuration yet.
func TestNoConfiguration(t *testing.T) {
	is := is.New(t)
	f := start(t)
	f.view.Store(&catalog.View{})
	got := f.send(t, "GET", "/safe/x", "")
	is.Equal(got.status, 503)
	is.True(got.header.Get("Retry-After") != "")
	f.configure(catalog.Limits{})
	is.Equal(f.send(t, "GET", "/none/x", "").status, 404)
	is.Equal(f.send(t, "GET", "/safe/x", "").status, 503) // no target
}

// Guards against a second run of a request that is not idempotent, for each way in
// which the first attempt can end without a statement that it did not run.
func TestUnsafeIsSentOnce(t *testing.T) {
	for name, serve := range map[string]func(*target, net.Conn, *http.Request, []byte) bool{
		"broken": func(s *target, _ net.Conn, _ *http.Request, _ []byte) bool { s.ran.Add(1); return false },
		"half answer": func(s *target, c net.Conn, _ *http.Request, _ []byte) bool {
			s.ran.Add(1)
			_, _ = fmt.Fprint(c, "HTTP/1.1 200 X\r\nSignature: a\r\nContent-Length: 100\r\n\r\nhalf")
			return false
		},
		"not HTTP": func(s *target, c net.Conn, _ *http.Request, _ []byte) bool {
			s.ran.Add(1)
			_, _ = fmt.Fprint(c, "garbage\r\n\r\n")
			return false
		},
		"unsigned success": func(s *target, c net.Conn, r *http.Request, _ []byte) bool {
			s.ran.Add(1)
			s.respond(c, 200, r, "", "who knows")
			return true
		},
		"503 without a statement": func(s *target, c net.Conn, r *http.Request, _ []byte) bool {
			s.ran.Add(1)
			s.respond(c, 503, r, "Signature: a", "")
			return true
		},
		"429 without a statement": func(s *target, c net.Conn, r *http.Request, _ []byte) bool {
			s.ran.Add(1)
			s.respond(c, 429, r, "Signature: a", "")
			return true
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := start(t, startTarget(t, "a", serve), startTarget(t, "b", serve), startTarget(t, "c", serve))
			got := f.send(t, "POST", "/unsafe/x", "body")
			is.Equal(got.status, 502) // it may have run
			is.Equal(got.header.Get("Signature"), "")
			is.Equal(f.total(), int64(1))
		})
	}
}

// Guards against a target that counts as silent because the response to a probe has a long
// body: its head says all that counts.
func TestTargetWithLongHealthResponseIsUsed(t *testing.T) {
	is := is.New(t)
	target := startTarget(t, "a", run)
	target.healthBody = strings.Repeat("x", 100<<10)
	f := start(t, target)
	for range 3 {
		is.Equal(f.send(t, "POST", "/unsafe/x", "").status, 200)
	}
}

// runReplaced is the target that has replaced another one: it rejects what names that one,
// and runs everything else.
func runReplaced(s *target, c net.Conn, r *http.Request, body []byte) bool {
	if r.Header.Get("Expected") == s.id {
		s.respond(c, 421, r, "Identity: new", "")
		return true
	}
	return run(s, c, r, body)
}

// Guards against probes that the target of another service runs as requests: it may have
// got the address of a target that is gone, and has another path for probes.
func TestProbesAreNotRunByOtherTargets(t *testing.T) {
	is := is.New(t)
	f := start(t, startTarget(t, "a", runReplaced))
	f.targets[0].replaced.Store(true)
	is.Equal(f.send(t, "GET", "/brief/x", "").status, 503)
	is.True(len(f.targets[0].received()) > 0) // there were probes
	is.Equal(f.total(), int64(0))
}

// Guards against changing a target's error response on the way to the caller.
func TestTargetFailureIsPassedOn(t *testing.T) {
	is := is.New(t)
	f := start(t, startTarget(t, "a", func(s *target, c net.Conn, r *http.Request, _ []byte) bool {
		s.ran.Add(1)
		s.respond(c, 500, r, "Signature: a", "failed")
		return true
	}))
	got := f.send(t, "POST", "/unsafe/x", "")
	is.Equal(got.status, 500)
	is.Equal(got.header.Get("Signature"), "a")
	is.Equal(got.body, "failed")
}

// Guards against failing a non-idempotent request although its target stated that it
// did not run it and another target could: that statement allows a retry.
func TestRejectedRequestGoesToAnotherTarget(t *testing.T) {
	for name, reject := range map[string]func(*target, net.Conn, *http.Request, []byte) bool{
		"shed": func(s *target, c net.Conn, r *http.Request, _ []byte) bool {
			s.respond(c, 503, r, "Not-Run: 1", "")
			return true
		},
		"misdirected": func(s *target, c net.Conn, r *http.Request, _ []byte) bool {
			s.respond(c, 421, r, "Identity: other", "")
			return true
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := start(t, startTarget(t, "a", reject), startTarget(t, "b", run))
			f.targets[1].load.Store("2,0,4") // the first choice is a
			got := f.send(t, "POST", "/unsafe/x", "")
			is.Equal(got.status, 200)
			is.Equal(got.body, "from b")
			is.Equal(f.total(), int64(1))
		})
	}
}

// Guards against a refusal without Retry-After, and against the refusal of a request
// that has run: a refusal states that it has not.
func TestRefusedWhenAllTargetsReject(t *testing.T) {
	is := is.New(t)
	reject := func(s *target, c net.Conn, r *http.Request, _ []byte) bool {
		s.respond(c, 503, r, "Not-Run: 1", "")
		return true
	}
	f := start(t, startTarget(t, "a", reject), startTarget(t, "b", reject))
	got := f.send(t, "POST", "/unsafe/x", "")
	is.Equal(got.status, 503)
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(after > 0)
	is.Equal(f.total(), int64(0))
}

// Guards against an idempotent request that fails because one response was lost.
func TestSafeIsRepeated(t *testing.T) {
	is := is.New(t)
	broken := func(s *target, _ net.Conn, _ *http.Request, _ []byte) bool { s.ran.Add(1); return false }
	f := start(t, startTarget(t, "a", broken), startTarget(t, "b", run))
	f.targets[1].load.Store("2,0,4")
	got := f.send(t, "GET", "/safe/x", "")
	is.Equal(got.status, 200)
	is.Equal(got.body, "from b")
}

// Guards against a request that goes to more targets than its route allows.
func TestAttemptsAreBounded(t *testing.T) {
	is := is.New(t)
	broken := func(s *target, _ net.Conn, _ *http.Request, _ []byte) bool { s.ran.Add(1); return false }
	targets := make([]*target, 6)
	for i := range targets {
		targets[i] = startTarget(t, fmt.Sprint("t", i), broken)
	}
	f := start(t, targets...)
	is.Equal(f.send(t, "GET", "/safe/x", "").status, 502)
	is.Equal(f.total(), int64(3)) // MaxAttempts
}

// Guards against a target that keeps working for a caller that is gone.
func TestCallerThatLeavesFreesItsTarget(t *testing.T) {
	is := is.New(t)
	running, closed := make(chan struct{}), make(chan struct{})
	f := start(t, startTarget(t, "a", func(_ *target, c net.Conn, _ *http.Request, _ []byte) bool {
		close(running)
		_, _ = c.Read(make([]byte, 1)) // ends when the connection closes
		close(closed)
		return false
	}))
	ctx, cancel := context.WithCancel(t.Context())
	r, err := http.NewRequestWithContext(ctx, "POST", f.server.URL+"/unsafe/x", strings.NewReader("b"))
	is.NoErr(err)
	go func() { <-running; cancel() }()
	_, err = http.DefaultTransport.RoundTrip(r)
	is.True(err != nil)
	select {
	case <-closed:
	case <-time.After(testTimeout):
		t.Fatal("the target's connection stays open")
	}
}

// Guards against a request that waits beyond its route's time-out, and against a
// refusal that states that it did not run.
func TestTimeoutOfTheRoute(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	f := start(t, startTarget(t, "a", func(s *target, _ net.Conn, _ *http.Request, _ []byte) bool {
		s.ran.Add(1)
		<-release
		return false
	}))
	t.Cleanup(func() { close(release) })
	is.Equal(f.send(t, "POST", "/brief/x", "").status, 504)
}

// Guards against requests to targets that can neither run nor queue them: such
// targets never answer.
func TestFullTargetsGetNoRequests(t *testing.T) {
	is := is.New(t)
	f := start(t, startTarget(t, "a", run), startTarget(t, "b", run))
	for _, s := range f.targets {
		s.load.Store("4,8,4")
	}
	got := f.send(t, "GET", "/brief/x", "")
	is.Equal(got.status, 503)
	is.Equal(f.total(), int64(0))
}

// Guards against request smuggling, and against forwarding a request with an
// ambiguous length.
func TestAmbiguousLengthIsRefused(t *testing.T) {
	is := is.New(t)
	f := start(t, startTarget(t, "a", run))
	for _, head := range []string{
		"Content-Length: 5\r\nContent-Length: 6",
		"Content-Length: 4\r\nTransfer-Encoding: chunked, identity",
		"Transfer-Encoding: xchunked",
	} {
		conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
		is.NoErr(err)
		_, err = fmt.Fprintf(conn, "POST /unsafe/x HTTP/1.1\r\nHost: 127.0.0.1\r\n%s\r\n\r\n0\r\n\r\nGET /safe/y HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n", head)
		is.NoErr(err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		is.True(response.StatusCode >= 400) // head is refused
		_, err = io.Copy(io.Discard, conn)
		is.NoErr(err) // and the connection is closed
		_ = conn.Close()
	}
	is.Equal(len(f.targets[0].received()), 0)
}

// Guards against forwarding a body over the limit.
func TestBodyLimit(t *testing.T) {
	is := is.New(t)
	f := start(t, startTarget(t, "a", run))
	f.configure(catalog.Limits{BodyBytes: 10})
	is.Equal(f.send(t, "POST", "/unsafe/x", "0123456789").status, 200)
	is.Equal(f.send(t, "POST", "/unsafe/x", "0123456789+").status, 413)
	is.Equal(f.total(), int64(1))
}

// Guards against forwarding a request whose headers exceed the configured limit.
func TestHeaderLimit(t *testing.T) {
	is := is.New(t)
	f := start(t, startTarget(t, "a", run))
	f.configure(catalog.Limits{HeaderBytes: 1000})
	is.Equal(f.send(t, "POST", "/unsafe/x", "", "Note", strings.Repeat("n", 500)).status, 200)
	is.Equal(f.send(t, "POST", "/unsafe/x", "", "Note", strings.Repeat("n", 1000)).status, 431)
	is.Equal(f.send(t, "POST", "/unsafe/"+strings.Repeat("n", 1000), "").status, 431)
	is.Equal(f.total(), int64(1))
}

// Guards against a stopping instance that still reports that it is ready, or that
// refuses requests.
func TestStoppingGatewayServesAndCloses(t *testing.T) {
	is := is.New(t)
	f := start(t, startTarget(t, "a", run))
	is.True(f.gateway.Ready())
	f.gateway.Stop(time.Hour)
	is.True(!f.gateway.Ready())
	is.Equal(f.send(t, "POST", "/unsafe/x", "").status, 200)
}

// Guards against the refusal of a request that arrives just before the first
// configuration.
func TestRequestWaitsForFirstConfiguration(t *testing.T) {
	is := is.New(t)
	f := startUnconfigured(t, startTarget(t, "a", run))
	time.AfterFunc(20*time.Millisecond, func() { f.configure(catalog.Limits{}) })
	is.Equal(f.send(t, "POST", "/unsafe/x", "", "Deadline-Ms", "600000").status, 200)
}

// Guards against a request that waits for a configuration for most of the time that
// its caller allows.
func TestRequestWithoutConfigurationIsRefusedInTime(t *testing.T) {
	is := is.New(t)
	f := startUnconfigured(t)
	got := f.send(t, "GET", "/safe/x", "", "Deadline-Ms", "40")
	is.Equal(got.status, 503)
	is.True(got.header.Get("Retry-After") != "")
}
