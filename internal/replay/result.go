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

// Result holds the figures of one policy on one trace.
type Result struct {
	Policy Policy `json:"policy"`
	// Short and Long are the requests by class. High is the part of Short with
	// priority high.
	Short Outcomes `json:"short"`
	Long  Outcomes `json:"long"`
	High  Outcomes `json:"high"`
	// Attempts counts all attempts, Retries and Hedges included.
	Attempts int `json:"sends"`
	Retries  int `json:"retries"`
	Hedges   int `json:"hedges"`
	Probes   int `json:"probes"`
	Sheds    int `json:"sheds"`
	// PeakRetryShare is the largest ratio of retries and hedged attempts to
	// requests in any 10 s. Periods with fewer than 100 requests are left out.
	PeakRetryShare float64 `json:"peak_retry_share"`
	// Refusals by kind.
	Refusals map[refusal.Kind]int `json:"refusals"`
	// Seconds holds the figures of each second since the start.
	Seconds []Second `json:"seconds"`
	// BusyShare is the share of all slot time until the last arrival that was
	// used by attempts which had ended by then.
	BusyShare float64 `json:"busy_share"`
}

// Outcomes holds counts and latencies of a group of requests. Latencies are in
// milliseconds, from the arrival at the instance until the instance has the
// response. They include error responses but not refusals.
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

func (r *recorder) recordResponse(latency time.Duration, ok, late bool) {
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

func (r *recorder) summary() Outcomes {
	o := r.outcomes
	millis := func(microseconds int64) float64 { return float64(microseconds) / 1000 }
	o.Mean = float64(int64(r.histogram.Mean())) / 1000
	o.P50 = millis(r.histogram.ValueAtQuantile(50))
	o.P99 = millis(r.histogram.ValueAtQuantile(99))
	o.P999 = millis(r.histogram.ValueAtQuantile(99.9))
	return o
}

// groups holds a recorder for each group of Result.
type groups struct{ short, long, high *recorder }

func newGroups() groups { return groups{newRecorder(), newRecorder(), newRecorder()} }

func (g groups) recordersFor(a *Arrival) []*recorder {
	switch {
	case a.Class == tables.ClassLong:
		return []*recorder{g.long}
	case a.Priority == tables.PriorityHigh:
		return []*recorder{g.short, g.high}
	default:
		return []*recorder{g.short}
	}
}

// Second holds the figures of one second. All but Completed are of the requests
// that arrived in it.
type Second struct {
	Requests int `json:"requests"`
	OK       int `json:"ok"`
	// Failed counts late responses, errors and refusals.
	Failed int `json:"failed"`
	// Completed counts the requests of any second that were completed within
	// their deadline in this one.
	Completed int `json:"completed"`
	// P99 is the 99th percentile latency of short requests, in milliseconds.
	P99 float64 `json:"p99_ms"`
}

// secondSeries collects the figures of each second.
type secondSeries struct {
	seconds    []Second
	histograms []*hdrhistogram.Histogram
}

func (b *secondSeries) index(t time.Duration) int {
	n := int(t / time.Second)
	for len(b.seconds) <= n {
		b.seconds = append(b.seconds, Second{})
		b.histograms = append(b.histograms, newRecorder().histogram)
	}
	return n
}

func (b *secondSeries) recordArrival(t time.Duration) { b.seconds[b.index(t)].Requests++ }

func (b *secondSeries) recordRefusal(arrival time.Duration) { b.seconds[b.index(arrival)].Failed++ }

func (b *secondSeries) recordResponse(arrival, now time.Duration, inTime, short bool) {
	n := b.index(arrival)
	if inTime {
		b.seconds[n].OK++
	} else {
		b.seconds[n].Failed++
	}
	if short {
		_ = b.histograms[n].RecordValue(min(now-arrival, maxLatency).Microseconds()) // in range
	}
	if inTime {
		b.seconds[b.index(now)].Completed++
	}
}

func (b *secondSeries) finish() []Second {
	for n := range b.seconds {
		b.seconds[n].P99 = float64(b.histograms[n].ValueAtQuantile(99)) / 1000
	}
	return b.seconds
}
