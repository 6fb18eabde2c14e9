package soak

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// sound returns a ledger of one request that went well.
func sound() (*ledger, *send, *run) {
	s := &send{id: "x", method: "POST", path: "/write/x", body: "b", route: "write", patience: time.Second, sent: 10 * time.Second,
		ended: 10*time.Second + 50*time.Millisecond, status: http.StatusOK, signed: true, answer: answerOf("x")}
	r := &run{id: "x", method: "POST", path: "/write/x", body: "b", target: "t", service: "s0", at: s.sent, left: time.Second,
		status: http.StatusOK}
	l := &ledger{sends: []*send{s}, runs: []*run{r}, configs: []configured{{services: map[string][]string{"write": {"s0"}}}},
		disturbances: []disturbance{{what: "kill", from: time.Minute, to: time.Minute}}}
	return l, s, r
}

// Guards against a soak that passes because a check sees nothing: each case
// breaks one promise, and exactly that one must be found.
func TestEachPromiseIsSeenBroken(t *testing.T) {
	tests := []struct {
		promise string
		spoil   func(l *ledger, s *send, r *run)
	}{
		{"", func(*ledger, *send, *run) {}},
		{"every success is the target's whole answer to that request", func(_ *ledger, s *send, _ *run) { s.answer = s.answer[1:] }},
		{"every success is the target's whole answer to that request", func(_ *ledger, s *send, _ *run) { s.signed = false }},
		{"every success is the target's whole answer to that request", func(_ *ledger, s *send, _ *run) { s.err = "of another" }},
		{"every success is the target's whole answer to that request", func(l *ledger, _ *send, _ *run) { l.runs = nil }},
		{"a target's failure is passed on as it was", func(_ *ledger, s *send, r *run) { s.status, r.status = 500, 504 }},
		{"targets get only what callers sent", func(_ *ledger, _ *send, r *run) { r.body = "c" }},
		{"targets get only what callers sent", func(l *ledger, _ *send, r *run) {
			stray := *r
			stray.id = "y"
			l.runs = append(l.runs, &stray)
		}},
		{"a request that may run once runs once", func(l *ledger, _ *send, r *run) { l.runs = append(l.runs, r) }},
		{"a refusal says truly that the request has not run", func(_ *ledger, s *send, _ *run) { s.status, s.signed = 503, false }},
		{"a request runs at a service of its route", func(l *ledger, _ *send, _ *run) {
			l.configs[0].services["write"] = []string{"s1"}
			l.disturbances[0].from = 0 // the promise on time does not hold
		}},
		{"planned work cuts no request", func(_ *ledger, s *send, _ *run) { s.status = 0 }},
		{"planned work cuts no request", func(_ *ledger, s *send, _ *run) { s.status, s.signed = 502, false }},
		{"routes that every configuration has are known", func(l *ledger, s *send, _ *run) {
			s.status, s.signed, l.runs = 404, false, nil
		}},
		{"the deadline that is passed on is what is left", func(_ *ledger, _ *send, r *run) { r.left = 2 * time.Second }},
		{"the deadline that is passed on is what is left", func(_ *ledger, _ *send, r *run) { r.left = -1 }},
		{"targets that leave get no more requests", func(l *ledger, _ *send, _ *run) {
			l.departures = []departure{{target: "t", at: 7 * time.Second}}
		}},
		{"a configuration is in force in time", func(l *ledger, _ *send, _ *run) {
			l.configs = append(l.configs, configured{at: 7 * time.Second, services: map[string][]string{"write": {"s1"}}})
		}},
		{"repeats stay within the budget", func(l *ledger, s *send, r *run) {
			s.idempotent = true
			for range retryAllowance + 2 {
				l.runs = append(l.runs, r)
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.promise, func(t *testing.T) {
			is := is.New(t)
			l, s, r := sound()
			test.spoil(l, s, r)
			for _, p := range promises {
				is.Equal(len(p.check(l.book())) > 0, p.name == test.promise)
			}
		})
	}
}
