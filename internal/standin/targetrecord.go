package standin

import (
	"net/http"
	"sync"
	"time"

	"github.com/dogwoodroute/dogwoodroute/wire"
)

// RunState is the state of a run.
type RunState string

// States of a run.
const (
	RunRunning   RunState = "running"
	RunFinished  RunState = "finished"
	RunCancelled RunState = "cancelled"
	RunCrashed   RunState = "crashed"
)

// Run is one execution of a request by a Target.
type Run struct {
	RequestID string
	// Attempt is the value of the request's attempt header.
	Attempt    string
	Start, End time.Time
	State      RunState
}

// record is the list of a target's runs in the order of their start.
type record struct {
	mu   sync.Mutex
	runs []*Run
}

func (r *record) start(request *http.Request) *Run {
	run := &Run{RequestID: request.Header.Get(wire.HeaderRequestID), Attempt: request.Header.Get(wire.HeaderAttempt),
		Start: time.Now(), State: RunRunning}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run)
	return run
}

func (r *record) end(run *Run, state RunState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.End, run.State = time.Now(), state
}

// RecordedRuns returns copies of the runs so far, in the order of their start.
func (t *Target) RecordedRuns() []Run {
	t.record.mu.Lock()
	defer t.record.mu.Unlock()
	runs := make([]Run, 0, len(t.record.runs))
	for _, run := range t.record.runs {
		runs = append(runs, *run)
	}
	return runs
}

// RunCounts returns the number of runs of each request, by its identifier.
func (t *Target) RunCounts() map[string]int {
	runs := make(map[string]int)
	for _, run := range t.RecordedRuns() {
		runs[run.RequestID]++
	}
	return runs
}

// reportCache keeps a load report until it has reached a given age.
type reportCache struct {
	mu   sync.Mutex
	at   time.Time
	load wire.Load
}

// get returns the cached report, after replacing it with load if it has reached the
// given age.
func (l *reportCache) get(load wire.Load, age time.Duration) wire.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.Sub(l.at) >= age {
		l.at, l.load = now, load
	}
	return l.load
}

// setReport sets the headers with the target's load and state.
func (t *Target) setReport(h http.Header) {
	inFlight := int(t.inFlight.Load())
	load := wire.Load{InFlight: inFlight, Slots: t.options.Slots, Queued: max(0, inFlight-t.options.Slots),
		Long: int(t.long.Load())}
	load = t.options.ModifyReport(t.reportCache.get(load, t.options.MaxReportAge))
	h.Set(wire.HeaderTargetLoad, load.String())
	state := wire.TargetServing
	switch {
	case t.draining.Load():
		state = wire.TargetDraining
	case time.Since(t.started) < t.options.ColdFor:
		state = wire.TargetCold
	}
	h.Set(wire.HeaderTargetState, string(state))
}
