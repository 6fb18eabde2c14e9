package soak

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/gateway"
	"github.com/dogwoodroute/dogwoodroute/internal/backoff"
	"github.com/dogwoodroute/dogwoodroute/placement"
	"github.com/dogwoodroute/dogwoodroute/platform/platformtest"
)

const (
	healthPath  = "/health"
	targetSlots = 8
	// minWork and longWork bound most work; one request in tailEvery takes
	// tailFactor times as long.
	minWork  = 5 * time.Millisecond
	maxWork   = 40 * time.Millisecond
	tailEvery  = 50
	tailFactor = 8
	// hangDuration is how long a target that hangs keeps a request.
	hangDuration = 5 * time.Second
	// maxResponsePadding bounds the length of answers.
	maxResponsePadding = 3000
)

// behaviour is how a target answers: shares of its requests.
type behaviour struct {
	// dropResponse runs the request and resets the connection.
	dropResponse float64
	// truncate breaks off in the middle of the answer.
	truncate float64
	// fail answers 500, reject says that it did not run the request.
	fail, reject float64
	// hang keeps the request for hangTime.
	hang float64
	// slowdown multiplies the work; 0 is as usual.
	slowdown float64
}

// target is a stand-in of one target, behind a link. It is safe for concurrent use.
type target struct {
	listener net.Listener
	server   *http.Server
	proxy     *proxy
	recorder   *recorder
	now      func() time.Duration
	dialect  gateway.Dialect
	slots    chan struct{}
	// eventLock is held by the one eventLock that changes the target's place in the store.
	eventLock sync.Mutex

	mu        sync.Mutex
	entry     catalog.Target
	behaviour behaviour
}

func newTarget(n network, number int, l *recorder, now func() time.Duration, d gateway.Dialect, service string) (*target, error) {
	listener, err := net.Listen("tcp", n.address(targetSubnet, number, targetPort))
	if err != nil {
		return nil, errors.Wrap(err, "listen for a target")
	}
	t := &target{listener: listener, recorder: l, now: now, dialect: d, slots: make(chan struct{}, targetSlots)}
	if t.proxy, err = newProxy(n.address(targetProxySubnet, number, targetPort), listener.Addr().String()); err != nil {
		return nil, err
	}
	t.entry = catalog.Target{ID: "t" + strconv.Itoa(number) + "-0", Address: t.proxy.address(), Service: service, Version: "v1",
		FailureDomain: domains[number%len(domains)], Slots: targetSlots, Sequence: 1}
	t.server = &http.Server{Handler: t}
	go func() { _ = t.server.Serve(listener) }() // ends with close
	return t, nil
}

func (t *target) close() {
	_ = t.server.Close()
	t.proxy.close()
}

// currentEntry returns the entry as the store should have it.
func (t *target) currentEntry() catalog.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entry
}

// update changes the entry and the behaviour.
func (t *target) update(change func(entry *catalog.Target, b *behaviour)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.entry, &t.behaviour)
	t.entry.Sequence++
}

// ServeHTTP implements http.Handler.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	entry, b := t.entry, t.behaviour
	t.mu.Unlock()
	id := r.Header.Get(t.dialect.RequestID)
	w.Header().Set(t.dialect.RequestID, id)
	w.Header().Set(t.dialect.Load, t.loadHeader(b))
	if r.URL.Path == healthPath {
		w.Header().Set(t.dialect.TargetID, entry.ID)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the request is not whole, so it does not run
	}
	arrival := &arrival{id: id, method: r.Method, path: r.URL.RequestURI(), body: string(body), target: entry.ID,
		service: entry.Service, arrivedAt: t.now(), remaining: -1}
	if ms, err := strconv.Atoi(r.Header.Get(t.dialect.Deadline)); err == nil {
		arrival.remaining = time.Duration(ms) * time.Millisecond
	}
	draw := rand.Float64()
	taken := func(share float64) bool { draw -= share; return draw < 0 }
	switch {
	case r.Header.Get(t.dialect.ExpectedTarget) != entry.ID:
		t.reject(w, arrival, http.StatusMisdirectedRequest)
	case taken(b.reject):
		t.reject(w, arrival, http.StatusServiceUnavailable)
	case taken(b.hang):
		t.recorder.addArrival(arrival)
		backoff.Sleep(r.Context(), hangDuration)
		panic(http.ErrAbortHandler)
	case taken(b.dropResponse):
		t.execute(r.Context(), arrival, b)
		panic(http.ErrAbortHandler)
	case taken(b.fail):
		t.execute(r.Context(), arrival, b)
		t.recorder.update(func() { arrival.status = http.StatusInternalServerError })
		w.Header().Set(t.dialect.Signature, entry.ID)
		w.WriteHeader(http.StatusInternalServerError)
	case taken(b.truncate):
		t.execute(r.Context(), arrival, b)
		answer := responseFor(id)
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		w.Header().Set(t.dialect.Signature, entry.ID)
		_, _ = io.WriteString(w, answer[:len(answer)/2]) // broken off on purpose
		panic(http.ErrAbortHandler)
	default:
		t.execute(r.Context(), arrival, b)
		t.recorder.update(func() { arrival.status = http.StatusOK })
		w.Header().Set(t.dialect.Signature, entry.ID)
		_, _ = io.WriteString(w, responseFor(id)) // the caller's side records what arrives
	}
}

func (t *target) reject(w http.ResponseWriter, arrival *arrival, status int) {
	arrival.rejected = true
	t.recorder.addArrival(arrival)
	w.Header().Set(t.dialect.NotRun, "1")
	w.WriteHeader(status)
}

// execute runs the request in one of the slots.
func (t *target) execute(ctx context.Context, arrival *arrival, b behaviour) {
	t.recorder.addArrival(arrival)
	t.slots <- struct{}{}
	defer func() { <-t.slots }()
	took := minWork + rand.N(maxWork-minWork)
	if rand.N(tailEvery) == 0 {
		took *= tailFactor
	}
	if b.slowdown > 0 {
		took = time.Duration(b.slowdown * float64(took))
	}
	backoff.Sleep(ctx, took)
}

func (t *target) loadHeader(b behaviour) string {
	return platformtest.LoadText(placement.Load{Running: len(t.slots), Slots: targetSlots, Slowness: max(1, b.slowdown)})
}

// responseFor is the body with which a target answers a request.
func responseFor(id string) string {
	return id + strings.Repeat(".", int(xxhash.Sum64String(id)%maxResponsePadding))
}
