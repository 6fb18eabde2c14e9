package faults_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/caller"
	"github.com/dogwoodroute/dogwoodroute/entry"
	"github.com/dogwoodroute/dogwoodroute/internal/checker"
	"github.com/dogwoodroute/dogwoodroute/internal/standin"
	"github.com/dogwoodroute/dogwoodroute/refusal"
	"github.com/dogwoodroute/dogwoodroute/wire"
)

// callerPause is the pause between requests of a caller. It keeps the load low,
// because many tests run in parallel.
const callerPause = 3 * time.Millisecond

// faultyDeadline ends requests that wait for the retry budget: it is no longer
// refilled once the callers have stopped.
const faultyDeadline = 5 * time.Second

// testRequest is one request of a test.
type testRequest struct {
	id, body string
	path     string
	fault    standin.Fault
	deadline time.Duration
}

// newRequest returns a request with a unique identifier and body.
func (w *scenario) newRequest(path string) testRequest {
	n := w.requestCounter.Add(1)
	return testRequest{id: fmt.Sprintf("r%d", n), body: fmt.Sprintf("content %d", n), path: path, deadline: hangTimeout}
}

func (o *testRequest) header() http.Header {
	header := http.Header{wire.HeaderRequestID: {o.id}}
	if o.fault != "" {
		header.Set(standin.HeaderFault, string(o.fault))
	}
	return header
}

// responseCorrect reports whether a target's response body is complete and for this
// request.
func (o *testRequest) responseCorrect(body []byte) bool {
	return strings.HasSuffix(string(body), " "+o.id+"\n"+o.body)
}

// recordCall adds a call to the evidence and returns it.
func (w *scenario) recordCall(call checker.Call) checker.Call {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.evidence.Calls = append(w.evidence.Calls, call)
	return call
}

// responseCount returns the number of calls with a response so far.
func (w *scenario) responseCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for i := range w.evidence.Calls {
		if w.evidence.Calls[i].Outcome == checker.Responded {
			n++
		}
	}
	return n
}

// waitForResponses waits for n further responses.
func (w *scenario) waitForResponses(n int) {
	w.t.Helper()
	before := w.responseCount()
	w.waitUntil(fmt.Sprintf("%d more responses", n), func() bool { return w.responseCount() >= before+n })
}

// client returns a client with the current instances as seeds. The caller must close
// it.
func (w *scenario) client() *caller.Client {
	return caller.New(caller.Options{Seeds: w.fleet.Addresses(), Timeout: hangTimeout})
}

// send sends a request through package caller and records the call.
func (w *scenario) send(client *caller.Client, o testRequest) checker.Call {
	call := checker.Call{RequestID: o.id, Idempotent: o.path == pathLookup, Start: time.Now()}
	response, err := client.Do(context.Background(), &caller.Request{Method: http.MethodPost, Path: o.path,
		Header: o.header(), Body: []byte(o.body), Idempotent: call.Idempotent, Deadline: o.deadline})
	call.End = time.Now()
	var refused *refusal.Refusal
	var failed *caller.Error
	switch {
	case err == nil:
		call.Outcome, call.Status, call.ResponseCorrect = checker.Responded, response.Status, o.responseCorrect(response.Body)
	case errors.As(err, &refused):
		call.Outcome, call.Kind, call.Execution, call.Reason = checker.Refused, refused.Kind, refused.Execution, refused.Reason
	case errors.As(err, &failed):
		call.Outcome, call.Execution, call.Reason = checker.Failed, refusal.NotRun, err.Error()
		if failed.MayHaveRun {
			call.Execution = refusal.MayHaveRun
		}
	default:
		w.t.Errorf("request %s: unexpected error %v", o.id, err)
	}
	return w.recordCall(call)
}

// startCallers starts callers that send requests until stopCallers. Each has its own
// client and alternates between the two routes. faulty returns the fault of a request;
// nil means that no request has one.
func (w *scenario) startCallers(callers int, faulty func(random *rand.Rand) standin.Fault) {
	for n := range callers {
		random := rand.New(rand.NewPCG(uint64(n), 1))
		w.callers.Go(func() {
			client := w.client()
			defer client.Close()
			for turn := n; !w.stopping.Load(); turn++ {
				o := w.newRequest([]string{pathLookup, pathRecord}[turn%2])
				if faulty != nil {
					o.fault, o.deadline = faulty(random), faultyDeadline
				}
				w.send(client, o)
				time.Sleep(callerPause)
			}
		})
	}
}

// rawClient sends requests without package caller, so that tests choose the instance,
// the ticket and the attempt number.
type rawClient struct {
	w      *scenario
	client *http.Client
}

func (w *scenario) newRawClient() *rawClient {
	transport := &http.Transport{MaxIdleConnsPerHost: 16}
	w.t.Cleanup(transport.CloseIdleConnections)
	return &rawClient{w: w, client: &http.Client{Transport: transport, Timeout: hangTimeout}}
}

// tickets requests tickets from one instance.
func (r *rawClient) tickets(address string, count int) []string {
	response, err := r.client.Post(fmt.Sprintf("http://%s%s?count=%d", address, wire.PathTickets, count), "", nil)
	if err != nil {
		r.w.t.Errorf("get tickets: %v", err)
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	var granted entry.TicketResponse
	if err := json.NewDecoder(response.Body).Decode(&granted); err != nil || len(granted.Tickets) != count {
		r.w.t.Errorf("get tickets: %d of %d, %v", len(granted.Tickets), count, err)
	}
	return granted.Tickets
}

// send sends a request once to one instance and records the call. The body cannot be
// rewound, so that net/http does not retry the request.
func (r *rawClient) send(address string, o testRequest, ticket string, attempt int) checker.Call {
	call := checker.Call{RequestID: o.id, Idempotent: o.path == pathLookup, Start: time.Now(),
		Outcome: checker.Failed, Execution: refusal.MayHaveRun}
	request, err := http.NewRequest(http.MethodPost, "http://"+address+o.path, io.NopCloser(strings.NewReader(o.body)))
	if err != nil {
		r.w.t.Errorf("make request: %v", err)
		return call
	}
	request.Header = o.header()
	request.Header.Set(wire.HeaderAttempt, fmt.Sprint(attempt))
	if ticket != "" {
		request.Header.Set(wire.HeaderTicket, ticket)
	}
	wire.SetDeadline(request.Header, o.deadline)
	response, err := r.client.Do(request)
	if err == nil {
		defer func() { _ = response.Body.Close() }()
		r.read(response, &o, &call)
	}
	call.End = time.Now()
	return r.w.recordCall(call)
}

// read sets the outcome of a call from the response of the instance.
func (r *rawClient) read(response *http.Response, o *testRequest, call *checker.Call) {
	if refused := refusal.Parse(response); refused != nil {
		call.Outcome, call.Kind, call.Execution, call.Reason = checker.Refused, refused.Kind, refused.Execution, refused.Reason
		return
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return // truncated: stays Failed and MayHaveRun
	}
	call.Outcome, call.Status, call.ResponseCorrect = checker.Responded, response.StatusCode, o.responseCorrect(body)
	call.Execution = ""
}
