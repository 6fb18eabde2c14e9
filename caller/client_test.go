package caller_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/dogwoodroute/dogwoodroute/caller"
	"github.com/dogwoodroute/dogwoodroute/entry"
	"github.com/dogwoodroute/dogwoodroute/refusal"
	"github.com/dogwoodroute/dogwoodroute/wire"
)

// testTimeout ends a test that would otherwise hang.
const testTimeout = time.Minute

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// receivedRequest is a request that a fake instance received.
type receivedRequest struct{ instance, ticket, attempt, id string }

// fakeInstances serves resolve and tickets calls of fake instances, and passes
// other requests to handle.
type fakeInstances struct {
	mu       sync.Mutex
	servers  map[string]*httptest.Server
	received []receivedRequest
	resolves int
	issued   int
	handle   func(n int, s receivedRequest, w http.ResponseWriter)
}

// startInstances starts fake instances with the given identifiers, and a client
// whose first seed does not accept connections. handle serves the n-th request,
// counted from 1.
func startInstances(t *testing.T, handle func(n int, s receivedRequest, w http.ResponseWriter), ids ...string) (*fakeInstances, *caller.Client) {
	f := &fakeInstances{servers: make(map[string]*httptest.Server), handle: handle}
	seeds := []string{"127.0.0.1:1"} // refuses connections
	for _, id := range ids {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.serve(id, w, r) }))
		t.Cleanup(server.Close)
		f.servers[id] = server
		seeds = append(seeds, server.Listener.Addr().String())
	}
	client := caller.New(caller.Options{Seeds: seeds, Backoff: time.Millisecond, Timeout: testTimeout})
	t.Cleanup(client.Close)
	return f, client
}

func (f *fakeInstances) serve(id string, w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch r.URL.Path {
	case wire.PathResolve:
		f.resolves++
		resolution := entry.Resolution{ValidForMillis: testTimeout.Milliseconds()}
		for id, server := range f.servers {
			resolution.Instances = append(resolution.Instances, entry.ResolvedInstance{ID: id, Address: server.Listener.Addr().String(), Weight: 1})
		}
		_ = json.NewEncoder(w).Encode(resolution) // a write error shows as a truncated response
	case wire.PathTickets:
		response := entry.TicketResponse{Incarnation: id, ValidForMillis: testTimeout.Milliseconds()}
		for range 16 {
			f.issued++
			response.Tickets = append(response.Tickets, fmt.Sprint(id, "-", f.issued))
		}
		_ = json.NewEncoder(w).Encode(response) // a write error shows as a truncated response
	default:
		_, _ = io.Copy(io.Discard, r.Body) // bodies are not checked
		s := receivedRequest{id, r.Header.Get(wire.HeaderTicket), r.Header.Get(wire.HeaderAttempt), r.Header.Get(wire.HeaderRequestID)}
		f.received = append(f.received, s)
		f.handle(len(f.received), s, w)
	}
}

// requests returns the requests received so far.
func (f *fakeInstances) requests() []receivedRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.received)
}

func respondOK(w http.ResponseWriter) {
	w.Header().Set(wire.HeaderAnsweredBy, wire.AnsweredByTarget)
	_, _ = io.WriteString(w, "done") // a write error shows as a truncated response
}

func abortConnection() { panic(http.ErrAbortHandler) }

func refuse(w http.ResponseWriter, kind refusal.Kind, execution refusal.Execution) {
	_ = (&refusal.Refusal{Kind: kind, Execution: execution}).Write(w) // a write error shows as a truncated response
}

func send(c *caller.Client, idempotent bool) (*caller.Response, error) {
	return c.Do(context.Background(), &caller.Request{Method: http.MethodPost, Path: "/x", Body: []byte("x"), Idempotent: idempotent})
}

// Guards against retrying a non-idempotent request at another instance or with
// another ticket after its connection broke, which could run it a second time.
func TestAmbiguousResendKeepsTicketAndInstance(t *testing.T) {
	is := is.New(t)
	f, client := startInstances(t, func(n int, _ receivedRequest, w http.ResponseWriter) {
		if n == 1 {
			abortConnection()
		}
		respondOK(w)
	}, "a", "b", "c")
	response, err := send(client, false)
	is.NoErr(err)
	is.Equal(response.Attempts, 2)
	is.Equal(f.requests()[0].instance, f.requests()[1].instance)
	is.Equal(f.requests()[0].ticket, f.requests()[1].ticket)
	is.Equal(f.requests()[0].id, f.requests()[1].id)
	is.Equal(f.requests()[1].attempt, "2")
}

// Guards against reporting "not run" for a request whose first attempt may have
// run, because a later attempt was refused as "not run".
func TestLaterRefusalDoesNotHideFirstRun(t *testing.T) {
	for _, kind := range []refusal.Kind{refusal.TicketInvalid, refusal.Overload, refusal.Leaving} {
		is := is.New(t)
		f, client := startInstances(t, func(n int, _ receivedRequest, w http.ResponseWriter) {
			if n == 1 {
				abortConnection()
			}
			refuse(w, kind, refusal.NotRun)
		}, "a", "b")
		_, err := send(client, false)
		var failed *caller.Error
		is.True(errors.As(err, &failed))
		is.True(failed.MayHaveRun)
		for _, s := range f.requests() {
			is.Equal(s.ticket, f.requests()[0].ticket)
		}
	}
}

