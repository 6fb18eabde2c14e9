package standin

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dogwoodroute/dogwoodroute/wire"
)

// Request headers that control how a Target handles a request.
const (
	HeaderClass = "Standin-Class" // "long" counts as long-running in the load report
	HeaderFault = "Standin-Fault" // name of a Fault
)

// TargetOptions configures a Target.
type TargetOptions struct {
	// Name is the first word of each response body.
	Name string
	// Slots is the number of requests that run at the same time. Default 4.
	Slots int
	// Queue is the number of requests that can wait for a slot. The target sheds
	// requests beyond it. Default 0.
	Queue int
	// ServiceTime returns the service time of a request. Default 1 ms.
	ServiceTime func(*http.Request) time.Duration
	// ColdFor is the time after the start in which the target is cold. Service
	// times are then multiplied by a factor that falls from ColdFactor to 1.
	// Default 0.
	ColdFor    time.Duration
	ColdFactor float64
	// Fault returns the fault for a request; if empty, HeaderFault applies.
	// Default none.
	Fault func(*http.Request) Fault
	// Downtime is how long a crashed target refuses connections. Default 50 ms.
	Downtime time.Duration
	// ModifyReport replaces a load report before it is sent, to test false reports.
	// Default unchanged.
	ModifyReport func(wire.Load) wire.Load
	// MaxReportAge is the age at which a load report is renewed; until then the
	// same report is sent. Default 0, always current.
	MaxReportAge time.Duration
}

// Target is a fake target with a fixed number of slots. It records the requests that
// it ran. It is safe for concurrent use.
type Target struct {
	options     TargetOptions
	started     time.Time
	slots       chan struct{}
	inFlight    atomic.Int64
	long        atomic.Int64
	shed        atomic.Int64
	probes      atomic.Int64
	draining    atomic.Bool
	failing     atomic.Bool
	slow        atomic.Int64 // percent
	reportCache reportCache
	record      record
	listener    restartable

	mu        sync.Mutex
	responded chan struct{} // closed by the next response
}

// NewTarget returns a target without a listener. The caller serves it with an
// http.Server; StartTarget does both.
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
	t := &Target{options: o, started: time.Now(), slots: make(chan struct{}, o.Slots), responded: make(chan struct{})}
	t.slow.Store(100)
	return t
}

// Drain makes the target report in its responses that it is draining. It still runs
// requests.
func (t *Target) Drain() { t.draining.Store(true) }

// SetFailing makes the target respond with 500 immediately, without running
// requests.
func (t *Target) SetFailing(failing bool) { t.failing.Store(failing) }

// SetSlowdown sets a factor on service times. 1 is normal.
func (t *Target) SetSlowdown(factor float64) { t.slow.Store(int64(factor * 100)) }

// Probes returns the number of probes that were received.
func (t *Target) Probes() int64 { return t.probes.Load() }

// Shed returns the number of requests that were shed.
func (t *Target) Shed() int64 { return t.shed.Load() }

// InFlight returns the number of requests that are running or queued.
func (t *Target) InFlight() int64 { return t.inFlight.Load() }

// ServeHTTP runs a request, or responds to a probe with a load report. The response
// body of a run is a line with the target's name and the request identifier, followed
// by the request body. It rejects what names another target.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if meant := r.Header.Get(wire.HeaderTarget); meant != "" && meant != t.options.Name {
		w.Header().Set(wire.HeaderTargetExecution, wire.ExecutionNotRun)
		w.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == wire.PathProbe {
		t.probes.Add(1)
		t.setReport(w.Header())
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if t.failing.Load() {
		t.setReport(w.Header())
		w.WriteHeader(http.StatusInternalServerError)
		// The caller detects a short body, and checks that the response is for its request.
		_, _ = w.Write(append([]byte(t.options.Name+" "+r.Header.Get(wire.HeaderRequestID)+"\n"), body...))
		return
	}
	done, ok := t.admit(r)
	if !ok {
		t.shed.Add(1)
		t.setReport(w.Header())
		w.Header().Set(wire.HeaderTargetExecution, wire.ExecutionNotRun)
		w.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
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

// admit counts a request as in flight if the slots and the queue have room for it.
// The caller must call done when the request has ended.
func (t *Target) admit(r *http.Request) (done func(), ok bool) {
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

// run runs a request for its service time, unless it is cancelled, and responds with
// its fault.
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
	case <-time.After(t.serviceTime(r)):
	case <-r.Context().Done():
		t.record.end(run, RunCancelled)
		return
	}
	t.record.end(run, RunFinished)
	t.setReport(w.Header())
	t.respond(w, r, fault, append([]byte(t.options.Name+" "+run.RequestID+"\n"), body...))
}

// serviceTime returns the service time of a request with the current slowdown.
func (t *Target) serviceTime(r *http.Request) time.Duration {
	factor := float64(t.slow.Load()) / 100
	if left := t.options.ColdFor - time.Since(t.started); left > 0 {
		factor *= 1 + (t.options.ColdFactor-1)*float64(left)/float64(t.options.ColdFor)
	}
	return time.Duration(float64(t.options.ServiceTime(r)) * factor)
}
