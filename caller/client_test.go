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

// testTimeout only ends a test that would otherwise hang.
const testTimeout = time.Minute

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// sent is one request that an instance received.
type sent struct{ instance, ticket, attempt, id string }

// fleet stands in for instances that behave as a test says.
type fleet struct {
	mu       sync.Mutex
	servers  map[string]*httptest.Server
	received []sent
	resolves int
	issued   int
	answer   func(n int, s sent, w http.ResponseWriter)
}

// newFleet starts instances; answer handles the n-th request, from 1.
func newFleet(t *testing.T, answer func(n int, s sent, w http.ResponseWriter), ids ...string) (*fleet, *caller.Client) {
	f := &fleet{servers: make(map[string]*httptest.Server), answer: answer}
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

func (f *fleet) serve(id string, w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch r.URL.Path {
	case wire.PathResolve:
		f.resolves++
		resolution := entry.Resolution{ValidForMillis: testTimeout.Milliseconds()}
		for id, server := range f.servers {
			resolution.Instances = append(resolution.Instances, entry.ResolvedInstance{ID: id, Address: server.Listener.Addr().String(), Weight: 1})
		}
		_ = json.NewEncoder(w).Encode(resolution) // the caller sees a short answer
	case wire.PathTickets:
		answer := entry.TicketResponse{Incarnation: id, ValidForMillis: testTimeout.Milliseconds()}
		for range 16 {
			f.issued++
			answer.Tickets = append(answer.Tickets, fmt.Sprint(id, "-", f.issued))
		}
		_ = json.NewEncoder(w).Encode(answer) // the caller sees a short answer
	default:
		_, _ = io.Copy(io.Discard, r.Body) // bodies are not looked at
		s := sent{id, r.Header.Get(wire.HeaderTicket), r.Header.Get(wire.HeaderAttempt), r.Header.Get(wire.HeaderRequestID)}
		f.received = append(f.received, s)
		f.answer(len(f.received), s, w)
	}
}

// log returns what was received so far.
func (f *fleet) log() []sent {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.received)
}

func ok(w http.ResponseWriter) {
	w.Header().Set(wire.HeaderAnsweredBy, wire.AnsweredByTarget)
	_, _ = io.WriteString(w, "done") // the caller sees a short answer
}

func cut() { panic(http.ErrAbortHandler) }

func refuse(w http.ResponseWriter, kind refusal.Kind, execution refusal.Execution) {
	_ = (&refusal.Refusal{Kind: kind, Execution: execution}).Write(w) // the caller sees a short answer
}

func send(c *caller.Client, idempotent bool) (*caller.Response, error) {
	return c.Do(context.Background(), &caller.Request{Method: http.MethodPost, Path: "/x", Body: []byte("x"), Idempotent: idempotent})
}

// Guards against a second run of a non-idempotent request by way of another
// instance or ticket after a connection broke.
func TestAmbiguousResendKeepsTicketAndInstance(t *testing.T) {
	is := is.New(t)
	f, client := newFleet(t, func(n int, _ sent, w http.ResponseWriter) {
		if n == 1 {
			cut()
		}
		ok(w)
	}, "a", "b", "c")
	answer, err := send(client, false)
	is.NoErr(err)
	is.Equal(answer.Attempts, 2)
	is.Equal(f.log()[0].instance, f.log()[1].instance)
	is.Equal(f.log()[0].ticket, f.log()[1].ticket)
	is.Equal(f.log()[0].id, f.log()[1].id)
	is.Equal(f.log()[1].attempt, "2")
}

// Guards against "not run" for a request whose first send may have run, only
// because a later send was refused.
func TestLaterRefusalDoesNotHideFirstRun(t *testing.T) {
	for _, kind := range []refusal.Kind{refusal.TicketInvalid, refusal.Overload, refusal.Leaving} {
		is := is.New(t)
		f, client := newFleet(t, func(n int, _ sent, w http.ResponseWriter) {
			if n == 1 {
				cut()
			}
			refuse(w, kind, refusal.NotRun)
		}, "a", "b")
		_, err := send(client, false)
		var failed *caller.Error
		is.True(errors.As(err, &failed))
		is.True(failed.MayHaveRun)
		for _, s := range f.log() {
			is.Equal(s.ticket, f.log()[0].ticket)
		}
	}
}

// Guards against giving up, or using a ticket twice, when a refusal says that
// the request was not run.
func TestNotRunRefusalIsSentAgainWithFreshTicket(t *testing.T) {
	is := is.New(t)
	f, client := newFleet(t, func(n int, _ sent, w http.ResponseWriter) {
		if n == 1 {
			refuse(w, refusal.Leaving, refusal.NotRun)
			return
		}
		ok(w)
	}, "a", "b")
	_, err := send(client, false)
	is.NoErr(err)
	is.True(f.log()[0].ticket != f.log()[1].ticket)
	is.True(f.log()[0].instance != f.log()[1].instance)
	for range 10 { // served from the stock
		_, err = send(client, false)
		is.NoErr(err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	is.True(f.issued <= 32)
	is.Equal(f.resolves, 1)
}

// Guards against resending where a refusal says that it is of no use or not safe.
func TestFinalRefusals(t *testing.T) {
	for _, c := range []struct {
		kind       refusal.Kind
		execution  refusal.Execution
		idempotent bool
	}{{refusal.RouteClosed, refusal.NotRun, true}, {refusal.SuspectedCrash, refusal.NotRun, true},
		{refusal.AttemptFailed, refusal.MayHaveRun, false}, {refusal.AlreadyRun, refusal.MayHaveRun, false},
		{refusal.Deadline, refusal.MayHaveRun, true}} {
		is := is.New(t)
		f, client := newFleet(t, func(_ int, _ sent, w http.ResponseWriter) { refuse(w, c.kind, c.execution) }, "a", "b")
		_, err := send(client, c.idempotent)
		var refused *refusal.Refusal
		is.True(errors.As(err, &refused))
		is.Equal(refused.Kind, c.kind)
		is.Equal(refused.Execution, c.execution)
		is.Equal(len(f.log()), 1)
	}
}

// Guards against an idempotent request that fails with one instance, and
// against retries that multiply the load when all fail.
func TestIdempotentRetries(t *testing.T) {
	is := is.New(t)
	broken := ""
	f, client := newFleet(t, func(_ int, s sent, w http.ResponseWriter) {
		if broken == "" {
			broken = s.instance
		}
		if broken == s.instance || broken == "all" {
			cut()
		}
		ok(w)
	}, "a", "b")
	answer, err := send(client, true)
	is.NoErr(err)
	is.Equal(answer.Attempts, 2)
	is.Equal(f.log()[1].attempt, "2")
	f.mu.Lock()
	broken, f.received = "all", nil
	f.mu.Unlock()
	for range 100 {
		_, err = send(client, true)
		var failed *caller.Error
		is.True(errors.As(err, &failed) && failed.MayHaveRun)
	}
	is.True(len(f.log()) <= 111)
}

// Guards against running a request without ticket on a route that turned out
// to be non-idempotent, and against callers that cannot send there at all.
func TestTicketRequiredSwitches(t *testing.T) {
	is := is.New(t)
	_, client := newFleet(t, func(_ int, s sent, w http.ResponseWriter) {
		if s.ticket == "" {
			refuse(w, refusal.TicketRequired, refusal.NotRun)
			return
		}
		ok(w)
	}, "a")
	_, err := send(client, true)
	is.NoErr(err)
}

// Guards against "may have run" for requests that no instance received.
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
