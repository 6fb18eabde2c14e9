package replay

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/balancer"
	"github.com/dogwoodroute/dogwoodroute/refusal"
	"github.com/dogwoodroute/dogwoodroute/tables"
)

// Policy names a load balancing policy.
type Policy string

// Policies. Each instance chooses from its own state only, except under Ideal.
const (
	Decided    Policy = "decided"     // the Scheduler of package dispatch
	Random     Policy = "random"      // a random target
	RoundRobin Policy = "round-robin" // the targets in turn
	LeastLocal Policy = "least-local" // the fewest requests in flight from this instance
	TwoLocal   Policy = "two-local"   // the same, among two random targets
	Ideal      Policy = "ideal"       // one central queue that knows all targets
)

// Policies lists all policies, Decided first and Ideal last.
var Policies = []Policy{Decided, Random, RoundRobin, LeastLocal, TwoLocal, Ideal}

// run is the state of one policy on one trace.
type run struct {
	eventQueue
	trace   *Trace
	targets []*target
	// targetIndex maps names to indexes in targets.
	targetIndex map[string]int
	groups      groups
	result      Result
	window      retryWindow
	seconds     secondSeries
}

// dispatcher implements a Policy. It records the outcome of each request in a
// run.
type dispatcher interface {
	// arrive is called for each arrival, at its virtual time.
	arrive(*Arrival)
	// unfinished returns the number of requests that have no outcome yet.
	unfinished() int
}

// Run replays the trace under a policy. It returns an error if the policy does
// not exist or leaves a request without an outcome.
func Run(t *Trace, p Policy) (Result, error) {
	r := &run{trace: t, groups: newGroups(), targetIndex: make(map[string]int, len(t.Pool.Targets)),
		result: Result{Policy: p, Refusals: make(map[refusal.Kind]int)}}
	for i, spec := range t.Pool.Targets {
		r.targetIndex[spec.Name] = i
		r.targets = append(r.targets, &target{events: &r.eventQueue, slots: spec.Slots, queueLimit: t.Queue})
	}
	d, err := r.newDispatcher(p)
	if err != nil {
		return Result{}, err
	}
	for _, fault := range t.Faults {
		r.after(microseconds(fault.At), func() { r.targets[fault.Target].fault = fault })
	}
	if len(t.Arrivals) > 0 {
		r.after(microseconds(t.Arrivals[0].At), func() { r.deliver(d, 0) })
	}
	for r.step() {
	}
	if d.unfinished() > 0 {
		return Result{}, errors.Errorf("policy %s: %d requests have no outcome", p, d.unfinished())
	}
	r.result.Short, r.result.Long, r.result.High = r.groups.short.summary(), r.groups.long.summary(), r.groups.high.summary()
	r.result.PeakRetryShare = r.window.peakShare
	r.result.Seconds = r.seconds.finish()
	return r.result, nil
}

func (r *run) newDispatcher(p Policy) (dispatcher, error) {
	switch p {
	case Decided:
		return newFleet(r), nil
	case Ideal:
		return newIdeal(r), nil
	case Random, RoundRobin, LeastLocal, TwoLocal:
		return newBaseline(r, p), nil
	default:
		return nil, errors.Errorf("policy %q does not exist", p)
	}
}

// deliver passes arrival n to the dispatcher and schedules the next one. After
// the last one it sets BusyShare.
func (r *run) deliver(d dispatcher, n int) {
	a := &r.trace.Arrivals[n]
	for _, recorder := range r.groups.recordersFor(a) {
		recorder.outcomes.Requests++
	}
	r.window.addRequest(r.now)
	r.seconds.recordArrival(r.now)
	d.arrive(a)
	if n+1 < len(r.trace.Arrivals) {
		r.after(microseconds(r.trace.Arrivals[n+1].At)-r.now, func() { r.deliver(d, n+1) })
		return
	}
	var busy, slots time.Duration
	for _, t := range r.targets {
		busy += t.busyTime
		slots += time.Duration(t.slots)
	}
	if r.now > 0 {
		r.result.BusyShare = float64(busy) / float64(slots*r.now)
	}
}

// recordResponse records the outcome of a request that got a response.
func (r *run) recordResponse(a *Arrival, outcome balancer.Outcome) {
	latency := r.now - microseconds(a.At)
	ok, late := outcome == balancer.OutcomeOK, latency > microseconds(a.Deadline)
	r.seconds.recordResponse(microseconds(a.At), r.now, ok && !late, a.Class != tables.ClassLong)
	for _, recorder := range r.groups.recordersFor(a) {
		recorder.recordResponse(latency, ok, late)
	}
}

// recordRefusal records that a request was refused.
func (r *run) recordRefusal(a *Arrival, kind refusal.Kind) {
	r.result.Refusals[kind]++
	r.seconds.recordRefusal(microseconds(a.At))
	for _, recorder := range r.groups.recordersFor(a) {
		recorder.outcomes.Refused++
	}
}

// send starts an attempt, which reaches the target one network delay later.
// extra is true for retries and hedged attempts. done is called when the
// response reaches the instance, even if the attempt was canceled in transit.
func (r *run) send(a *Arrival, index int, extra bool, done func(balancer.Outcome, balancer.Report)) *job {
	r.result.Attempts++
	delay := r.trace.delay(a.Instance, index)
	j := &job{class: a.Class, service: microseconds(a.Service)}
	if extra {
		j.service = microseconds(a.RetryService)
	}
	j.done = func(outcome balancer.Outcome, report balancer.Report) {
		if outcome == balancer.OutcomeShed {
			r.result.Sheds++
		}
		r.after(delay, func() { done(outcome, report) })
	}
	r.after(delay, func() { r.targets[index].arrive(j) })
	return j
}
