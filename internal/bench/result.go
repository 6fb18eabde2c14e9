package bench

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/checker"
	"github.com/dogwoodroute/dogwoodroute/internal/harness"
	"github.com/dogwoodroute/dogwoodroute/internal/load"
	"github.com/dogwoodroute/dogwoodroute/internal/replay"
	"github.com/dogwoodroute/dogwoodroute/internal/standin"
)

// Result is one scenario, live and replayed.
type Result struct {
	Scenario string  `json:"scenario"`
	Summary  string  `json:"summary"`
	Note     string  `json:"note,omitempty"`
	Seed     uint64  `json:"seed"`
	Seconds  float64 `json:"seconds"`
	// Live has a line for each pool, the main one first.
	Live []PoolResult `json:"live"`
	// Replayed are policies on the arrivals of the main pool, in virtual time.
	Replayed []replay.Result   `json:"replayed"`
	Verdicts []checker.Verdict `json:"verdicts"`
	// Crashes counts runs that crashed a target.
	Crashes int `json:"crashed"`
	// PeakGoodput is the part of all slots that was spent on requests answered in
	// time, during the peak. Zero without a peak.
	PeakGoodput float64 `json:"peak_useful,omitempty"`
	// Trace is the recorded run.
	Trace *replay.Trace `json:"-"`
}

// PoolResult is what the callers of one pool saw and what its targets counted.
type PoolResult struct {
	Pool  string       `json:"pool"`
	Short load.Summary `json:"short"`
	High  load.Summary `json:"high"`
	Long  load.Summary `json:"long"`
	// Runs counts executions. Again is the part of them that were retries or
	// hedged requests.
	Runs          int   `json:"runs"`
	ExtraAttempts int   `json:"again"`
	Probes        int64 `json:"probes"`
	Sheds         int64 `json:"sheds"`
	// BusyShare is the used part of all slots over the length of the arrivals.
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

// countCrashes counts the runs that countCrashes a target.
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
