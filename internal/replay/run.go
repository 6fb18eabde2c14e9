package replay

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/balancer"
	"github.com/dogwoodroute/dogwoodroute/refusal"
	"github.com/dogwoodroute/dogwoodroute/tables"
)

// Policy names what decides.
type Policy string

// Policies. Decided is the product's own decision code.
const (
	Decided    Policy = "decided"
	Random     Policy = "random"
	RoundRobin Policy = "round-robin"
	LeastLocal Policy = "least-local"
	TwoLocal   Policy = "two-local"
	Ideal      Policy = "ideal"
)

// Policies lists all policies, the decided one first and the ideal last.
var Policies = []Policy{Decided, Random, RoundRobin, LeastLocal, TwoLocal, Ideal}

// run is one policy on one trace.
type run struct {
	timeline
	trace   *Trace
	targets []*target
	// targetIndex maps names to positions in targets.
	targetIndex map[string]int
	groups      groups
	result      Result
	window      retryWindow
	seconds     bySecond
}

// decider takes arrivals.
type decider interface {
	// arrive is called at the time of the arrival.
	arrive(*Arrival)
	// open returns the number of requests that have no answer yet.
	open() int
}

// Run replays the trace under a policy.
func Run(t *Trace, p Policy) (Result, error) {
	r := &run{trace: t, groups: newGroups(), targetIndex: make(map[string]int, len(t.Pool.Targets)),
		result: Result{Policy: p, Refusals: make(map[refusal.Kind]int)}}
	for i, spec := range t.Pool.Targets {
		r.targetIndex[spec.Name] = i
		r.targets = append(r.targets, &target{timeline: &r.timeline, slots: spec.Slots, limit: t.Queue})
	}
	d, err := r.decider(p)
	if err != nil {
		return Result{}, err
	}
	for _, fault := range t.Faults {
		r.after(microseconds(fault.At), func() { r.targets[fault.Target].fault = fault })
	}
	if len(t.Arrivals) > 0 {
		r.after(microseconds(t.Arrivals[0].At), func() { r.feed(d, 0) })
	}
	for r.step() {
	}
	if d.open() > 0 {
		return Result{}, errors.Errorf("policy %s: %d requests have no outcome", p, d.open())
	}
	r.result.Short, r.result.Long, r.result.High = r.groups.short.result(), r.groups.long.result(), r.groups.high.result()
	r.result.PeakRetryShare = r.window.peak
	r.result.Seconds = r.seconds.result()
	return r.result, nil
}

func (r *run) decider(p Policy) (decider, error) {
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

// feed hands arrival n to the decider and schedules the next one.
func (r *run) feed(d decider, n int) {
	a := &r.trace.Arrivals[n]
	for _, recorder := range r.groups.of(a) {
		recorder.outcomes.Requests++
	}
	r.window.request(r.now)
	r.seconds.arrived(r.now)
	d.arrive(a)
	if n+1 < len(r.trace.Arrivals) {
		r.after(microseconds(r.trace.Arrivals[n+1].At)-r.now, func() { r.feed(d, n+1) })
		return
	}
	var busy, slots time.Duration
	for _, t := range r.targets {
		busy += t.busy
		slots += time.Duration(t.slots)
	}
	if r.now > 0 {
		r.result.BusyShare = float64(busy) / float64(slots*r.now)
	}
}

// ended records the outcome of an answered request.
func (r *run) ended(a *Arrival, outcome balancer.Outcome) {
	latency := r.now - microseconds(a.At)
	ok, late := outcome == balancer.OutcomeOK, latency > microseconds(a.Deadline)
	r.seconds.answered(microseconds(a.At), r.now, ok && !late, a.Class != tables.ClassLong)
	for _, recorder := range r.groups.of(a) {
		recorder.answered(latency, ok, late)
	}
}

// refused records a refusal.
func (r *run) refused(a *Arrival, kind refusal.Kind) {
	r.result.Refusals[kind]++
	r.seconds.refused(microseconds(a.At))
	for _, recorder := range r.groups.of(a) {
		recorder.outcomes.Refused++
	}
}

// send starts an attempt at a target; done runs at the instance.
func (r *run) send(a *Arrival, index int, again bool, done func(balancer.Outcome, balancer.Report)) *job {
	r.result.Attempts++
	delay := r.trace.delay(a.Instance, index)
	j := &job{class: a.Class, service: microseconds(a.Service)}
	if again {
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
