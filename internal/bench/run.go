package bench

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/checker"
	"github.com/dogwoodroute/dogwoodroute/internal/harness"
	"github.com/dogwoodroute/dogwoodroute/internal/load"
	"github.com/dogwoodroute/dogwoodroute/internal/replay"
	"github.com/dogwoodroute/dogwoodroute/internal/testbed"
)

// longPool is the name of the side pool, which runs long requests only.
const longPool = "long"

// Run runs a scenario and replays its arrivals under all policies. It returns an
// error if the options are invalid or a step fails; violated invariants are not
// errors but part of Result.Verdicts.
func Run(ctx context.Context, s Scenario, o Options) (*Result, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	start := time.Now()
	plan := s.plan(&o)
	run, err := harness.Execute(ctx, plan)
	if err != nil {
		return nil, err
	}
	defer run.Close()
	trace := recordedTrace(run, plan.Streams[0].Trace)
	result := &Result{Scenario: s.Name, Summary: s.Summary, Note: s.note, Seed: o.Seed, Seconds: plan.Duration.Seconds(),
		Trace: trace, Verdicts: checker.Check(run.Evidence()), Crashes: countCrashes(run)}
	if s.loadPeak[1] > 0 && plan.Duration >= s.loadPeak[1] {
		result.PeakGoodput = goodput(run.Calls, trace, s.loadPeak)
	}
	for n, stream := range plan.Streams {
		result.Live = append(result.Live, newPoolResult(run, n, stream.Pool, plan.Fleet.Pools[n].Slots, plan.Duration))
	}
	result.Replayed, err = replay.Compare(trace, replay.Policies, func(p replay.Policy) {
		if o.Progress != nil {
			o.Progress(time.Since(start), "replaying the same arrivals: "+string(p))
		}
	})
	return result, err
}

// plan returns the fleet, arrivals and steps of the scenario.
func (s *Scenario) plan(o *Options) harness.Plan {
	w := s.workload(o.Seed)
	w.Name = s.Name
	if o.Duration > 0 {
		w.Duration = o.Duration
	}
	p := harness.Plan{Duration: w.Duration, Seed: o.Seed, Progress: o.Progress,
		Fleet: testbed.Options{Instances: w.Instances, Domains: w.Domains}}
	if s.steps != nil {
		p.Steps = s.steps(&w)
		w.Faults = harness.Faults(p.Steps, w.Duration)
	}
	addStream := func(name string, w replay.Workload) {
		trace := replay.Generate(w)
		pool, routes := harness.Pool(name, trace)
		p.Fleet.Pools = append(p.Fleet.Pools, pool)
		p.Fleet.Routes = append(p.Fleet.Routes, routes...)
		p.Streams = append(p.Streams, load.Stream{Pool: name, Trace: trace})
	}
	addStream(s.Name, w)
	if s.sidePool != nil {
		longWorkload := s.sidePool(o.Seed)
		longWorkload.Duration = w.Duration
		addStream(longPool, longWorkload)
	}
	if s.adjustFleet != nil {
		s.adjustFleet(&p.Fleet)
	}
	return p
}

// recordedTrace returns the trace of a run: the generated arrivals of the main
// pool, with the instances that the callers chose. Requests without a response
// keep the generated instance.
func recordedTrace(run *harness.Run, generated *replay.Trace) *replay.Trace {
	trace := &replay.Trace{Header: generated.Header}
	trace.Arrivals = append(trace.Arrivals, generated.Arrivals...)
	for i := range run.Calls {
		c := &run.Calls[i]
		if c.Stream != 0 || c.Instance == "" {
			continue
		}
		index, err := strconv.Atoi(strings.TrimPrefix(c.Instance, "i"))
		if err == nil && index < len(trace.Domains) {
			trace.Arrivals[c.Arrival].Instance = index
		}
	}
	return trace
}
