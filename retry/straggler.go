package retry

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/quantile"
)

const (
	// stragglerQuantile is the latency quantile used as threshold. The 5% of the
	// requests above it use at most half of the budget for hedging, which leaves
	// the other half for retries.
	stragglerQuantile = 0.95
	// minThreshold prevents hedges because of scheduling delays of a few milliseconds.
	minThreshold = 5 * time.Millisecond
)

// StragglerDetector learns the latency above which a request of one class counts
// as a straggler and may be hedged.
type StragglerDetector struct{ latency *quantile.Estimator }

// NewStragglerDetector returns a detector without samples.
func NewStragglerDetector() *StragglerDetector {
	return &StragglerDetector{latency: quantile.New(stragglerQuantile)}
}

// Add adds the time from send to response of an attempt. An attempt that was
// cancelled because another one responded first must be added too, with the time
// until its cancellation: without the slowest attempts the threshold would fall.
func (s *StragglerDetector) Add(latency time.Duration) { s.latency.Add(latency) }

// Threshold returns the time after which an attempt is a straggler. It reports
// false until there are enough samples.
func (s *StragglerDetector) Threshold() (time.Duration, bool) {
	value := s.latency.Value()
	return max(value, minThreshold), value > 0
}
