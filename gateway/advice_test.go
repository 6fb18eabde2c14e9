package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/catalog"
)

// saying returns a function that answers a request with a signed success and a header line.
func saying(header string) func(*target, net.Conn, *http.Request, []byte) bool {
	return func(s *target, conn net.Conn, r *http.Request, _ []byte) bool {
		s.ran.Add(1)
		s.respond(conn, 200, r, "Signature: "+s.id+"\r\n"+header, "from "+s.id)
		return true
	}
}

// Guards against requests beyond the limit that a target names in its responses.
func TestLimitOfATargetIsKept(t *testing.T) {
	is := is.New(t)
	const perSecond = 2.0
	f := start(t, startTarget(t, "a", saying("Limit: 2")), startTarget(t, "b", run))
	begin := time.Now()
	for time.Since(begin) < time.Second {
		is.Equal(f.send(t, "POST", "/unsafe/x", "").status, 200)
	}
	allowed := 1.5*perSecond*time.Since(begin).Seconds() + 5
	t.Logf("%d of %d requests, allowed %.1f", f.targets[0].ran.Load(), f.total(), allowed)
	is.True(float64(f.targets[0].ran.Load()) <= allowed)
	is.True(f.targets[0].ran.Load() > 1) // the limit is used
}

// Guards against requests to a target that says that it leaves, although the store still
// lists it as ready.
func TestLeavingTargetGetsNoRequests(t *testing.T) {
	is := is.New(t)
	f := start(t, startTarget(t, "a", saying("Leaving: 1")), startTarget(t, "b", run))
	for f.targets[0].ran.Load() == 0 {
		is.Equal(f.send(t, "POST", "/unsafe/x", "").status, 200)
	}
	for range 100 {
		is.Equal(f.send(t, "POST", "/unsafe/x", "").status, 200)
	}
	is.Equal(f.targets[0].ran.Load(), int64(1))
	f.targets = f.targets[:1]
	f.configure(catalog.Limits{})
	is.Equal(f.send(t, "POST", "/unsafe/x", "").status, 503) // also if there is no other
}

// Guards against requests and probes to a target that has turned a request away and said
// for how long it wants none.
func TestTargetThatAsksForAPauseGetsNothing(t *testing.T) {
	is := is.New(t)
	pausing := func(s *target, conn net.Conn, r *http.Request, _ []byte) bool {
		s.ran.Add(1)
		s.respond(conn, 503, r, "Not-Run: 1\r\nPause-Ms: 600000", "")
		return true
	}
	f := start(t, startTarget(t, "a", pausing), startTarget(t, "b", run))
	for f.targets[0].ran.Load() == 0 {
		is.Equal(f.send(t, "POST", "/unsafe/x", "").status, 200)
	}
	probes := f.targets[0].probes.Load()
	for range 100 {
		is.Equal(f.send(t, "POST", "/unsafe/x", "").status, 200)
	}
	is.Equal(f.targets[0].ran.Load(), int64(1))
	is.Equal(f.targets[0].probes.Load(), probes)
	f.targets = f.targets[:1]
	f.configure(catalog.Limits{})
	is.Equal(f.send(t, "POST", "/unsafe/x", "").status, 503) // also if there is no other
	is.Equal(f.targets[0].ran.Load(), int64(1))
}

// Guards against requests to a target whose answer said that it leaves, or asked for a pause, and
// broke off after its head.
func TestAdviceOfAnAnswerThatBreaksOffCounts(t *testing.T) {
	for _, advice := range []string{"Leaving: 1", "Pause-Ms: 600000"} {
		t.Run(advice, func(t *testing.T) {
			is := is.New(t)
			cut := func(s *target, conn net.Conn, r *http.Request, _ []byte) bool {
				s.ran.Add(1)
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 X\r\nId: %s\r\n%s\r\nContent-Length: 100\r\n\r\n", r.Header.Get("Id"), advice)
				return false
			}
			f := start(t, startTarget(t, "a", cut))
			is.Equal(f.send(t, "POST", "/unsafe/x", "").status, 502)
			is.Equal(f.send(t, "POST", "/unsafe/x", "").status, 503)
			is.Equal(f.targets[0].ran.Load(), int64(1))
		})
	}
}
