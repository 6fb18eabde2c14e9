package bench

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// OverheadResult holds the figures of Overhead.
type OverheadResult struct {
	Seed    uint64  `json:"seed"`
	Seconds float64 `json:"seconds"`
	// Rate is the rate of each path, in calls per second.
	Rate    int        `json:"rate"`
	Direct  PathResult `json:"direct"`
	Through PathResult `json:"through"`
	// AddedP50 and AddedP99 are the differences of the percentiles of Through and
	// Direct, in milliseconds.
	AddedP50 float64 `json:"added_p50_ms"`
	AddedP99 float64 `json:"added_p99_ms"`
	// AddedCPUMicros is the difference of the CPU times per call, in microseconds.
	AddedCPUMicros float64 `json:"added_cpu_us"`
	// IdleBytes and LoadedBytes are the resident memory of the whole process,
	// with callers, instance and target, before and after the load.
	IdleBytes   int64 `json:"idle_bytes"`
	LoadedBytes int64 `json:"loaded_bytes"`
}

// PathResult holds the figures of calls on one path: directly to the target or
// through the instance. Latencies are in milliseconds since the scheduled time.
type PathResult struct {
	Calls  int     `json:"calls"`
	Failed int     `json:"failed"`
	P50    float64 `json:"p50_ms"`
	P99    float64 `json:"p99_ms"`
	P999   float64 `json:"p999_ms"`
	// CPUMicros is the CPU time of the whole process per call while only this
	// path is used, in microseconds.
	CPUMicros float64 `json:"cpu_us"`
}

func (p *callPath) summary() PathResult {
	millis := func(quantile float64) float64 { return float64(p.histogram.ValueAtQuantile(quantile)) / 1000 }
	return PathResult{Calls: p.sent, Failed: p.failed, P50: millis(50), P99: millis(99), P999: millis(99.9)}
}

// WriteText writes the result as text with a table.
func (r *OverheadResult) WriteText(w io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "overhead: one instance, one target, %d calls/s of each kind for %.0f s, seed %d\n\n", r.Rate, r.Seconds, r.Seed)
	table := tabwriter.NewWriter(&text, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "\tcalls\tfailed\tp50 ms\tp99 ms\tp99.9 ms\tCPU µs per call\t") // a Builder never fails
	for _, path := range []struct {
		name string
		PathResult
	}{{"direct", r.Direct}, {"through", r.Through}} {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%.3f\t%.3f\t%.3f\t%.0f\t\n", path.name, path.Calls, path.Failed, path.P50, path.P99, path.P999, path.CPUMicros)
	}
	_, _ = fmt.Fprintf(table, "added\t\t\t%.3f\t%.3f\t\t%.0f\t\n", r.AddedP50, r.AddedP99, r.AddedCPUMicros)
	_ = table.Flush()
	fmt.Fprintf(&text, "\nResident memory of the process (callers, instance and target): %.1f MB idle, %.1f MB after the load.\n",
		float64(r.IdleBytes)/1e6, float64(r.LoadedBytes)/1e6)
	text.WriteString("CPU time was measured for the whole process, with one kind of call at a time.\n")
	_, err := io.WriteString(w, text.String())
	return err
}
