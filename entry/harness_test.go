package entry_test

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/dogwoodroute/dogwoodroute/dispatch"
	"github.com/dogwoodroute/dogwoodroute/entry"
	"github.com/dogwoodroute/dogwoodroute/internal/standin"
	"github.com/dogwoodroute/dogwoodroute/refusal"
	"github.com/dogwoodroute/dogwoodroute/routing"
	"github.com/dogwoodroute/dogwoodroute/settings"
	"github.com/dogwoodroute/dogwoodroute/tables"
	"github.com/dogwoodroute/dogwoodroute/transport"
	"github.com/dogwoodroute/dogwoodroute/wire"
)

// testTimeout ends a test that would otherwise hang.
const testTimeout = time.Minute

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fixture is a Server with one fake target.
type fixture struct {
	*httptest.Server
	entry  *entry.Server
	target *standin.Target
}

// start serves the routes /echo (idempotent, one attempt), /record (not
// idempotent), /closed and /dead (no target listens). The deadline of /echo is the
// longest allowed, because the expected wait of a thousand queued callers depends
// on the speed of the machine and must not cause refusals.
func start(t testing.TB, to standin.TargetOptions, change func(*entry.Options)) *fixture {
	to.Name = cmp.Or(to.Name, "t") // another name: the target has got the address of t
	target, err := standin.StartTarget(to)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(target.Close)
	document, err := tables.Parse(fmt.Appendf(nil, `{"version": 1, "routes": [
		{"name": "echo", "match": {"path_prefix": "/echo"}, "pool": "p", "idempotent": true, "max_attempts": 1, "deadline_ms": 600000},
		{"name": "record", "match": {"path_prefix": "/record"}, "pool": "p", "deadline_ms": 60000},
		{"name": "closed", "match": {"path_prefix": "/closed"}, "pool": "p", "closed": "index day"},
		{"name": "dead", "match": {"path_prefix": "/dead"}, "pool": "q", "idempotent": true}],
		"pools": [{"name": "p", "targets": [{"name": "t", "address": %q, "failure_domain": "a", "slots": 4}]},
			{"name": "q", "targets": [{"name": "d", "address": "127.0.0.1:1", "failure_domain": "a", "slots": 4}]}]}`, target.Address()))
	if err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	now := func() time.Duration { return time.Since(began) }
	client := transport.NewClient(transport.Options{Now: now, ConnectionLimit: func(string) int { return 64 }})
	t.Cleanup(client.Close)
	view := &entry.View{Document: document, Matcher: routing.NewMatcher(document), Pools: make(map[string]*dispatch.Task)}
	for _, pool := range document.Pools {
		view.Pools[pool.Name] = runPool(t, pool, client, now)
	}
	limits := settings.Limits{}
	limits.SetDefaults()
	options := entry.Options{View: func() *entry.View { return view }, Now: now, Transport: client, Limits: limits,
		Resolve: func(string) entry.Resolution { return entry.Resolution{ValidForMillis: 5} }}
	if change != nil {
		change(&options)
	}
	handler := entry.NewServer(options)
	server := httptest.NewUnstartedServer(handler)
	server.Config.MaxHeaderBytes = options.Limits.HeaderBytes
	server.Config.ReadHeaderTimeout = time.Duration(options.Limits.HeaderTimeoutMillis) * time.Millisecond
	server.Start()
	t.Cleanup(server.Close)
	return &fixture{Server: server, entry: handler, target: target}
}

func runPool(t testing.TB, pool tables.Pool, client *transport.Client, now func() time.Duration) *dispatch.Task {
	task := dispatch.NewTask(dispatch.TaskOptions{Now: now, Probe: client.Probe,
		Scheduler: dispatch.NewScheduler(dispatch.Options{Pool: pool, Rand: rand.New(rand.NewPCG(1, 2))})})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { task.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return task
}

// callerResponse is a response or refusal that a caller received.
type callerResponse struct {
	*http.Response
	text    string
	refused *refusal.Refusal
	err     error // from reading the body
}

// do sends a request. headers are alternating names and values.
func (f *fixture) do(ctx context.Context, method, path string, body []byte, headers ...string) (*callerResponse, error) {
	request, err := http.NewRequestWithContext(ctx, method, f.URL+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for i := 0; i < len(headers); i += 2 {
		request.Header.Add(headers[i], headers[i+1])
	}
	response, err := f.Client().Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	a := &callerResponse{Response: response, refused: refusal.Parse(response)}
	if a.refused == nil {
		var text []byte
		text, a.err = io.ReadAll(response.Body)
		a.text = string(text)
	}
	return a, nil
}

func (f *fixture) mustDo(t testing.TB, method, path string, body []byte, headers ...string) *callerResponse {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	a, err := f.do(ctx, method, path, body, headers...)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// waitUntil polls a condition and fails the test if it does not become true within
// testTimeout.
func waitUntil(t testing.TB, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the condition did not become true within testTimeout")
		}
	}
}

// fault returns headers that make the target inject a fault.
func fault(f standin.Fault, id string) []string {
	return []string{standin.HeaderFault, string(f), wire.HeaderRequestID, id}
}
