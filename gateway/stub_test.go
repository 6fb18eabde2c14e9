package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/gateway"
	"github.com/dogwoodroute/dogwoodroute/placement"
	"github.com/dogwoodroute/dogwoodroute/quarantine"
	"github.com/dogwoodroute/dogwoodroute/relay"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout ends a test that hangs; no test depends on its value.
const testTimeout = time.Minute

var dialect = gateway.Dialect{RequestID: "Id", Deadline: "Deadline-Ms", ExpectedTarget: "Expected", Signature: "Signature",
	NotRun: "Not-Run", Load: "Load", TargetID: "Identity", ParseLoad: func(value string) (placement.Load, bool) {
		if value == "panic" {
			panic("a load report that cannot be parsed")
		}
		var l placement.Load
		_, err := fmt.Sscanf(value, "%d,%d,%d", &l.Running, &l.Waiting, &l.Slots)
		l.Slowness = 1
		return l, err == nil
	}, ParseAdvice: func(status int, header http.Header) placement.Advice {
		limit, err := strconv.ParseFloat(header.Get("Limit"), 64)
		pause, _ := strconv.Atoi(header.Get("Pause-Ms")) // 0 if there is none
		return placement.Advice{Leaving: header.Get("Leaving") != "", PerSecond: limit, Limited: err == nil,
			RetryAfter: time.Duration(pause) * time.Millisecond}
	}}

// await receives from a channel, and fails the test if nothing arrives within testTimeout.
func await[T any](t *testing.T, ch <-chan T) (value T) {
	t.Helper()
	select {
	case value = <-ch:
	case <-time.After(testTimeout):
		t.Fatal("nothing has arrived")
	}
	return value
}

// awaitTrue waits until a condition holds, and fails the test after testTimeout.
func awaitTrue(t *testing.T, condition func() bool) {
	t.Helper()
	for limit := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("the condition does not hold")
		}
	}
}

// target is a server whose responses a test defines.
type target struct {
	id       string
	listener net.Listener
	// replaced is true once another target has the address, with another path for probes.
	replaced atomic.Bool
	// healthPath is the path for probes.
	healthPath atomic.Value // string
	// cut makes the target close connections without an answer.
	cut    atomic.Bool
	load   atomic.Value // string
	health atomic.Int32 // status of probes
	// healthBody is the body of the response to a probe.
	healthBody string
	// healthHeader holds additional header lines of the response to a probe.
	healthHeader string
	// repeatProbes writes the response to a probe once more, before the response to the next
	// request on the connection. repeated counts these.
	repeatProbes bool
	repeated     atomic.Int64
	// serve answers a request other than a probe, and reports whether the connection
	// stays open.
	serve func(t *target, conn net.Conn, r *http.Request, body []byte) bool
	ran   atomic.Int64 // requests run
	// probes counts the probes.
	probes atomic.Int64

	mu       sync.Mutex
	requests []*http.Request
	bodies   []string
	conns    map[net.Conn]bool
	done     sync.WaitGroup
}

func startTarget(t *testing.T, id string, serve func(*target, net.Conn, *http.Request, []byte) bool) *target {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &target{id: id, listener: listener, serve: serve, conns: make(map[net.Conn]bool)}
	s.healthPath.Store("/health")
	s.load.Store("0,0,4")
	s.health.Store(http.StatusOK)
	s.done.Go(func() { s.accept(listener) })
	t.Cleanup(func() {
		_ = listener.Close()
		s.mu.Lock()
		for conn := range s.conns {
			_ = conn.Close()
		}
		s.mu.Unlock()
		s.done.Wait()
	})
	return s
}

// reopen listens again at the address of a listener that was closed.
func (s *target) reopen(t *testing.T) {
	listener, err := net.Listen("tcp", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	s.listener = listener
	s.done.Go(func() { s.accept(listener) })
	t.Cleanup(func() { _ = listener.Close() })
}

func (s *target) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		s.done.Go(func() { s.handle(conn) })
	}
}

