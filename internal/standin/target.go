package standin

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dogwoodroute/dogwoodroute/wire"
)

// Headers of a request that change how a Target treats it.
const (
	HeaderClass = "Standin-Class" // "long" counts in the load report
	HeaderFault = "Standin-Fault" // a Fault
)

// TargetOptions configure a Target.
type TargetOptions struct {
	// Name is returned in each answer.
	Name string
	// Slots is the number of requests run at the same time. Default 4.
	Slots int
	// Queue is the number of requests that wait for a slot before the target
	// sheds. Default 0.
	Queue int
	// ServiceTime returns the time that a request runs. Default 1 ms.
	ServiceTime func(*http.Request) time.Duration
	// ColdFor is the time after the start in which the target is cold; service
	// then takes up to ColdFactor times as long. Default 0.
	ColdFor    time.Duration
	ColdFactor float64
	// Fault chooses a fault for a request, beside HeaderFault. Default none.
	Fault func(*http.Request) Fault
	// Downtime is the time in which a crashed target refuses connections. Default 50 ms.
	Downtime time.Duration
	// ModifyReport changes a load report before it is sent, for lies. Default as it is.
	ModifyReport func(wire.Load) wire.Load
	// MaxReportAge is the age that reports may reach. Default 0.
	MaxReportAge time.Duration
}

// Target is a server with a fixed number of slots that records what it ran. It
// is safe for concurrent use.
type Target struct {
	options  TargetOptions
	started  time.Time
	slots    chan struct{}
	inFlight atomic.Int64
	long     atomic.Int64
	shed     atomic.Int64
	probes   atomic.Int64
	draining atomic.Bool
	failing  atomic.Bool
	slow     atomic.Int64 // percent
	lagged   lagged
	record   record
	listener restartable

	mu       sync.Mutex
	overtake chan struct{} // closed by the next answer
}

// NewTarget returns a target; serve it with an http.Server or use StartTarget.
func NewTarget(o TargetOptions) *Target {
	if o.Slots == 0 {
		o.Slots = 4
	}
	if o.ServiceTime == nil {
		o.ServiceTime = func(*http.Request) time.Duration { return time.Millisecond }
	}
	if o.Fault == nil {
		o.Fault = func(*http.Request) Fault { return "" }
	}
	if o.ModifyReport == nil {
		o.ModifyReport = func(l wire.Load) wire.Load { return l }
	}
	if o.Downtime == 0 {
		o.Downtime = 50 * time.Millisecond
	}
	t := &Target{options: o, started: time.Now(), slots: make(chan struct{}, o.Slots), overtake: make(chan struct{})}
	t.slow.Store(100)
	return t
}

// Drain makes the target announce that it is draining.
func (t *Target) Drain() { t.draining.Store(true) }

// SetFailing makes the target answer 500 at once, without running requests.
func (t *Target) SetFailing(failing bool) { t.failing.Store(failing) }

// SetSlowdown multiplies service times by a factor. 1 is normal.
func (t *Target) SetSlowdown(factor float64) { t.slow.Store(int64(factor * 100)) }

// Probes returns the number of probes answered.
func (t *Target) Probes() int64 { return t.probes.Load() }

// Shed returns the number of requests shed.
func (t *Target) Shed() int64 { return t.shed.Load() }

// InFlight returns the number of requests running and queued.
func (t *Target) InFlight() int64 { return t.inFlight.Load() }

// ServeHTTP runs a request, or answers a probe. A run echoes the request body
// after the target's name and the request identifier.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == wire.PathProbe {
		t.probes.Add(1)
		t.report(w.Header())
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if t.failing.Load() {
		t.report(w.Header())
		w.WriteHeader(http.StatusInternalServerError)
		// The caller sees a short body, and checks that the answer is its own.
		_, _ = w.Write(append([]byte(t.options.Name+" "+r.Header.Get(wire.HeaderRequestID)+"\n"), body...))
		return
	}
	done, ok := t.enter(r)
	if !ok {
		t.shed.Add(1)
		t.report(w.Header())
		w.Header().Set(wire.HeaderTargetExecution, wire.ExecutionNotRun)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer done()
	select {
	case t.slots <- struct{}{}:
		defer func() { <-t.slots }()
	case <-r.Context().Done():
		return
	}
	t.run(w, r, body)
}

// enter takes a place in the slots or the queue.
func (t *Target) enter(r *http.Request) (done func(), ok bool) {
	if t.inFlight.Add(1) > int64(t.options.Slots+t.options.Queue) {
		t.inFlight.Add(-1)
		return nil, false
	}
	if r.Header.Get(HeaderClass) != "long" {
		return func() { t.inFlight.Add(-1) }, true
	}
	t.long.Add(1)
	return func() { t.long.Add(-1); t.inFlight.Add(-1) }, true
}

// run works on a request for its service time, unless it is cancelled.
func (t *Target) run(w http.ResponseWriter, r *http.Request, body []byte) {
	run := t.record.start(r)
	fault := t.options.Fault(r)
	if fault == "" {
		fault = Fault(r.Header.Get(HeaderFault))
	}
	if fault == FaultCrash {
		t.record.end(run, RunCrashed)
		t.Crash()
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(t.service(r)):
	case <-r.Context().Done():
		t.record.end(run, RunCancelled)
		return
	}
	t.record.end(run, RunFinished)
	t.report(w.Header())
	t.answer(w, r, fault, append([]byte(t.options.Name+" "+run.RequestID+"\n"), body...))
}

// service returns the time that a request takes now.
func (t *Target) service(r *http.Request) time.Duration {
	factor := float64(t.slow.Load()) / 100
	if left := t.options.ColdFor - time.Since(t.started); left > 0 {
		factor *= 1 + (t.options.ColdFactor-1)*float64(left)/float64(t.options.ColdFor)
	}
	return time.Duration(float64(t.options.ServiceTime(r)) * factor)
}
