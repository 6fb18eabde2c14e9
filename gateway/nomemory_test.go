package gateway_test

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against targets that count as failed, and get no requests, because this instance had no
// memory for a response, and against more work for a response that does not fit.
func TestResponseWithoutMemoryIsNoFailureOfTheTarget(t *testing.T) {
	is := is.New(t)
	long := func(s *target, c net.Conn, r *http.Request, body []byte) bool {
		if r.URL.Path != "/safe/long" {
			return run(s, c, r, body)
		}
		s.ran.Add(1)
		s.respond(c, 200, r, "Signature: "+s.id, strings.Repeat("x", 2<<20)) // the limit for long responses is 0.9 MiB
		return true
	}
	f := start(t, startTarget(t, "a", long), startTarget(t, "b", long))
	is.Equal(f.send(t, "GET", "/safe/long", "").status, 502)
	is.Equal(f.total(), int64(1))
	f.gateway.AwaitCrashChecks(t.Context())
	is.Equal(len(f.failureReports), 0)
	for range 4 {
		is.Equal(f.send(t, "GET", "/safe/short", "").status, 200)
	}
}
