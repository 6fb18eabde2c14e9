package entry_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/balancer"
	"github.com/dogwoodroute/dogwoodroute/entry"
	"github.com/dogwoodroute/dogwoodroute/internal/standin"
	"github.com/dogwoodroute/dogwoodroute/refusal"
	"github.com/dogwoodroute/dogwoodroute/wire"
)

// onceByTicket runs each ticket once and replays recorded responses.
type onceByTicket struct {
	mu      sync.Mutex
	results map[string]entry.OnceResult
	ended   chan entry.OnceResult
}

func newOnce() *onceByTicket {
	return &onceByTicket{results: make(map[string]entry.OnceResult), ended: make(chan entry.OnceResult, 100)}
}

func (o *onceByTicket) Begin(_ context.Context, ticket string, _ entry.Fingerprint) entry.OnceDecision {
	o.mu.Lock()
	defer o.mu.Unlock()
	if result, ok := o.results[ticket]; ok {
		if result.Response != nil {
			return entry.OnceDecision{Replay: result.Response}
		}
		return entry.OnceDecision{Refusal: &refusal.Refusal{Kind: refusal.AlreadyRun, Execution: result.Execution}}
	}
	o.results[ticket] = entry.OnceResult{Execution: refusal.MayHaveRun}
	return entry.OnceDecision{Finish: func(r entry.OnceResult) {
		o.mu.Lock()
		o.results[ticket] = r
		o.mu.Unlock()
		o.ended <- r
	}}
}

func (o *onceByTicket) Void(_ context.Context, ticket string) refusal.Execution {
	o.mu.Lock()
	defer o.mu.Unlock()
	if result, ok := o.results[ticket]; ok {
		return result.Execution
	}
	o.results[ticket] = entry.OnceResult{Execution: refusal.NotRun}
	return refusal.NotRun
}

func (o *onceByTicket) Issue(count int) entry.TicketResponse {
	return entry.TicketResponse{Incarnation: "i", ValidForMillis: 1000, Tickets: make([]string, count)}
}

// Guards against a second run of a repeated ticket, a wrongly recorded response,
// and a result of "not run" for a request that may have run.
func TestOnceResults(t *testing.T) {
	is := is.New(t)
	once := newOnce()
	f := start(t, standin.TargetOptions{}, func(o *entry.Options) { o.Once, o.Tickets = once, once })
	first := f.mustDo(t, http.MethodPost, "/record", []byte("x"), wire.HeaderTicket, "t1", wire.HeaderRequestID, "a")
	again := f.mustDo(t, http.MethodPost, "/record", []byte("x"), wire.HeaderTicket, "t1", wire.HeaderRequestID, "b")
	is.Equal(first.text, "t a\nx")
	is.Equal(again.text, first.text)
	is.Equal(again.Header.Get(wire.HeaderRequestID), "b")
	is.Equal(again.Header.Get(wire.HeaderAnsweredBy), wire.AnsweredByTarget)
	is.Equal(f.target.RunCounts(), map[string]int{"a": 1})
	is.Equal((<-once.ended).Execution, refusal.MayHaveRun)

	for _, fault := range []standin.Fault{standin.FaultTruncate, standin.FaultCrash} {
		f.mustDo(t, http.MethodPost, "/record", make([]byte, 100), wire.HeaderTicket, string(fault), standin.HeaderFault, string(fault))
		result := <-once.ended
		is.Equal(result.Execution, refusal.MayHaveRun)
		is.True(result.Response == nil)
	}
	f.mustDo(t, http.MethodPost, "/record", make([]byte, 1<<20), wire.HeaderTicket, "large")
	is.True((<-once.ended).Response == nil) // too large to record
	f.target.Crash()
	f.mustDo(t, http.MethodPost, "/record", nil, wire.HeaderTicket, "unreachable", wire.HeaderRequestID, "unreachable")
	result := <-once.ended
	is.True(result.Execution == refusal.NotRun || f.target.RunCounts()["unreachable"] > 0)
	is.Equal(f.mustDo(t, http.MethodPost, wire.PathTickets+"?count=1001", nil).refused.Kind, refusal.BadRequest)
	is.Equal(f.mustDo(t, http.MethodPost, wire.PathTickets+"?count=3", nil).StatusCode, http.StatusOK)
}

