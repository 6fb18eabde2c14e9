package admission

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/quantile"
)

const (
	// meanWeight is the weight of a new sample in the running mean.
	meanWeight = 1.0 / 64
	// staleAfter is the time without samples after which the estimates are halved,
	// and halved again after each further period. Otherwise estimates learned from
	// slow targets could cause the refusal of all requests, and never be corrected.
	staleAfter = time.Second
	// lowQuantile and highQuantile are the quantiles returned by P10 and P90.
	lowQuantile  = 0.1
	highQuantile = 0.9
)

// ServiceTime estimates the service time of requests of one class, which is the
// time that a request holds its slot.
type ServiceTime struct {
	mean       float64 // nanoseconds
	samples    int
	low        *quantile.Estimator
	high       *quantile.Estimator
	lastSample time.Duration
}

// NewServiceTime returns an estimator without samples.
func NewServiceTime() *ServiceTime {
	return &ServiceTime{low: quantile.New(lowQuantile), high: quantile.New(highQuantile)}
}

// Add adds the service time of a request.
func (s *ServiceTime) Add(now, sample time.Duration) {
	s.low.Add(sample)
	s.high.Add(sample)
	s.addMean(now, sample)
}

// AddAtLeast adds the time that a cancelled request held its slot, a lower bound of
// its service time. It is ignored unless it exceeds the mean.
func (s *ServiceTime) AddAtLeast(now, sample time.Duration) {
	if float64(sample) > s.mean {
		s.addMean(now, sample)
	}
}

func (s *ServiceTime) addMean(now, sample time.Duration) {
	s.samples++
	weight := max(meanWeight, 1/float64(s.samples))
	s.mean += weight * (float64(sample) - s.mean)
	s.lastSample = now
}

// Mean returns the mean service time, or 0 if unknown.
func (s *ServiceTime) Mean(now time.Duration) time.Duration {
	return time.Duration(s.mean) >> s.stalePeriods(now)
}

// P10 returns the 10th percentile of the service time, or 0 if unknown.
func (s *ServiceTime) P10(now time.Duration) time.Duration {
	return s.low.Value() >> s.stalePeriods(now)
}

// P90 returns the 90th percentile of the service time, or 0 if unknown.
func (s *ServiceTime) P90(now time.Duration) time.Duration {
	return s.high.Value() >> s.stalePeriods(now)
}

// stalePeriods returns the number of stale periods since the last sample.
func (s *ServiceTime) stalePeriods(now time.Duration) uint {
	return uint(min(max(0, now-s.lastSample)/staleAfter, 62))
}
