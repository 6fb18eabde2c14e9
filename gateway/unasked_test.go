package gateway_test

import (
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/catalog"
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

// Guards against probes and crash checks of a service without a path for them, which its
// targets run as requests.
func TestTargetWithoutHealthPathGetsNoProbes(t *testing.T) {
	for name, serve := range map[string]func(*target, net.Conn, *http.Request, []byte) bool{
		"served": run,
		"broken": func(s *target, _ net.Conn, _ *http.Request, _ []byte) bool { s.ran.Add(1); return false },
		"crash": func(s *target, c net.Conn, r *http.Request, _ []byte) bool {
			return crash(s, c, r, []byte("crash"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := startUnconfigured(t, startTarget(t, "a", serve))
			f.healthPath = ""
			f.configure(catalog.Limits{})
			status := f.send(t, "POST", "/unsafe/x", "", "Id", "caller").status
			f.gateway.AwaitCrashChecks(t.Context())
			is.Equal(status == 200, name == "served")
			is.Equal(len(f.targets[0].received()), 1)
			is.True(f.ranOnly("caller"))
			is.Equal(len(f.failureReports) > 0, name == "crash")
		})
	}
}

// Guards against requests beyond the slots of a target that reports no load: it may never
// answer them.
func TestTargetWithoutHealthPathIsNotOverloaded(t *testing.T) {
	is := is.New(t)
	begun, release := make(chan struct{}, 8), make(chan struct{})
	f := startUnconfigured(t, startTarget(t, "a", func(s *target, c net.Conn, r *http.Request, body []byte) bool {
		begun <- struct{}{}
		<-release
		return run(s, c, r, body)
	}))
	f.healthPath = ""
	f.configure(catalog.Limits{})
	end := sync.OnceFunc(func() { close(release) })
	t.Cleanup(end)
	statuses := make(chan int, 4)
	for range 4 { // slots
		go func() { statuses <- f.send(t, "POST", "/unsafe/x", "").status }()
		await(t, begun)
	}
	is.Equal(f.send(t, "POST", "/unsafe/x", "", "Deadline-Ms", "100").status, 503)
	end()
	for range 4 {
		is.Equal(await(t, statuses), 200)
	}
}

// Guards against a waiting request that probes targets on a path that the configuration has
// replaced meanwhile.
func TestProbesUseThePathInForce(t *testing.T) {
	is := is.New(t)
	f := start(t, startTarget(t, "a", runNamed))
	target := f.targets[0]
	target.load.Store("4,8,4")
	status := make(chan int, 1)
	go func() { status <- f.send(t, "POST", "/unsafe/x", "", "Id", "caller").status }()
	awaitTrue(t, func() bool { return target.probes.Load() >= 2 }) // the second probe is of a request that waits
	f.healthPath = "/alive"
	f.configure(catalog.Limits{})
	target.healthPath.Store("/alive")
	seen := target.probes.Load()
	awaitTrue(t, func() bool { return target.probes.Load() >= seen+2 || len(status) > 0 })
	target.load.Store("0,0,4")
	is.Equal(await(t, status), 200)
	is.True(f.ranOnly("caller"))
	is.True(target.probes.Load() >= seen+2)
}

// Guards against a retry after a rejection that names the target which had the address before,
// or bears another ID than the caller's.
func TestRetryAfterAnEntryChangedNamesItsTarget(t *testing.T) {
	is := is.New(t)
	var f *fixture
	f = start(t, startTarget(t, "a", func(s *target, c net.Conn, r *http.Request, body []byte) bool {
		if s.id == "a" { // the entry changes after the send
			s.id = "b"
			f.configure(catalog.Limits{})
		}
		return runNamed(s, c, r, body)
	}))
	is.Equal(f.send(t, "POST", "/unsafe/x", "", "Id", "caller").status, 200)
	requests := f.targets[0].received()
	is.Equal(len(requests), 2)
	is.Equal(requests[0].Header.Get("Expected"), "a")
	is.Equal(requests[1].Header.Get("Expected"), "b")
	is.True(f.ranOnly("caller"))
}

// Guards against a late copy of the answer to a probe that is taken for the answer to the next
// request on the connection: the request then ran at several targets, or its caller got the
// answer to a probe.
func TestLateCopiesOfProbeAnswersAreSkipped(t *testing.T) {
	for name, c := range map[string]struct {
		status int32
		header string
	}{
		"well":    {status: http.StatusOK},
		"not run": {status: http.StatusBadRequest, header: "\r\nNot-Run: 1"},
		"ill":     {status: http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			targets := []*target{startTarget(t, "a", runNamed), startTarget(t, "b", runNamed)}
			for _, s := range targets {
				s.repeatProbes, s.healthHeader = true, c.header
				s.health.Store(c.status)
			}
			f := start(t, targets...)
			got := f.send(t, "POST", "/unsafe/x", "", "Id", "caller")
			is.Equal(got.status, 200)
			is.True(got.body == "from a" || got.body == "from b")
			is.True(f.ranOnly("caller"))
			is.True(targets[0].repeated.Load()+targets[1].repeated.Load() > 0)
		})
	}
}
