package quantile

import (
	"math"
	"time"
)

const (
	// firstEdge is the upper edge of the first bucket.
	firstEdge = 50 * time.Microsecond
	// bucketsPerDoubling gives an error of at most 19% (the fourth root of 2).
	bucketsPerDoubling = 4
	// buckets reach from 50 µs to about 27 minutes.
	buckets = 25*bucketsPerDoubling + 1
	// halvingThreshold is the number of samples after which all counts are halved, so
	// that old samples lose their weight.
	halvingThreshold = 1024
	// updateInterval is the number of samples between two updates of the value.
	updateInterval = 16
)

// edges holds the upper edge of each bucket.
var edges = makeEdges()

func makeEdges() (e [buckets]time.Duration) {
	for i := range e {
		e[i] = time.Duration(float64(firstEdge) * math.Exp2(float64(i)/bucketsPerDoubling))
	}
	return e
}

// Estimator follows one quantile. Use New.
type Estimator struct {
	quantile    float64
	counts      [buckets]uint32
	total       uint32
	sinceUpdate uint32
	value       time.Duration
}

// New returns an estimator of the quantile that the given share of samples,
// from 0 to 1, does not exceed.
func New(quantile float64) *Estimator { return &Estimator{quantile: quantile} }

// Add takes a sample.
func (e *Estimator) Add(sample time.Duration) {
	e.counts[bucket(sample)]++
	e.total++
	e.sinceUpdate++
	if e.total >= halvingThreshold {
		e.halve()
	}
	if e.sinceUpdate >= updateInterval {
		e.sinceUpdate = 0
		e.value = e.compute()
	}
}

// Value returns the quantile, or 0 before the first 16 samples.
func (e *Estimator) Value() time.Duration { return e.value }

func (e *Estimator) halve() {
	e.total = 0
	for i := range e.counts {
		e.counts[i] /= 2
		e.total += e.counts[i]
	}
}

func (e *Estimator) compute() time.Duration {
	rank := uint32(math.Ceil(e.quantile * float64(e.total)))
	var seen uint32
	for i, n := range e.counts {
		seen += n
		if seen >= rank && seen > 0 {
			return edges[i]
		}
	}
	return 0
}

// bucket finds the first bucket whose upper edge is not below the sample.
func bucket(sample time.Duration) int {
	low, high := 0, buckets-1
	for low < high {
		middle := (low + high) / 2
		if edges[middle] < sample {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}
