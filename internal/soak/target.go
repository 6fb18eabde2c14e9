package soak

import (
	"context"
	"fmt"
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
	targetSlots = 8
	// Service times are drawn between minWork and maxWork; on average one request in
	// tailEvery takes tailFactor times as long.
	minWork    = 5 * time.Millisecond
	maxWork    = 40 * time.Millisecond
	tailEvery  = 50
	tailFactor = 8
	// hangDuration is how long a hanging target keeps a request before it closes the
	// connection.
	hangDuration = 5 * time.Second
	// slowWork is the service time of requests on slowRoute.
	slowWork = 5400 * time.Millisecond
	// endlessPiece is the size of the pieces of a response without end, in bytes.
	endlessPiece = 64 << 10
	// maxResponsePadding limits the padding of response bodies, in bytes.
	maxResponsePadding = 3000
)

// healthPaths are the paths of probes by service. A target runs a request on the path of the
// other service like any other.
var healthPaths = map[string]string{services[0]: "/health", services[1]: "/alive"}

// behaviour is the set of faults that a target applies. Except for slowdown, each
// value is the share of requests that meet the fault. The zero value is normal.
type behaviour struct {
	// dropResponse runs the request and closes the connection without a response.
	dropResponse float64
	// truncate closes the connection in the middle of the response body.
	truncate float64
	// fail runs the request and responds with 500; reject responds with 503 and
	// reports that the request was not run.
	fail, reject float64
	// endless runs the request and responds with a body that does not end.
	endless float64
	// hang keeps the request for hangDuration without a response.
	hang float64
	// slowdown is a factor on the service time; 0 means 1.
	slowdown float64
	// pause is the time without requests for which rejections ask; 0: none.
	pause time.Duration
	// coldUntil is when a target that came back cold is warm, since the start of the fleet.
	coldUntil time.Duration
}

// target is a fake target behind a proxy. It is safe for concurrent use.
type target struct {
	listener net.Listener
	server   *http.Server
	proxy    *proxy
	recorder *recorder
	now      func() time.Duration
	dialect  gateway.Dialect
	slots    chan struct{}
	// crash is called when the target runs a request that crashes it.
	crash func()
	// eventLock serializes the events that change the target's entry in the store.
	eventLock sync.Mutex

	mu        sync.Mutex
	entry     catalog.Target
	behaviour behaviour
	// said is the advice in all responses; hideFromProbes leaves it out of those to probes.
	// Only events that hold eventLock change them.
	said           advice
	hideFromProbes bool
}

func newTarget(n network, number int, rec *recorder, now func() time.Duration, d gateway.Dialect, service string) (*target, error) {
	listener, err := net.Listen("tcp", n.address(targetSubnet, number, targetPort))
	if err != nil {
		return nil, errors.Wrap(err, "listen for target")
	}
	t := &target{listener: listener, recorder: rec, now: now, dialect: d, slots: make(chan struct{}, targetSlots)}
	if t.proxy, err = newProxy(n.address(targetProxySubnet, number, targetPort), listener.Addr().String()); err != nil {
		return nil, err
	}
	t.entry = catalog.Target{ID: "t" + strconv.Itoa(number) + "-0", Address: t.proxy.address(), Service: service, Version: "v1",
		FailureDomain: domains[number%len(domains)], Slots: targetSlots, StartUnixMS: time.Now().UnixMilli(), Sequence: 1}
	t.server = &http.Server{Handler: t}
	go func() { _ = t.server.Serve(listener) }() // ends with close
	return t, nil
}

func (t *target) close() {
	_ = t.server.Close()
	t.proxy.close()
}

// currentEntry returns a copy of the target's entry.
func (t *target) currentEntry() catalog.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entry
}

// update modifies the entry and the behaviour while it holds the lock, and
// increases the sequence number of the entry.
func (t *target) update(change func(entry *catalog.Target, b *behaviour)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.entry, &t.behaviour)
	t.entry.Sequence++
}

