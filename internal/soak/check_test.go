package soak

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// sound returns a ledger of one request that went well.
func sound() (*recorder, *request, *arrival) {
	s := &request{id: "x", method: "POST", path: "/write/x", body: "b", route: "write", timeout: time.Second, sentAt: 10 * time.Second,
		endedAt: 10*time.Second + 50*time.Millisecond, status: http.StatusOK, signed: true, responseBody: responseFor("x")}
	r := &arrival{id: "x", method: "POST", path: "/write/x", body: "b", target: "t", service: "s0", arrivedAt: s.sentAt, remaining: time.Second,
		status: http.StatusOK}
	l := &recorder{requests: []*request{s}, arrivals: []*arrival{r}, configs: []storedConfig{{services: map[string][]string{"write": {"s0"}}}},
		faultWindows: []faultWindow{{name: "kill", from: time.Minute, to: time.Minute}}}
	return l, s, r
}

// Guards against a soak that passes because a check sees nothing: each case
// breaks one promise, and exactly that one must be found.
func TestEachPromiseIsSeenBroken(t *testing.T) {
	tests := []struct {
		promise string
		spoil   func(l *recorder, s *request, r *arrival)
	}{
		{"", func(*recorder, *request, *arrival) {}},
		{"every success is the target's whole answer to that request", func(_ *recorder, s *request, _ *arrival) { s.responseBody = s.responseBody[1:] }},
		{"every success is the target's whole answer to that request", func(_ *recorder, s *request, _ *arrival) { s.signed = false }},
		{"every success is the target's whole answer to that request", func(_ *recorder, s *request, _ *arrival) { s.failure = "of another" }},
		{"every success is the target's whole answer to that request", func(l *recorder, _ *request, _ *arrival) { l.arrivals = nil }},
		{"a target's failure is passed on as it was", func(_ *recorder, s *request, r *arrival) { s.status, r.status = 500, 504 }},
		{"targets get only what callers sent", func(_ *recorder, _ *request, r *arrival) { r.body = "c" }},
		{"targets get only what callers sent", func(l *recorder, _ *request, r *arrival) {
			stray := *r
			stray.id = "y"
			l.arrivals = append(l.arrivals, &stray)
		}},
		{"a request that may run once runs once", func(l *recorder, _ *request, r *arrival) { l.arrivals = append(l.arrivals, r) }},
		{"a refusal says truly that the request has not run", func(_ *recorder, s *request, _ *arrival) { s.status, s.signed = 503, false }},
		{"a request runs at a service of its route", func(l *recorder, _ *request, _ *arrival) {
			l.configs[0].services["write"] = []string{"s1"}
			l.faultWindows[0].from = 0 // the promise on time does not hold
		}},
		{"planned work cuts no request", func(_ *recorder, s *request, _ *arrival) { s.status = 0 }},
		{"planned work cuts no request", func(_ *recorder, s *request, _ *arrival) { s.status, s.signed = 502, false }},
		{"routes that every configuration has are known", func(l *recorder, s *request, _ *arrival) {
			s.status, s.signed, l.arrivals = 404, false, nil
		}},
		{"the deadline that is passed on is what is left", func(_ *recorder, _ *request, r *arrival) { r.remaining = 2 * time.Second }},
		{"the deadline that is passed on is what is left", func(_ *recorder, _ *request, r *arrival) { r.remaining = -1 }},
		{"targets that leave get no more requests", func(l *recorder, _ *request, _ *arrival) {
			l.departures = []departure{{target: "t", at: 7 * time.Second}}
		}},
		{"a configuration is in force in time", func(l *recorder, _ *request, _ *arrival) {
			l.configs = append(l.configs, storedConfig{at: 7 * time.Second, services: map[string][]string{"write": {"s1"}}})
		}},
		{"repeats stay within the budget", func(l *recorder, s *request, r *arrival) {
			s.idempotent = true
			for range retryAllowance + 2 {
				l.arrivals = append(l.arrivals, r)
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.promise, func(t *testing.T) {
			is := is.New(t)
			l, s, r := sound()
			test.spoil(l, s, r)
			for _, p := range invariants {
				is.Equal(len(p.check(l.evidence())) > 0, p.name == test.promise)
			}
		})
	}
}