func (s *target) handle(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	var probe *http.Request // the last one on the connection, if its response is to be repeated
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if s.cut.Load() {
			return
		}
		if r.URL.Path == s.healthPath.Load() && !s.replaced.Load() {
			s.probes.Add(1)
			s.answerProbe(conn, r)
			if s.repeatProbes {
				probe = r
			}
			continue
		}
		if probe != nil {
			s.answerProbe(conn, probe)
			s.repeated.Add(1)
			probe = nil
		}
		s.mu.Lock()
		s.requests, s.bodies = append(s.requests, r), append(s.bodies, string(body))
		s.mu.Unlock()
		if !s.serve(s, conn, r, body) {
			return
		}
	}
}

func (s *target) answerProbe(conn net.Conn, r *http.Request) {
	s.respond(conn, int(s.health.Load()), r, "Identity: "+s.id+"\r\nLoad: "+s.load.Load().(string)+s.healthHeader, s.healthBody)
}

// respond writes a complete response with additional header lines.
func (s *target) respond(conn net.Conn, status int, r *http.Request, header, body string) {
	if header != "" {
		header += "\r\n"
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, r.Header.Get("Id"), header, len(body), body)
}

func (s *target) received() []*http.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

// run answers with a signed success.
func run(s *target, conn net.Conn, r *http.Request, _ []byte) bool {
	s.ran.Add(1)
	s.respond(conn, 200, r, "Signature: "+s.id, "from "+s.id)
	return true
}

// noMetrics discards all metrics.
type noMetrics struct{}

func (noMetrics) Request(string, time.Duration) {}
func (noMetrics) Refusal(string)                {}
func (noMetrics) Attempt(string)                {}
func (noMetrics) FailureReports(string, int)    {}
func (noMetrics) TargetAdvice(string)           {}
func (noMetrics) Shortage(string, float64)      {}
func (noMetrics) TurnedAway(int)                {}
func (noMetrics) Delivery(string)               {}
func (noMetrics) TargetWarmup(string)           {}
func (noMetrics) Unreachable(string, bool)      {}

// relayPeers are the other instances that a gateway knows.
var relayPeers = []relay.Peer{{IP: netip.MustParseAddr("10.0.0.1"), FailureDomain: "z", Weight: 1}, {IP: netip.MustParseAddr("10.0.0.2"), FailureDomain: "z", Weight: 1}}

// fixture is a gateway in front of targets.
type fixture struct {
	gateway *gateway.Gateway
	server  *httptest.Server
	view    atomic.Pointer[catalog.View]
	targets []*target
	// healthPath is the path for probes in the configuration.
	healthPath string
	panics     atomic.Int64 // contained ones
	// isolated is the result of Options.Isolated.
	isolated atomic.Bool
	// failureReports receives the reports for other instances.
	failureReports chan quarantine.FailureReport
	urgent         atomic.Bool // whether the last one was urgent
	// clockAhead is the time in nanoseconds by which the gateway's clock is ahead.
	clockAhead atomic.Int64
}

func routes() []catalog.Route {
	services := []catalog.WeightedService{{Service: "s", Weight: 1}}
	return []catalog.Route{
		{Name: "safe", Host: "127.0.0.1", Prefix: "/safe/", Idempotent: true, MaxAttempts: 3, Services: services,
			Objective: 10 * time.Second, Timeout: testTimeout},
		{Name: "quick", Host: "127.0.0.1", Prefix: "/quick/", Idempotent: true, MaxAttempts: 3, Services: services,
			Objective: 100 * time.Millisecond, Timeout: testTimeout},
		{Name: "unsafe", Host: "127.0.0.1", Prefix: "/unsafe/", MaxAttempts: 3, Services: services, Objective: 10 * time.Second,
			Timeout: testTimeout},
		{Name: "brief", Host: "127.0.0.1", Prefix: "/brief/", MaxAttempts: 1, Services: services, Timeout: 300 * time.Millisecond},
	}
}