// ServeHTTP implements http.Handler.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	entry, b, said, hide := t.entry, t.behaviour, t.said, t.hideFromProbes
	t.mu.Unlock()
	id := r.Header.Get(t.dialect.RequestID)
	w.Header().Set(t.dialect.RequestID, id)
	w.Header().Set(t.dialect.Load, t.loadHeader(b))
	isProbe := r.URL.Path == healthPaths[entry.Service]
	if !isProbe || !hide {
		platformtest.SetAdvice(w.Header(), placement.Advice{Leaving: said.leaving, PerSecond: said.perSecond, Limited: said.perSecond > 0})
	}
	cold := b.coldUntil - t.now()
	if isProbe && cold > 0 {
		platformtest.SetWarmup(w.Header(), cold)
	}
	expected := r.Header.Get(t.dialect.ExpectedTarget)
	if isProbe && (expected == "" || expected == entry.ID) {
		w.Header().Set(t.dialect.TargetID, entry.ID)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // an incomplete request does not run
	}
	arrival := &arrival{id: id, method: r.Method, path: r.URL.RequestURI(), body: recordedBody(body), target: entry.ID,
		service: entry.Service, domain: entry.FailureDomain, arrivedAt: t.now(), remaining: -1}
	if ms, err := strconv.Atoi(r.Header.Get(t.dialect.Deadline)); err == nil {
		arrival.remaining = time.Duration(ms) * time.Millisecond
	}
	arrival.said, arrival.cold = said, cold > 0
	draw := rand.Float64()
	taken := func(share float64) bool { draw -= share; return draw < 0 }
	switch {
	case expected != "" && expected != entry.ID:
		t.reject(w, arrival, http.StatusMisdirectedRequest)
	case isCrashing(arrival.body):
		t.recorder.addArrival(arrival)
		go t.crash()
		panic(http.ErrAbortHandler)
	case taken(b.reject):
		arrival.said.pause = b.pause
		platformtest.SetAdvice(w.Header(), placement.Advice{RetryAfter: b.pause})
		t.reject(w, arrival, http.StatusServiceUnavailable)
	case taken(b.hang):
		t.recorder.addArrival(arrival)
		backoff.Sleep(r.Context(), hangDuration)
		panic(http.ErrAbortHandler)
	case taken(b.dropResponse):
		t.execute(r.Context(), arrival, b)
		panic(http.ErrAbortHandler)
	case taken(b.endless):
		t.execute(r.Context(), arrival, b)
		w.Header().Set(t.dialect.Signature, entry.ID)
		for err := error(nil); err == nil; { // until the instance closes the connection
			_, err = w.Write(make([]byte, endlessPiece))
		}
		panic(http.ErrAbortHandler)
	case taken(b.fail):
		t.execute(r.Context(), arrival, b)
		t.answer(arrival, http.StatusInternalServerError)
		w.Header().Set(t.dialect.Signature, entry.ID)
		w.WriteHeader(http.StatusInternalServerError)
	case taken(b.truncate):
		t.execute(r.Context(), arrival, b)
		response := responseFor(id)
		w.Header().Set("Content-Length", strconv.Itoa(len(response)))
		w.Header().Set(t.dialect.Signature, entry.ID)
		_, _ = io.WriteString(w, response[:len(response)/2]) // truncated on purpose
		panic(http.ErrAbortHandler)
	default:
		t.execute(r.Context(), arrival, b)
		t.answer(arrival, http.StatusOK)
		w.Header().Set(t.dialect.Signature, entry.ID)
		_, _ = io.WriteString(w, responseFor(id)) // the caller records what it receives
	}
}

func (t *target) reject(w http.ResponseWriter, arrival *arrival, status int) {
	arrival.rejected, arrival.answeredAt = true, t.now()
	t.recorder.addArrival(arrival)
	w.Header().Set(t.dialect.NotRun, "1")
	w.WriteHeader(status)
}

// answer records that the response to a request that ran is complete.
func (t *target) answer(arrival *arrival, status int) {
	t.recorder.update(func() { arrival.status, arrival.answeredAt = status, t.now() })
}

// setSaid changes the advice in all responses.
func (t *target) setSaid(a advice, hideFromProbes bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.said, t.hideFromProbes = a, hideFromProbes
}

// execute records the arrival, waits for a slot and holds it for the service time,
// or until ctx ends.
func (t *target) execute(ctx context.Context, arrival *arrival, b behaviour) {
	t.recorder.addArrival(arrival)
	t.slots <- struct{}{}
	defer func() { <-t.slots }()
	took := minWork + rand.N(maxWork-minWork)
	if rand.N(tailEvery) == 0 {
		took *= tailFactor
	}
	if strings.HasPrefix(arrival.path, "/"+slowRoute.name+"/") {
		took = slowWork
	}
	if b.slowdown > 0 {
		took = time.Duration(b.slowdown * float64(took))
	}
	backoff.Sleep(ctx, took)
}

func (t *target) loadHeader(b behaviour) string {
	return platformtest.LoadText(placement.Load{Running: len(t.slots), Slots: targetSlots, Slowness: max(1, b.slowdown)})
}

// responseFor returns the response body for a request.
func responseFor(id string) string {
	return id + strings.Repeat(".", int(xxhash.Sum64String(id)%maxResponsePadding))
}

// maxRecordedBody is the length above which a body is recorded as its hash.
const maxRecordedBody = 64 << 10

// recordedBody returns a body as it is recorded.
func recordedBody(body []byte) string {
	if len(body) > maxRecordedBody {
		return fmt.Sprintf("%d bytes with hash %x", len(body), xxhash.Sum64(body))
	}
	return string(body)
}