// Guards against "not run" for a non-idempotent request whose caller disconnected
// while a target was running it.
func TestOnceCallerGoesAway(t *testing.T) {
	is := is.New(t)
	once := newOnce()
	f := start(t, standin.TargetOptions{ServiceTime: func(*http.Request) time.Duration { return testTimeout }},
		func(o *entry.Options) { o.Once = once })
	ctx, cancel := context.WithCancel(t.Context())
	failed := make(chan error)
	go func() {
		_, err := f.do(ctx, http.MethodPost, "/record", nil, wire.HeaderTicket, "t1")
		failed <- err
	}()
	waitUntil(t, func() bool { return f.target.InFlight() == 1 })
	cancel()
	is.True(<-failed != nil)
	is.Equal((<-once.ended).Execution, refusal.MayHaveRun)
}

// guardLog is a Guard that records its calls in order.
type guardLog struct {
	mu      sync.Mutex
	calls   []string
	seen    map[entry.Fingerprint]int
	refused *refusal.Refusal
	// attemptRefused, if set, refuses each attempt.
	attemptRefused *refusal.Refusal
}

func (g *guardLog) log(call string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.calls = append(g.calls, call)
}

func (g *guardLog) Check(_ context.Context, f entry.Fingerprint) *refusal.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seen[f]++
	return g.refused
}

func (g *guardLog) Admit(_ context.Context, _ entry.Fingerprint, target string) (entry.Permit, *refusal.Refusal) {
	g.log("admit " + target)
	return entry.Permit{NewConnection: true, Ended: func(outcome balancer.Outcome) {
		if outcome == balancer.OutcomeBroken {
			g.log("broken " + target)
		}
	}}, g.attemptRefused
}

// Guards against a caller that can retry a request that crashed a target before
// peers know of the crash, and against equal fingerprints of different requests.
func TestCrashReportedBeforeCallerResponse(t *testing.T) {
	is := is.New(t)
	guard := &guardLog{seen: make(map[entry.Fingerprint]int)}
	f := start(t, standin.TargetOptions{}, func(o *entry.Options) { o.Guard = guard })
	is.Equal(f.mustDo(t, http.MethodPost, "/echo", []byte("x"), fault(standin.FaultCrash, "a")...).refused.Kind, refusal.AttemptFailed)
	is.Equal(guard.calls, []string{"admit t", "broken t"}) // before the caller received a response

	guard.refused = refusal.New(refusal.SuspectedCrash, "a target went away")
	for _, path := range []string{"/echo", "/echo?a", "/echo/a", "/echo"} {
		is.Equal(f.mustDo(t, http.MethodPost, path, []byte("x")).refused.Kind, refusal.SuspectedCrash)
	}
	f.mustDo(t, http.MethodPost, "/echo", []byte("y"))
	f.mustDo(t, http.MethodPut, "/echo", []byte("x"))
	is.Equal(len(guard.seen), 5)
	is.Equal(len(f.target.RecordedRuns()), 1)
}

// Guards against sending an attempt that the guard refused, and against a ticket
// that is still valid after its request was refused as "not run".
func TestGuardRefusesAttempt(t *testing.T) {
	is := is.New(t)
	once := newOnce()
	guard := &guardLog{seen: make(map[entry.Fingerprint]int), attemptRefused: refusal.New(refusal.SuspectedCrash, "a trial is in progress")}
	f := start(t, standin.TargetOptions{}, func(o *entry.Options) { o.Guard, o.Once = guard, once })
	refused := f.mustDo(t, http.MethodPost, "/echo", []byte("x")).refused
	is.Equal(refused.Kind, refusal.SuspectedCrash)
	is.Equal(refused.Execution, refusal.NotRun)
	is.Equal(len(f.target.RecordedRuns()), 0)

	guard.attemptRefused = nil
	f.mustDo(t, http.MethodPost, "/record", nil, wire.HeaderTicket, "t1", wire.HeaderDeadline, "0")
	again := f.mustDo(t, http.MethodPost, "/record", nil, wire.HeaderTicket, "t1").refused
	is.True(again != nil)
	is.Equal(len(f.target.RecordedRuns()), 0)
}
