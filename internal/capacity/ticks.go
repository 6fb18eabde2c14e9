package capacity

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dogwoodroute/dogwoodroute/admin"
	"github.com/dogwoodroute/dogwoodroute/balancer"
	"github.com/dogwoodroute/dogwoodroute/dispatch"
	"github.com/dogwoodroute/dogwoodroute/tables"
	"github.com/dogwoodroute/dogwoodroute/wire"
)

// measureTicks measures a scheduler's tick and snapshot against its targets,
// and the processor time of idle decision tasks against their number.
func measureTicks(r *run) error {
	for _, targets := range r.options.Targets {
		s, now := newScheduler(newPool("p", 0, targets), 20), time.Duration(0)
		pool := newPool("p", 0, targets)
		tick := measurePerCall(r.stepDuration(400), func() { now += dispatch.TickInterval; s.Tick(now) })
		report := measurePerCall(r.stepDuration(400), func() {
			snapshot := s.Snapshot(now)
			admin.NewPool(&pool, &snapshot)
		})
		r.add(ComponentControl, "processor time of one tick of an idle pool", "µs", "targets in the pool", targets, tick.cpuMicros)
		r.add(ComponentControl, "processor time of one snapshot of a pool", "µs", "targets in the pool", targets, report.cpuMicros)
		r.add(ComponentControl, "allocations of one snapshot of a pool", "", "targets in the pool", targets, report.allocations)
	}
	for _, pools := range []int{5, 10, 20, 35, 50} {
		u, err := r.idleTaskUsage(pools)
		if err != nil {
			return err
		}
		r.add(ComponentControl, "processor time of idle decision tasks", "µs/s", "pools", pools, u.cpuMicros/u.elapsed.Seconds())
	}
	return nil
}

// idleTaskUsage returns the usage of the decision tasks of a number of pools that
// get no requests.
func (r *run) idleTaskUsage(pools int) (usage, error) {
	ctx, stop := context.WithCancel(context.Background())
	var ended sync.WaitGroup
	defer ended.Wait()
	defer stop()
	started := time.Now()
	for p := range pools {
		task := dispatch.NewTask(dispatch.TaskOptions{Scheduler: newScheduler(newPool("p", p, 11), 20),
			Now: func() time.Duration { return time.Since(started) }, Probe: failedProbe})
		ended.Go(func() { task.Run(ctx) })
	}
	var err error
	u := measure(func() { err = r.sleep(r.stepDuration(80)) })
	return u, err
}

func failedProbe(_ context.Context, target, _ string) balancer.ProbeResult {
	return balancer.ProbeResult{Target: target}
}

// grantedProbes returns the number of probes that one instance sends to the pools
// of designTargets targets each second. It is simulated in virtual time.
func grantedProbes(instances int, callsPerSecond, perRequest float64) float64 {
	const step, seconds = 5 * time.Millisecond, 20
	d, err := parsedDocument(designTargets)
	if err != nil {
		panic(err) // impossible: the document is valid
	}
	granted := uint64(0)
	for _, pool := range d.Pools {
		pool.Measure.ProbesPerRequest = &perRequest
		b := balancer.New(balancer.Options{Pool: pool, Rand: rand.New(rand.NewPCG(1, 2))})
		b.SetFleet(0, balancer.Fleet{Instances: instances})
		perStep, due := callsPerSecond/float64(instances*len(d.Pools))*step.Seconds(), 0.0
		for now := step; now <= seconds*time.Second; now += step {
			for due += perStep; due >= 1; due-- {
				b.Arrived(now)
				completeRequest(b, now)
			}
			b.Probes(now, nil)
		}
		granted += b.ProbeStats().Granted
	}
	return float64(granted) / seconds
}

// completeRequest sends a request to a target and completes it immediately. The
// response carries a load report, so that the target needs no idle probes.
func completeRequest(b *balancer.Balancer, now time.Duration) {
	choice, ok := b.Pick(now, balancer.PickOptions{Class: tables.ClassShort})
	if !ok {
		return
	}
	b.Sent(now, choice.Index, tables.ClassShort)
	b.Responded(now, choice.Index, time.Millisecond, balancer.OutcomeOK,
		balancer.Report{HasLoad: true, Load: wire.Load{InFlight: 1, Slots: 4}})
	b.Ended(now, choice.Index, tables.ClassShort, balancer.OutcomeOK)
}
