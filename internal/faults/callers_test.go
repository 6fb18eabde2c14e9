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

// callerPause keeps the load of one caller low, as many tests run side by side.
const callerPause = 3 * time.Millisecond

// faultyDeadline ends requests that wait for the retry budget, which no longer
// fills when the callers stop.
const faultyDeadline = 5 * time.Second

// order is one request of a test.
type order struct {
	id, body string
	path     string
	fault    standin.Fault
	deadline time.Duration
}

// order returns a request that differs from all others.
func (w *scenario) order(path string) order {
	n := w.serial.Add(1)
	return order{id: fmt.Sprintf("r%d", n), body: fmt.Sprintf("content %d", n), path: path, deadline: hangLimit}
}

func (o *order) header() http.Header {
	header := http.Header{wire.HeaderRequestID: {o.id}}
	if o.fault != "" {
		header.Set(standin.HeaderFault, string(o.fault))
	}
	return header
}

// own reports whether a target's answer is whole and belongs to the request.
func (o *order) own(body []byte) bool {
	return strings.HasSuffix(string(body), " "+o.id+"\n"+o.body)
}

// note keeps a call as evidence.
func (w *scenario) note(call checker.Call) checker.Call {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.evidence.Calls = append(w.evidence.Calls, call)
	return call
}

// answered counts the calls with an answer so far.
func (w *scenario) answered() int {
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

// moreAnswers waits for further answers.
func (w *scenario) moreAnswers(n int) {
	w.t.Helper()
	before := w.answered()
	w.until(fmt.Sprintf("%d more answers", n), func() bool { return w.answered() >= before+n })
}

// client returns a client that knows the instances of this moment. It is
// closed with the test.
func (w *scenario) client() *caller.Client {
	return caller.New(caller.Options{Seeds: w.fleet.Addresses(), Timeout: hangLimit})
}

// send sends a request through package caller.
func (w *scenario) send(client *caller.Client, o order) checker.Call {
	call := checker.Call{RequestID: o.id, Idempotent: o.path == pathLookup, Start: time.Now()}
	answer, err := client.Do(context.Background(), &caller.Request{Method: http.MethodPost, Path: o.path,
		Header: o.header(), Body: []byte(o.body), Idempotent: call.Idempotent, Deadline: o.deadline})
	call.End = time.Now()
	var refused *refusal.Refusal
	var failed *caller.Error
	switch {
	case err == nil:
		call.Outcome, call.Status, call.ResponseCorrect = checker.Responded, answer.Status, o.own(answer.Body)
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
	return w.note(call)
}

// load starts callers that send until the test verifies. Each has its own
// client, and alternates between the two routes. faulty chooses a fault for a
// request; nil means none.
func (w *scenario) load(callers int, faulty func(random *rand.Rand) standin.Fault) {
	for n := range callers {
		random := rand.New(rand.NewPCG(uint64(n), 1))
		w.active.Go(func() {
			client := w.client()
			defer client.Close()
			for turn := n; !w.halt.Load(); turn++ {
				o := w.order([]string{pathLookup, pathRecord}[turn%2])
				if faulty != nil {
					o.fault, o.deadline = faulty(random), faultyDeadline
				}
				w.send(client, o)
				time.Sleep(callerPause)
			}
		})
	}
}

// raw is a sender that package caller has no part in.
type raw struct {
	w      *scenario
	client *http.Client
}

func (w *scenario) raw() *raw {
	transport := &http.Transport{MaxIdleConnsPerHost: 16}
	w.t.Cleanup(transport.CloseIdleConnections)
	return &raw{w: w, client: &http.Client{Transport: transport, Timeout: hangLimit}}
}

// tickets fetches tickets of one instance.
func (r *raw) tickets(address string, count int) []string {
	response, err := r.client.Post(fmt.Sprintf("http://%s%s?count=%d", address, wire.PathTickets, count), "", nil)
	if err != nil {
		r.w.t.Errorf("get tickets: %v", err)
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	var answer entry.TicketResponse
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil || len(answer.Tickets) != count {
		r.w.t.Errorf("get tickets: %d of %d, %v", len(answer.Tickets), count, err)
	}
	return answer.Tickets
}

// send sends a request once to one instance. The body cannot be read twice, so
// that net/http does not send it again by itself.
func (r *raw) send(address string, o order, ticket string, attempt int) checker.Call {
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
	return r.w.note(call)
}

// read fills in what the instance answered.
func (r *raw) read(response *http.Response, o *order, call *checker.Call) {
	if refused := refusal.Parse(response); refused != nil {
		call.Outcome, call.Kind, call.Execution, call.Reason = checker.Refused, refused.Kind, refused.Execution, refused.Reason
		return
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return // truncated: failed, may have run
	}
	call.Outcome, call.Status, call.ResponseCorrect = checker.Responded, response.StatusCode, o.own(body)
	call.Execution = ""
}
