package soak

import (
	"sync"
	"time"
)

// send is one request as its caller sent it.
type send struct {
	id, method, path, body string
	route                  string
	idempotent             bool
	instance               string
	patience               time.Duration
	sent, ended            time.Duration
	// status is 0 when the connection ended without a whole answer.
	status int
	signed bool
	answer string
	err    string
}

// run is one arrival at a target.
type run struct {
	id, method, path, body string
	target, service        string
	at                     time.Duration
	// left is the deadline that was passed on, -1 without one.
	left time.Duration
	// rejected is set when the target did not run the request.
	rejected bool
	status   int
}

// disturbance is a span of a fault.
type disturbance struct {
	what     string
	from, to time.Duration
	// planned is set for work that must not harm requests.
	planned bool
}

// departure is the moment at which the store knew that a target leaves.
type departure struct {
	target string
	at     time.Duration
}

// ledger holds what callers, targets and the schedule saw. It is safe for
// concurrent use.
type ledger struct {
	mu           sync.Mutex
	sends        []*send
	runs         []*run
	disturbances []disturbance
	departures   []departure
	configs      []configured
}

// configured is a configuration that the store has acknowledged.
type configured struct {
	at time.Duration
	// services holds the services that each route names.
	services map[string][]string
}

func (l *ledger) sent(s *send) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sends = append(l.sends, s)
}

// change alters a record under the lock.
func (l *ledger) change(alter func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	alter()
}

func (l *ledger) arrived(r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

func (l *ledger) disturbed(d disturbance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.disturbances = append(l.disturbances, d)
}

func (l *ledger) left(target string, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.departures = append(l.departures, departure{target: target, at: at})
}

func (l *ledger) configured(c configured) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.configs = append(l.configs, c)
}
