package retry

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/quantile"
)

const (
	// stragglerQuantile leaves 5% of the requests above the threshold, half of
	// the budget, so that hedges do not use up what retries need.
	stragglerQuantile = 0.95
	// minThreshold keeps scheduling delays of a few milliseconds from starting hedges.
	minThreshold = 5 * time.Millisecond
)

// StragglerDetector learns the latency above which a request of one class counts as a
// straggler.
type StragglerDetector struct{ latency *quantile.Estimator }

// NewStragglerDetector returns a threshold without samples.
func NewStragglerDetector() *StragglerDetector {
	return &StragglerDetector{latency: quantile.New(stragglerQuantile)}
}

// Add takes the time from send to answer. An attempt that was cancelled because
// another one won is added with the time it had taken until then; otherwise
// the slowest attempts would be missing and the threshold would sink.
func (s *StragglerDetector) Add(latency time.Duration) { s.latency.Add(latency) }

// Threshold returns the time after which an attempt is a straggler. It reports
// false until enough answers were seen.
func (s *StragglerDetector) Threshold() (time.Duration, bool) {
	value := s.latency.Value()
	return max(value, minThreshold), value > 0
}
