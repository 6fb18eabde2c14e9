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
	// shortWork and longWork bound most work; one request in tailEvery takes
	// tailFactor times as long.
	shortWork  = 5 * time.Millisecond
	longWork   = 40 * time.Millisecond
	tailEvery  = 50
	tailFactor = 8
	// hangTime is how long a target that hangs keeps a request.
	hangTime = 5 * time.Second
	// maxAnswerFill bounds the length of answers.
	maxAnswerFill = 3000
)

// behaviour is how a target answers: shares of its requests.
type behaviour struct {
	// lose runs the request and resets the connection.
	lose float64
	// spoil breaks off in the middle of the answer.
	spoil float64
	// fail answers 500, reject says that it did not run the request.
	fail, reject float64
	// hang keeps the request for hangTime.
	hang float64
	// slow multiplies the work; 0 is as usual.
	slow float64
}

// target is a stand-in of one target, behind a link. It is safe for concurrent use.
type target struct {
	listener net.Listener
	server   *http.Server
	path     *link
	ledger   *ledger
	now      func() time.Duration
	dialect  gateway.Dialect
	slots    chan struct{}
	// event is held by the one event that changes the target's place in the store.
	event sync.Mutex

	mu        sync.Mutex
	entry     catalog.Target
	behaviour behaviour
}

func newTarget(n network, number int, l *ledger, now func() time.Duration, d gateway.Dialect, service string) (*target, error) {
	listener, err := net.Listen("tcp", n.address(targetPart, number, targetPort))
	if err != nil {
		return nil, errors.Wrap(err, "listen for a target")
	}
	t := &target{listener: listener, ledger: l, now: now, dialect: d, slots: make(chan struct{}, targetSlots)}
	if t.path, err = newLink(n.address(pathPart, number, targetPort), listener.Addr().String()); err != nil {
		return nil, err
	}
	t.entry = catalog.Target{ID: "t" + strconv.Itoa(number) + "-0", Address: t.path.address(), Service: service, Version: "v1",
		FailureDomain: domains[number%len(domains)], Slots: targetSlots, Sequence: 1}
	t.server = &http.Server{Handler: t}
	go func() { _ = t.server.Serve(listener) }() // ends with close
	return t, nil
}

func (t *target) close() {
	_ = t.server.Close()
	t.path.close()
}

// identity returns the entry as the store should have it.
func (t *target) identity() catalog.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entry
}

// alter changes the entry and the behaviour.
func (t *target) alter(change func(entry *catalog.Target, b *behaviour)) {
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
	w.Header().Set(t.dialect.Load, t.load(b))
	if r.URL.Path == healthPath {
		w.Header().Set(t.dialect.TargetID, entry.ID)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the request is not whole, so it does not run
	}
	arrival := &run{id: id, method: r.Method, path: r.URL.RequestURI(), body: string(body), target: entry.ID,
		service: entry.Service, at: t.now(), left: -1}
	if ms, err := strconv.Atoi(r.Header.Get(t.dialect.Deadline)); err == nil {
		arrival.left = time.Duration(ms) * time.Millisecond
	}
	draw := rand.Float64()
	taken := func(share float64) bool { draw -= share; return draw < 0 }
	switch {
	case r.Header.Get(t.dialect.ExpectedTarget) != entry.ID:
		t.refuse(w, arrival, http.StatusMisdirectedRequest)
	case taken(b.reject):
		t.refuse(w, arrival, http.StatusServiceUnavailable)
	case taken(b.hang):
		t.ledger.arrived(arrival)
		backoff.Sleep(r.Context(), hangTime)
		panic(http.ErrAbortHandler)
	case taken(b.lose):
		t.work(r.Context(), arrival, b)
		panic(http.ErrAbortHandler)
	case taken(b.fail):
		t.work(r.Context(), arrival, b)
		t.ledger.change(func() { arrival.status = http.StatusInternalServerError })
		w.Header().Set(t.dialect.Signature, entry.ID)
		w.WriteHeader(http.StatusInternalServerError)
	case taken(b.spoil):
		t.work(r.Context(), arrival, b)
		answer := answerOf(id)
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		w.Header().Set(t.dialect.Signature, entry.ID)
		_, _ = io.WriteString(w, answer[:len(answer)/2]) // broken off on purpose
		panic(http.ErrAbortHandler)
	default:
		t.work(r.Context(), arrival, b)
		t.ledger.change(func() { arrival.status = http.StatusOK })
		w.Header().Set(t.dialect.Signature, entry.ID)
		_, _ = io.WriteString(w, answerOf(id)) // the caller's side records what arrives
	}
}

func (t *target) refuse(w http.ResponseWriter, arrival *run, status int) {
	arrival.rejected = true
	t.ledger.arrived(arrival)
	w.Header().Set(t.dialect.NotRun, "1")
	w.WriteHeader(status)
}

// work runs the request in one of the slots.
func (t *target) work(ctx context.Context, arrival *run, b behaviour) {
	t.ledger.arrived(arrival)
	t.slots <- struct{}{}
	defer func() { <-t.slots }()
	took := shortWork + rand.N(longWork-shortWork)
	if rand.N(tailEvery) == 0 {
		took *= tailFactor
	}
	if b.slow > 0 {
		took = time.Duration(b.slow * float64(took))
	}
	backoff.Sleep(ctx, took)
}

func (t *target) load(b behaviour) string {
	return platformtest.LoadText(placement.Load{Running: len(t.slots), Slots: targetSlots, Slowness: max(1, b.slow)})
}

// answerOf is the body with which a target answers a request.
func answerOf(id string) string {
	return id + strings.Repeat(".", int(xxhash.Sum64String(id)%maxAnswerFill))
}
