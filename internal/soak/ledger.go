package soak

import (
	"sync"
	"time"
)

// request is one request as its caller sent it.
type request struct {
	id, method, path, body string
	route                  string
	idempotent             bool
	instance               string
	timeout               time.Duration
	sentAt, endedAt            time.Duration
	// status is 0 when the connection ended without a whole answer.
	status int
	signed bool
	responseBody string
	failure    string
}

// arrival is one arrival at a target.
type arrival struct {
	id, method, path, body string
	target, service        string
	arrivedAt                     time.Duration
	// remaining is the deadline that was passed on, -1 without one.
	remaining time.Duration
	// rejected is set when the target did not run the request.
	rejected bool
	status   int
}

// faultWindow is a span of a fault.
type faultWindow struct {
	name     string
	from, to time.Duration
	// planned is set for work that must not harm requests.
	planned bool
}

// departure is the moment at which the store knew that a target leaves.
type departure struct {
	target string
	at     time.Duration
}

// recorder holds what callers, targets and the schedule saw. It is safe for
// concurrent use.
type recorder struct {
	mu           sync.Mutex
	requests        []*request
	arrivals         []*arrival
	faultWindows []faultWindow
	departures   []departure
	configs      []storedConfig
}

// storedConfig is a configuration that the store has acknowledged.
type storedConfig struct {
	at time.Duration
	// services holds the services that each route names.
	services map[string][]string
}

func (l *recorder) addRequest(s *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, s)
}

// update alters a record under the lock.
func (l *recorder) update(alter func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	alter()
}

func (l *recorder) addArrival(r *arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, r)
}

func (l *recorder) addFaultWindow(d faultWindow) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faultWindows = append(l.faultWindows, d)
}

func (l *recorder) addDeparture(target string, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.departures = append(l.departures, departure{target: target, at: at})
}

func (l *recorder) addConfig(c storedConfig) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.configs = append(l.configs, c)
}
