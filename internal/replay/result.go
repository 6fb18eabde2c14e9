package replay

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dogwoodroute/dogwoodroute/refusal"
	"github.com/dogwoodroute/dogwoodroute/tables"
)

// Range and precision of latency histograms.
const (
	maxLatency        = 10 * time.Minute
	significantDigits = 3
)

// Result is the outcome of one policy on one trace.
type Result struct {
	Policy Policy `json:"policy"`
	// Short and Long hold the classes; High holds short requests of high priority.
	Short Outcomes `json:"short"`
	Long  Outcomes `json:"long"`
	High  Outcomes `json:"high"`
	// Attempts counts attempts; Retries and Hedges are part of them.
	Attempts int `json:"sends"`
	Retries  int `json:"retries"`
	Hedges   int `json:"hedges"`
	Probes   int `json:"probes"`
	Sheds    int `json:"sheds"`
	// PeakRetryShare is the largest share of retries and hedges in the requests
	// of any 10 s.
	PeakRetryShare float64 `json:"peak_retry_share"`
	// Refusals by kind.
	Refusals map[refusal.Kind]int `json:"refusals"`
	// Seconds holds the requests by the second in which they arrived.
	Seconds []Second `json:"seconds"`
	// BusyShare is the used part of all slots until the last arrival.
	BusyShare float64 `json:"busy_share"`
}

// Outcomes are counts and latencies of a group of requests. Latencies run from
// arrival at the instance to the answer at the instance, in milliseconds, of
// answered requests.
type Outcomes struct {
	Requests int     `json:"requests"`
	OK       int     `json:"ok"`
	Errors   int     `json:"errors"`
	Refused  int     `json:"refused"`
	Late     int     `json:"late"`
	Mean     float64 `json:"mean_ms"`
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
	P999     float64 `json:"p999_ms"`
}

// recorder collects the outcomes of a group.
type recorder struct {
	outcomes  Outcomes
	histogram *hdrhistogram.Histogram
}

func newRecorder() *recorder {
	return &recorder{histogram: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)}
}

func (r *recorder) answered(latency time.Duration, ok, late bool) {
	switch {
	case !ok:
		r.outcomes.Errors++
	case late:
		r.outcomes.Late++
	default:
		r.outcomes.OK++
	}
	_ = r.histogram.RecordValue(min(latency, maxLatency).Microseconds()) // in range
}

func (r *recorder) result() Outcomes {
	o := r.outcomes
	millis := func(microseconds int64) float64 { return float64(microseconds) / 1000 }
	o.Mean = float64(int64(r.histogram.Mean())) / 1000
	o.P50 = millis(r.histogram.ValueAtQuantile(50))
	o.P99 = millis(r.histogram.ValueAtQuantile(99))
	o.P999 = millis(r.histogram.ValueAtQuantile(99.9))
	return o
}

// groups routes each request to the recorders that it counts in.
type groups struct{ short, long, high *recorder }

func newGroups() groups { return groups{newRecorder(), newRecorder(), newRecorder()} }

func (g groups) of(a *Arrival) []*recorder {
	switch {
	case a.Class == tables.ClassLong:
		return []*recorder{g.long}
	case a.Priority == tables.PriorityHigh:
		return []*recorder{g.short, g.high}
	default:
		return []*recorder{g.short}
	}
}

// Second counts the requests that arrived within one second.
type Second struct {
	Requests int `json:"requests"`
	OK       int `json:"ok"`
	// Failed counts late answers, errors and refusals.
	Failed int `json:"failed"`
	// Completed counts the good answers that came in this second.
	Completed int `json:"completed"`
	// P99 is that of short requests, in milliseconds.
	P99 float64 `json:"p99_ms"`
}

// bySecond collects Seconds.
type bySecond struct {
	seconds    []Second
	histograms []*hdrhistogram.Histogram
}

func (b *bySecond) at(t time.Duration) int {
	n := int(t / time.Second)
	for len(b.seconds) <= n {
		b.seconds = append(b.seconds, Second{})
		b.histograms = append(b.histograms, newRecorder().histogram)
	}
	return n
}

func (b *bySecond) arrived(t time.Duration) { b.seconds[b.at(t)].Requests++ }

func (b *bySecond) refused(arrival time.Duration) { b.seconds[b.at(arrival)].Failed++ }

func (b *bySecond) answered(arrival, now time.Duration, good, short bool) {
	n := b.at(arrival)
	if good {
		b.seconds[n].OK++
	} else {
		b.seconds[n].Failed++
	}
	if short {
		_ = b.histograms[n].RecordValue(min(now-arrival, maxLatency).Microseconds()) // in range
	}
	if good {
		b.seconds[b.at(now)].Completed++
	}
}

func (b *bySecond) result() []Second {
	for n := range b.seconds {
		b.seconds[n].P99 = float64(b.histograms[n].ValueAtQuantile(99)) / 1000
	}
	return b.seconds
}
