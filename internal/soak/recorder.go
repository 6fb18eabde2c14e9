package soak

import (
	"sync"
	"time"
)

// request is one request as its caller sent it, and the outcome. Times are
// relative to the start of the fleet.
type request struct {
	id, method, path, body string
	route                  string
	idempotent             bool
	instance               string
	timeout                time.Duration
	sentAt, endedAt        time.Duration
	// status is 0 without a complete response. Then, and when the response is not
	// for this request, failure says why.
	status int
	// signed is true when the response carries a target's signature.
	signed       bool
	signer       string // the target that the signature names
	responseBody string
	failure      string
}

// arrival is a request as a target received it.
type arrival struct {
	id, method, path, body string
	target, service        string
	domain                 string // of the target
	cold                   bool   // the target was cold
	arrivedAt              time.Duration
	// remaining is the forwarded deadline as time left, or -1 without one.
	remaining time.Duration
	// rejected is true when the target did not run the request.
	rejected bool
	// status of a complete response to a request that ran, otherwise 0.
	status int
	// said is the advice in the response, which was written at answeredAt; 0 without a
	// complete response.
	said       advice
	answeredAt time.Duration
}

// faultWindow is the time during which an event was active.
type faultWindow struct {
	name     string
	from, to time.Duration
	// planned is true for operations that must not make requests fail.
	planned bool
}

// disturbance is a time at which an instance was started or got a signal other than SIGHUP.
type disturbance struct {
	instance string
	at       time.Duration
}

// departure is the time at which the store was updated with a target that drains
// or is removed.
type departure struct {
	target string
	at     time.Duration
}

// recorder collects the records of callers, targets, events and configurations of
// a run. It is safe for concurrent use.
type recorder struct {
	mu           sync.Mutex
	requests     []*request
	arrivals     []*arrival
	faultWindows []faultWindow
	stalls       []faultWindow // times in which this process did not run
	departures   []departure
	disturbances []disturbance
	limits       []namedLimit
	configs      []storedConfig
	evacuations  []evacuation
}

// storedConfig is a configuration that was written to the store.
type storedConfig struct {
	at time.Duration
	// services maps each route to the services that it names.
	services map[string][]string
}

func (rec *recorder) addRequest(req *request) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.requests = append(rec.requests, req)
}

// update runs a function that modifies a record while it holds the lock.
func (rec *recorder) update(alter func()) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	alter()
}

func (rec *recorder) addArrival(r *arrival) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.arrivals = append(rec.arrivals, r)
}

func (rec *recorder) addFaultWindow(d faultWindow) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.faultWindows = append(rec.faultWindows, d)
}

func (rec *recorder) addStall(s faultWindow) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.stalls = append(rec.stalls, s)
}

func (rec *recorder) addDeparture(target string, at time.Duration) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.departures = append(rec.departures, departure{target: target, at: at})
}

func (rec *recorder) addDisturbance(instance string, at time.Duration) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.disturbances = append(rec.disturbances, disturbance{instance: instance, at: at})
}

func (rec *recorder) addLimit(l namedLimit) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.limits = append(rec.limits, l)
}

func (rec *recorder) addEvacuation(e evacuation) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.evacuations = append(rec.evacuations, e)
}

func (rec *recorder) addConfig(c storedConfig) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.configs = append(rec.configs, c)
}