// Guards against giving up, reusing a ticket, or requesting tickets and instances
// too often after a refusal that states "not run".
func TestNotRunRefusalIsSentAgainWithFreshTicket(t *testing.T) {
	is := is.New(t)
	f, client := startInstances(t, func(n int, _ receivedRequest, w http.ResponseWriter) {
		if n == 1 {
			refuse(w, refusal.Leaving, refusal.NotRun)
			return
		}
		respondOK(w)
	}, "a", "b")
	_, err := send(client, false)
	is.NoErr(err)
	is.True(f.requests()[0].ticket != f.requests()[1].ticket)
	is.True(f.requests()[0].instance != f.requests()[1].instance)
	for range 10 { // uses stored tickets
		_, err = send(client, false)
		is.NoErr(err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	is.True(f.issued <= 32)
	is.Equal(f.resolves, 1)
}

// Guards against callers that wait for, and keep choosing, an instance that reaches no target
// while another one does, and against tries without end while none does.
func TestInstanceWithoutTargetsIsLeftForAnother(t *testing.T) {
	is := is.New(t)
	f, client := startInstances(t, func(_ int, s receivedRequest, w http.ResponseWriter) {
		if s.instance == "a" {
			w.Header().Set(refusal.HeaderRetry, "60")
			refuse(w, refusal.NoTarget, refusal.NotRun)
			return
		}
		respondOK(w)
	}, "a", "b")
	begin := time.Now()
	for range 200 {
		_, err := send(client, false)
		is.NoErr(err)
	}
	refused := 0
	for _, r := range f.requests() {
		if r.instance == "a" {
			refused++
		}
	}
	is.True(refused > 0)
	is.True(refused <= 1+int(time.Since(begin)/time.Second)) // an instance is avoided for a second

	f, client = startInstances(t, func(_ int, _ receivedRequest, w http.ResponseWriter) { refuse(w, refusal.NoTarget, refusal.NotRun) }, "a", "b")
	_, err := send(client, false)
	is.True(err != nil)
	is.True(len(f.requests()) <= 3) // one retry for the other instance, one of the budget
}

// Guards against retrying after a refusal for which a retry is useless or unsafe.
func TestFinalRefusals(t *testing.T) {
	for _, c := range []struct {
		kind       refusal.Kind
		execution  refusal.Execution
		idempotent bool
	}{{refusal.RouteClosed, refusal.NotRun, true}, {refusal.SuspectedCrash, refusal.NotRun, true},
		{refusal.AttemptFailed, refusal.MayHaveRun, false}, {refusal.AlreadyRun, refusal.MayHaveRun, false},
		{refusal.Deadline, refusal.MayHaveRun, true}} {
		is := is.New(t)
		f, client := startInstances(t, func(_ int, _ receivedRequest, w http.ResponseWriter) { refuse(w, c.kind, c.execution) }, "a", "b")
		_, err := send(client, c.idempotent)
		var refused *refusal.Refusal
		is.True(errors.As(err, &refused))
		is.Equal(refused.Kind, c.kind)
		is.Equal(refused.Execution, c.execution)
		is.Equal(len(f.requests()), 1)
	}
}

// Guards against failing an idempotent request because one instance fails, and
// against retries that multiply the load if all instances fail.
func TestIdempotentRetries(t *testing.T) {
	is := is.New(t)
	broken := ""
	f, client := startInstances(t, func(_ int, s receivedRequest, w http.ResponseWriter) {
		if broken == "" {
			broken = s.instance
		}
		if broken == s.instance || broken == "all" {
			abortConnection()
		}
		respondOK(w)
	}, "a", "b")
	response, err := send(client, true)
	is.NoErr(err)
	is.Equal(response.Attempts, 2)
	is.Equal(f.requests()[1].attempt, "2")
	f.mu.Lock()
	broken, f.received = "all", nil
	f.mu.Unlock()
	for range 100 {
		_, err = send(client, true)
		var failed *caller.Error
		is.True(errors.As(err, &failed) && failed.MayHaveRun)
	}
	is.True(len(f.requests()) <= 111)
}

// Guards against failing a request that was sent as idempotent to a non-idempotent
// route. It must be retried with a ticket.
func TestTicketRequiredSwitches(t *testing.T) {
	is := is.New(t)
	_, client := startInstances(t, func(_ int, s receivedRequest, w http.ResponseWriter) {
		if s.ticket == "" {
			refuse(w, refusal.TicketRequired, refusal.NotRun)
			return
		}
		respondOK(w)
	}, "a")
	_, err := send(client, true)
	is.NoErr(err)
}

// Guards against reporting "may have run" for requests that no instance received.
func TestNoInstance(t *testing.T) {
	is := is.New(t)
	client := caller.New(caller.Options{Seeds: []string{"127.0.0.1:1"}, Backoff: time.Millisecond})
	defer client.Close()
	_, err := send(client, false)
	var failed *caller.Error
	is.True(errors.As(err, &failed))
	is.Equal(failed.Step, "resolve")
	is.True(!failed.MayHaveRun)
}