// start starts a gateway with a configuration and targets.
func start(t *testing.T, targets ...*target) *fixture {
	f := startUnconfigured(t, targets...)
	f.configure(catalog.Limits{})
	return f
}

// startUnconfigured starts a gateway without a configuration.
func startUnconfigured(t *testing.T, targets ...*target) *fixture {
	return startRelaying(t, nil, targets...)
}

// startRelaying starts a gateway without a configuration that can relay requests to the
// instances of relayPeers.
func startRelaying(t *testing.T, r gateway.Relay, targets ...*target) *fixture {
	f := &fixture{targets: targets, healthPath: "/health", failureReports: make(chan quarantine.FailureReport, 100)}
	f.view.Store(&catalog.View{})
	begin := time.Now()
	f.gateway = gateway.New(gateway.Options{Dialect: dialect, FailureDomain: "z", View: f.view.Load,
		Instances:   func() int { return 1 },
		Isolated:    f.isolated.Load,
		RetryBudget: gateway.RetryBudget{Ratio: 1, Window: time.Minute, Allowance: 1000, NewFleet: true},
		MemoryBytes: 4 << 20, ConfigWait: testTimeout,
		// Long, so that no report is ignored on a busy machine.
		LocalReportWait: testTimeout, RemoteReportWait: testTimeout, Log: slog.New(slog.DiscardHandler),
		OnPanic: func(string, any, []byte) { f.panics.Add(1) },
		Relay:   r, RelayPeers: func() []relay.Peer { return slices.Clone(relayPeers) },
		Metrics: noMetrics{}, Random: rand.New(rand.NewPCG(1, 2)),
		OnFailureReport: func(s quarantine.FailureReport, urgent bool) { f.urgent.Store(urgent); f.failureReports <- s }, Now: func() time.Duration { return time.Since(begin) + time.Duration(f.clockAhead.Load()) }})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { f.gateway.Run(ctx); close(ended) }()
	f.server = httptest.NewServer(f.gateway)
	t.Cleanup(func() {
		f.server.CloseClientConnections()
		f.server.Close()
		cancel()
		<-ended
	})
	return f
}

func (f *fixture) configure(limits catalog.Limits) {
	config := &catalog.Config{Version: 1, Routes: routes(), Limits: limits,
		Services: map[string]catalog.Service{"s": {Name: "s", HealthPath: f.healthPath, MaxConnections: 100}}}
	list := make([]*catalog.Target, len(f.targets))
	for i, s := range f.targets {
		list[i] = &catalog.Target{ID: s.id, Address: s.listener.Addr().String(), FailureDomain: "z", Service: "s", Slots: 4}
	}
	f.view.Store(&catalog.View{Config: config, Routes: catalog.NewMatcher(config.Routes),
		Targets: map[string][]*catalog.Target{"s": list}})
	f.gateway.ViewChanged()
}

// callerResponse is the response that a caller got.
type callerResponse struct {
	status int
	header http.Header
	body   string
}

// send sends a request as a caller and returns the response. header holds pairs of
// names and values.
func (f *fixture) send(t *testing.T, method, path, body string, header ...string) callerResponse {
	t.Helper()
	return f.sendWith(t, http.DefaultTransport, method, path, body, header...)
}

// sendFrom sends a request without a body as send does, as a caller with an address of its
// own.
func (f *fixture) sendFrom(t *testing.T, address, method, path string) callerResponse {
	t.Helper()
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(address)}}
	transport := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}
	return f.sendWith(t, transport, method, path, "")
}

func (f *fixture) sendWith(t *testing.T, transport http.RoundTripper, method, path, body string, header ...string) callerResponse {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, f.server.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Id", "req-"+strconv.FormatUint(rand.Uint64(), 36))
	r.Header.Set("Deadline-Ms", "30000")
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	response, err := transport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	got, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return callerResponse{status: response.StatusCode, header: response.Header, body: string(got)}
}

// total returns the number of requests that all targets ran.
func (f *fixture) total() (ran int64) {
	for _, s := range f.targets {
		ran += s.ran.Load()
	}
	return ran
}
