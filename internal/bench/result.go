package bench

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/checker"
	"github.com/dogwoodroute/dogwoodroute/internal/harness"
	"github.com/dogwoodroute/dogwoodroute/internal/load"
	"github.com/dogwoodroute/dogwoodroute/internal/replay"
	"github.com/dogwoodroute/dogwoodroute/internal/standin"
)

// Result holds the figures of one scenario, from the live run and the replays.
type Result struct {
	Scenario string  `json:"scenario"`
	Summary  string  `json:"summary"`
	Note     string  `json:"note,omitempty"`
	Seed     uint64  `json:"seed"`
	Seconds  float64 `json:"seconds"`
	// Live has an entry for each pool, the main pool first.
	Live []PoolResult `json:"live"`
	// Replayed has the results of all policies on the arrivals of the main pool,
	// in virtual time.
	Replayed []replay.Result   `json:"replayed"`
	Verdicts []checker.Verdict `json:"verdicts"`
	// Crashes counts the executions that crashed a target.
	Crashes int `json:"crashed"`
	// PeakGoodput is the share of all slot time that went to requests completed in
	// time, during the load peak. Zero if the scenario has none, or if the run
	// ended before its end.
	PeakGoodput float64 `json:"peak_useful,omitempty"`
	// Trace is the trace of the live run, for replay.
	Trace *replay.Trace `json:"-"`
}

// PoolResult holds the figures of one pool in a live run: outcomes as its callers
// saw them, and counts of its targets.
type PoolResult struct {
	Pool  string       `json:"pool"`
	Short load.Summary `json:"short"`
	High  load.Summary `json:"high"`
	Long  load.Summary `json:"long"`
	// Runs counts executions at the targets. ExtraAttempts counts those of them
	// that were retries or hedged requests.
	Runs          int   `json:"runs"`
	ExtraAttempts int   `json:"again"`
	Probes        int64 `json:"probes"`
	Sheds         int64 `json:"sheds"`
	// BusyShare is the time of all executions as a share of all slot time in the
	// duration of the arrivals.
	BusyShare float64 `json:"busy_share"`
}

func newPoolResult(run *harness.Run, stream int, pool string, slotsEach int, length time.Duration) PoolResult {
	group := func(accept func(load.Kind) bool) load.Summary {
		return load.Summarize(run.Calls, func(c *load.Call) bool { return c.Stream == stream && accept(c.RequestKind) })
	}
	l := PoolResult{Pool: pool,
		Short: group(func(k load.Kind) bool { return k != load.History }),
		High:  group(func(k load.Kind) bool { return k == load.Record }),
		Long:  group(func(k load.Kind) bool { return k == load.History })}
	var busy, slots time.Duration
	for _, target := range run.Fleet.Targets() {
		if target.Pool != pool {
			continue
		}
		slots += time.Duration(slotsEach)
		l.Probes += target.Probes()
		l.Sheds += target.Shed()
		for _, r := range target.RecordedRuns() {
			l.Runs++
			busy += r.End.Sub(r.Start)
			if r.Attempt != "1" {
				l.ExtraAttempts++
			}
		}
	}
	l.BusyShare = float64(busy) / float64(slots*length)
	return l
}

// countCrashes counts the executions that crashed a target.
func countCrashes(run *harness.Run) (n int) {
	for _, target := range run.Fleet.Targets() {
		for _, r := range target.RecordedRuns() {
			if r.State == standin.RunCrashed {
				n++
			}
		}
	}
	return n
}
