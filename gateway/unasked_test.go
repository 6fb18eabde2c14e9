package gateway_test

import (
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// runNamed runs what names the target and bears an id, as targets do.
func runNamed(s *target, c net.Conn, r *http.Request, body []byte) bool {
	switch {
	case r.Header.Get("Expected") != s.id:
		s.respond(c, http.StatusMisdirectedRequest, r, "Identity: "+s.id, "")
		return true
	case r.Header.Get("Id") == "":
		s.respond(c, http.StatusBadRequest, r, "Not-Run: 1", "")
		return true
	}
	return run(s, c, r, body)
}

// ranOnly reports whether the targets ran one request, that of the caller.
func (f *fixture) ranOnly(id string) bool {
	for _, s := range f.targets {
		for _, r := range s.received() {
			if got := r.Header.Get("Id"); got != "" && got != id || r.Header.Get("Expected") == "" {
				return false
			}
		}
	}
	return f.total() == 1
}

// Guards against probes that a target runs as requests, since it has started again at the
// same address and under the same id with another path for probes.
func TestProbesAreNotRunByARestartedTarget(t *testing.T) {
	is := is.New(t)
	f := start(t, startTarget(t, "a", runNamed))
	f.targets[0].healthPath.Store("/alive")
	is.Equal(f.send(t, "POST", "/unsafe/x", "", "Id", "caller").status, 200)
	is.True(f.ranOnly("caller"))
}

// Guards against a crash check that a restarted target runs as a request, and against one
// that takes such a target for gone.
func TestCrashCheckAtARestartedTarget(t *testing.T) {
	is := is.New(t)
	f := start(t, startTarget(t, "a", func(s *target, c net.Conn, r *http.Request, body []byte) bool {
		if r.Header.Get("Id") != "caller" {
			return runNamed(s, c, r, body)
		}
		s.ran.Add(1)
		s.healthPath.Store("/alive")
		return false
	}))
	is.Equal(f.send(t, "POST", "/unsafe/x", "", "Id", "caller").status, 502)
	f.gateway.AwaitCrashChecks(t.Context())
	is.True(len(f.targets[0].received()) > 1) // there was a check
	is.True(f.ranOnly("caller"))
	is.Equal(len(f.failureReports), 0)
}
