package admission

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/quantile"
)

const (
	// meanWeight is the weight of a new sample in the running mean.
	meanWeight = 1.0 / 64
	// staleAfter is the time without samples after which estimates are halved,
	// and again after each further period. Without it, estimates learned from
	// slow targets would refuse all requests and never be corrected.
	staleAfter = time.Second
	// lowQuantile is the quantile taken as the shortest time a run can need,
	// slowShare the one that most runs stay below.
	lowQuantile  = 0.1
	highQuantile = 0.9
)

// ServiceTime learns how long requests of one class hold a slot.
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

// Add takes the time that a request held its slot.
func (s *ServiceTime) Add(now, sample time.Duration) {
	s.low.Add(sample)
	s.high.Add(sample)
	s.addMean(now, sample)
}

// AddAtLeast takes the time that a cancelled request had held its slot. It
// counts only when it shows that the mean is too low.
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

// Mean returns the mean time that a request holds its slot, or 0 when unknown.
func (s *ServiceTime) Mean(now time.Duration) time.Duration {
	return time.Duration(s.mean) >> s.stalePeriods(now)
}

// P10 returns the time that nine of ten requests need at least, or 0 when
// unknown.
func (s *ServiceTime) P10(now time.Duration) time.Duration {
	return s.low.Value() >> s.stalePeriods(now)
}

// P90 returns the time that nine of ten requests need at most, or 0 when
// unknown.
func (s *ServiceTime) P90(now time.Duration) time.Duration {
	return s.high.Value() >> s.stalePeriods(now)
}

// stalePeriods returns the number of stale periods since the last sample.
func (s *ServiceTime) stalePeriods(now time.Duration) uint {
	return uint(min(max(0, now-s.lastSample)/staleAfter, 62))
}
