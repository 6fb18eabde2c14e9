package soak

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// validRecords returns the records of one request that satisfies all invariants.
func validRecords() (*recorder, *request, *arrival) {
	req := &request{id: "x", method: "POST", path: "/write/x", body: "b", route: "write", timeout: time.Second, sentAt: 10 * time.Second,
		endedAt: 10*time.Second + 50*time.Millisecond, status: http.StatusOK, signed: true, signer: "t", responseBody: responseFor("x")}
	r := &arrival{id: "x", method: "POST", path: "/write/x", body: "b", target: "t", service: "s0", arrivedAt: req.sentAt, remaining: time.Second,
		status: http.StatusOK}
	rec := &recorder{requests: []*request{req}, arrivals: []*arrival{r}, configs: []storedConfig{{services: map[string][]string{"write": {"s0"}}}},
		faultWindows: []faultWindow{{name: "kill", from: time.Minute, to: time.Minute}}}
	return rec, req, r
}

// addLater adds records of another request, sent and served a time after the first one.
func addLater(rec *recorder, req *request, r *arrival, after time.Duration) {
	later, arrival, id := *req, *r, strconv.Itoa(len(rec.requests))
	later.id, arrival.id, later.responseBody = id, id, responseFor(id)
	later.sentAt += after
	later.endedAt, arrival.arrivedAt = later.sentAt, later.sentAt
	rec.requests, rec.arrivals = append(rec.requests, &later), append(rec.arrivals, &arrival)
}

// Guards against a soak that passes because a check detects nothing: each case
// violates one invariant, and only that one must be reported.
func TestEachInvariantDetectsViolation(t *testing.T) {
	tests := []struct {
		invariant string
		corrupt   func(rec *recorder, req *request, r *arrival)
	}{
		{"", func(*recorder, *request, *arrival) {}},
		{"every success is the target's whole answer to that request", func(_ *recorder, req *request, _ *arrival) { req.responseBody = req.responseBody[1:] }},
		{"every success is the target's whole answer to that request", func(_ *recorder, req *request, _ *arrival) { req.signed = false }},
		{"every success is the target's whole answer to that request", func(_ *recorder, req *request, _ *arrival) { req.failure = "of another" }},
		{"every success is the target's whole answer to that request", func(rec *recorder, _ *request, _ *arrival) { rec.arrivals = nil }},
		{"a target's failure is passed on as it was", func(_ *recorder, req *request, r *arrival) { req.status, r.status = 500, 504 }},
		{"targets get only what callers sent", func(_ *recorder, _ *request, r *arrival) { r.body = "c" }},
		{"targets get only what callers sent", func(rec *recorder, _ *request, r *arrival) {
			stray := *r
			stray.id = "y"
			rec.arrivals = append(rec.arrivals, &stray)
		}},
		{"a request that may run once runs once", func(rec *recorder, _ *request, r *arrival) { rec.arrivals = append(rec.arrivals, r) }},
		{"a refusal says truly that the request has not run", func(_ *recorder, req *request, _ *arrival) { req.status, req.signed = 503, false }},
		{"a request runs at a service of its route", func(rec *recorder, _ *request, _ *arrival) {
			rec.configs[0].services["write"] = []string{"s1"}
			rec.faultWindows[0].from = 0 // a fault is active, so the time-bound invariant does not apply
		}},
		{"planned work cuts no request", func(_ *recorder, req *request, _ *arrival) { req.status = 0 }},
		{"planned work cuts no request", func(_ *recorder, req *request, _ *arrival) { req.status, req.signed = 502, false }},
		{"routes that every configuration has are known", func(rec *recorder, req *request, _ *arrival) {
			req.status, req.signed, rec.arrivals = 404, false, nil
		}},
		{"the deadline that is passed on is what is left", func(_ *recorder, _ *request, r *arrival) { r.remaining = 2 * time.Second }},
		{"the deadline that is passed on is what is left", func(_ *recorder, _ *request, r *arrival) { r.remaining = -1 }},
		{"targets that leave get no more requests", func(rec *recorder, _ *request, _ *arrival) {
			rec.departures = []departure{{target: "t", at: 7 * time.Second}}
		}},
		{"a request that crashes targets is held back", func(rec *recorder, req *request, r *arrival) {
			req.body, r.body = crashPrefix, crashPrefix
			for i := range crashesAllowed + sendsAllowed + 1 {
				addLater(rec, req, r, recoveryTime*time.Duration(i+1))
			}
			rec.disturbances = []disturbance{{instance: "another", at: r.arrivedAt}}
		}},
		{"targets that say that they leave get no more requests", func(rec *recorder, req *request, r *arrival) {
			r.said.leaving, r.answeredAt = true, req.endedAt
			addLater(rec, req, r, drainLimit+time.Second)
		}},
		{"targets that ask for a pause get one", func(rec *recorder, req *request, r *arrival) {
			r.said.pause, r.answeredAt = time.Minute, req.endedAt
			for i := range pausedArrivals + 1 {
				addLater(rec, req, r, time.Duration(i+1)*time.Second)
			}
		}},
		{"a target's limit is kept", func(rec *recorder, req *request, r *arrival) {
			r.said.perSecond, r.answeredAt = 1, req.endedAt
			rec.limits = []namedLimit{{target: r.target, perSecond: 1, from: req.sentAt, to: time.Minute}}
			for i := range 12 { // 11 are allowed
				addLater(rec, req, r, recoveryTime+time.Duration(i+1)*100*time.Millisecond)
			}
		}},
		{"cold targets get no more requests than they tolerate", func(rec *recorder, req *request, r *arrival) {
			req.idempotent = true
			for n := range 15 {
				cold := *r
				cold.cold, cold.arrivedAt = true, r.arrivedAt+time.Duration(n)*time.Millisecond
				rec.arrivals = append(rec.arrivals, &cold)
			}
		}},
		{"evacuated failure domains get no more requests", func(rec *recorder, _ *request, r *arrival) {
			r.domain = "b"
			rec.evacuations = append(rec.evacuations, evacuation{domain: "b", from: r.arrivedAt - evacuationLimit - time.Millisecond, to: r.arrivedAt + time.Second})
		}},
		{"a configuration is in force in time", func(rec *recorder, _ *request, _ *arrival) {
			rec.configs = append(rec.configs, storedConfig{at: 7 * time.Second, services: map[string][]string{"write": {"s1"}}})
		}},
		{"repeats stay within the budget", func(rec *recorder, req *request, r *arrival) {
			req.idempotent = true
			for range retryAllowance + 2 {
				rec.arrivals = append(rec.arrivals, r)
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.invariant, func(t *testing.T) {
			is := is.New(t)
			rec, req, r := validRecords()
			test.corrupt(rec, req, r)
			for _, p := range invariants {
				is.Equal(len(p.check(rec.evidence())) > 0, p.name == test.invariant)
			}
		})
	}
}
