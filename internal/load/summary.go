package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dogwoodroute/dogwoodroute/internal/checker"
	"github.com/dogwoodroute/dogwoodroute/internal/replay"
	"github.com/dogwoodroute/dogwoodroute/refusal"
)

const (
	// maxLatency is the highest latency in the histogram; higher ones are lowered
	// to it.
	maxLatency        = 10 * time.Minute
	significantDigits = 3
	// maxFailures limits the length of Summary.Failures.
	maxFailures = 3
)

// Summary contains the outcomes of a group of calls. Refused counts refusals.
// Errors counts responses with a status other than 200 and calls without a response
// or refusal.
type Summary struct {
	replay.Outcomes
	// Failed counts calls without a response or refusal. They are part of Errors.
	Failed   int                  `json:"failed"`
	Refusals map[refusal.Kind]int `json:"refusals"`
	// Failures contains the errors of the first failed calls.
	Failures []string `json:"failures,omitempty"`
	// P90 and Max are latencies in milliseconds.
	P90 float64 `json:"p90_ms"`
	Max float64 `json:"max_ms"`
}

// Summarize returns the summary of the calls for which include returns true. Only
// calls with a response, of any status, count for the latencies.
func Summarize(calls []Call, include func(*Call) bool) Summary {
	s := Summary{Refusals: make(map[refusal.Kind]int)}
	histogram := hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
	for i := range calls {
		c := &calls[i]
		if !include(c) {
			continue
		}
		s.Requests++
		s.count(c)
		if c.Outcome == checker.Responded {
			_ = histogram.RecordValue(min(c.Latency(), maxLatency).Microseconds()) // the value is in range
		}
	}
	s.Mean, s.P50 = millis(int64(histogram.Mean())), millis(histogram.ValueAtQuantile(50))
	s.P99, s.P999 = millis(histogram.ValueAtQuantile(99)), millis(histogram.ValueAtQuantile(99.9))
	s.P90, s.Max = millis(histogram.ValueAtQuantile(90)), millis(histogram.Max())
	return s
}

func (s *Summary) count(c *Call) {
	switch {
	case c.OK():
		s.OK++
	case c.Outcome == checker.Refused:
		s.Refused++
		s.Refusals[c.Kind]++
	case c.Outcome == checker.Failed:
		s.Failed++
		s.Errors++
		if len(s.Failures) < maxFailures {
			s.Failures = append(s.Failures, c.Reason)
		}
	case c.Late:
		s.Late++
	default:
		s.Errors++
	}
}

func millis(microseconds int64) float64 { return float64(microseconds) / 1000 }
