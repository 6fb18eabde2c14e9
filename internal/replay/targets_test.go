package replay_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/replay"
	"github.com/dogwoodroute/dogwoodroute/tables"
)

// The limits in this file are the targets of docs/design.md, section 2.3.

// seeds of the workloads. A single seed can meet a limit by chance.
var seeds = []uint64{1, 2, 3}

// forEachSeed runs a check for every seed, in parallel.
func forEachSeed(t *testing.T, name string, check func(t *testing.T, seed uint64)) {
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("%s/seed %d", name, seed), func(t *testing.T) {
			t.Parallel()
			check(t, seed)
		})
	}
}

func run(t *testing.T, trace *replay.Trace, p replay.Policy) replay.Result {
	t.Helper()
	result, err := replay.Run(trace, p)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// atMost logs a value and its limit, and fails the test if it is above.
func atMost(t *testing.T, what string, value, limit float64) {
	t.Helper()
	t.Logf("%s: %.4g, limit %.4g", what, value, limit)
	if value > limit {
		t.Errorf("%s is %.4g, at most %.4g is allowed", what, value, limit)
	}
}

// Guards against a tail latency far above that of an ideal central queue, or
// above that of a baseline policy.
func TestTailLatency(t *testing.T) {
	for _, load := range []float64{0.7, 0.85} {
		for _, workload := range []func(uint64, float64) replay.Workload{replay.Instituto, replay.Calorvigia} {
			forEachSeed(t, fmt.Sprintf("%s/%g", workload(0, load).Name, load), func(t *testing.T, seed uint64) {
				checkTail(t, replay.Generate(workload(seed, load)))
			})
		}
	}
}

func checkTail(t *testing.T, trace *replay.Trace) {
	decided := run(t, trace, replay.Decided).Short
	ideal := run(t, trace, replay.Ideal).Short
	atMost(t, "p99 in ms", decided.P99, 1.25*ideal.P99)
	atMost(t, "p99.9 in ms", decided.P999, 1.25*ideal.P999)
	for _, p := range []replay.Policy{replay.Random, replay.RoundRobin, replay.LeastLocal, replay.TwoLocal} {
		baseline := run(t, trace, p).Short
		atMost(t, "p99 in ms compared with "+string(p), decided.P99, baseline.P99)
		atMost(t, "p99.9 in ms compared with "+string(p), decided.P999, baseline.P999)
	}
}

// Guards against head-of-line blocking: short requests that wait behind long
// ones.
func TestHeadOfLineBlocking(t *testing.T) {
	forEachSeed(t, "mixed", func(t *testing.T, seed uint64) {
		trace := replay.Generate(replay.Mixed(seed, 0.6))
		shortOnly := &replay.Trace{Header: trace.Header}
		for _, a := range trace.Arrivals {
			if a.Class == tables.ClassShort {
				shortOnly.Arrivals = append(shortOnly.Arrivals, a)
			}
		}
		mixed, alone := run(t, trace, replay.Decided), run(t, shortOnly, replay.Decided)
		atMost(t, "p99 of short requests in ms", mixed.Short.P99, 1.2*alone.Short.P99)
		atMost(t, "long requests not completed in time", float64(mixed.Long.Requests-mixed.Long.OK), 0.01*float64(mixed.Long.Requests))
	})
}

// Guards against a collapse of throughput at three times the capacity, against
// urgent requests that are lost in it, and against a slow recovery, for several
// lengths of the targets' queues.
func TestCrest(t *testing.T) {
	for _, queue := range []int{2, 4, 8, 64} {
		forEachSeed(t, fmt.Sprintf("target queue %d", queue), func(t *testing.T, seed uint64) {
			w := replay.Crest(seed)
			w.Queue = queue
			checkCrest(t, w)
		})
	}
}

func checkCrest(t *testing.T, w replay.Workload) {
	result := run(t, replay.Generate(w), replay.Decided)
	meanService := w.MeanService.Seconds() * (1 + w.StragglerShare*(w.StragglerFactor-1))
	capacity := float64(w.Targets*w.Slots) / meanService
	const peakStart, peakEnd, recoveredAt = 6, 10, 12
	completed := 0
	for _, second := range result.Seconds[peakStart:peakEnd] {
		completed += second.Completed
	}
	atMost(t, "capacity lost during the load peak", 1-float64(completed)/(capacity*(peakEnd-peakStart)), 0.05)
	atMost(t, "high priority requests not completed in time", 1-float64(result.High.OK)/float64(result.High.Requests), 0.001)
	atMost(t, "p99 in ms after the load peak", meanP99(result.Seconds[recoveredAt:16]), 1.25*meanP99(result.Seconds[1:4]))
	failed := 0
	for _, second := range result.Seconds[recoveredAt:16] {
		failed += second.Failed
	}
	atMost(t, "requests failed after the load peak", float64(failed), 0)
}

func meanP99(seconds []replay.Second) float64 {
	sum := 0.0
	for _, s := range seconds {
		sum += s.P99
	}
	return sum / float64(len(seconds))
}

// Guards against a failing or slow target that keeps receiving requests.
func TestBrokenTarget(t *testing.T) {
	const onset = 5
	for _, workload := range []func(uint64) replay.Workload{replay.FailFast, replay.Slowdown} {
		forEachSeed(t, workload(0).Name, func(t *testing.T, seed uint64) {
			w := workload(seed)
			second := run(t, replay.Generate(w), replay.Decided).Seconds[onset]
			atMost(t, "share failed or late in the first second", float64(second.Failed)/float64(second.Requests), 1/float64(w.Targets))
		})
	}
}

// Guards against retries and hedged attempts that multiply the load when targets
// fail.
func TestRetryBudget(t *testing.T) {
	for _, w := range []replay.Workload{replay.HalfFailing(1), replay.Crest(1)} {
		t.Run(w.Name, func(t *testing.T) {
			atMost(t, "share of retries and hedges", run(t, replay.Generate(w), replay.Decided).PeakRetryShare, 0.1)
		})
	}
}

// probeCost is the time that a target is assumed to spend on a probe. The fake
// target of package standin needs less over loopback.
const probeCost = 50 * time.Microsecond

// Guards against probes that exceed their budget, also in a fleet with twice the
// usual number of instances.
func TestMeasurementCost(t *testing.T) {
	for _, instances := range []int{18, 36} {
		w := replay.Instituto(1, 0.85)
		w.Instances = instances
		trace := replay.Generate(w)
		result := run(t, trace, replay.Decided)
		probes := float64(result.Probes)
		atMost(t, "share of the targets' time", probes*probeCost.Seconds()/(w.Duration.Seconds()*float64(w.Targets*w.Slots)), 0.01)
		atMost(t, "probes per request", probes/float64(len(trace.Arrivals)), trace.Pool.Measure.PerRequest())
		atMost(t, "probes per target and second", probes/w.Duration.Seconds()/float64(w.Targets), trace.Pool.Measure.PerTargetPerSecond())
	}
}
