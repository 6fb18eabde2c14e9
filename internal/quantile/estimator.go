package quantile

import (
	"math"
	"time"
)

const (
	// firstEdge is the upper edge of the first bucket.
	firstEdge = 50 * time.Microsecond
	// bucketsPerDoubling limits the error of an estimate to 19%: the ratio of two
	// bucket edges is the fourth root of 2.
	bucketsPerDoubling = 4
	// buckets is the number of buckets, which cover 50 µs to about 28 minutes.
	buckets = 25*bucketsPerDoubling + 1
	// halvingThreshold is the sum of counts at which all counts are halved, so that
	// the weight of old samples decreases.
	halvingThreshold = 1024
	// updateInterval is the number of samples between updates of the estimate.
	updateInterval = 16
)

// edges contains the upper edge of each bucket.
var edges = makeEdges()

func makeEdges() (e [buckets]time.Duration) {
	for i := range e {
		e[i] = time.Duration(float64(firstEdge) * math.Exp2(float64(i)/bucketsPerDoubling))
	}
	return e
}

// Estimator estimates one quantile from a histogram with exponential buckets. Create
// it with New. It is not safe for concurrent use.
type Estimator struct {
	quantile    float64
	counts      [buckets]uint32
	total       uint32
	sinceUpdate uint32
	value       time.Duration
}

// New returns an estimator of a quantile from 0 to 1, for example 0.9 for the 90th
// percentile.
func New(quantile float64) *Estimator { return &Estimator{quantile: quantile} }

// Add adds a sample. Samples outside of the range of the buckets count in the first
// or the last one.
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

// Value returns the estimate: the upper edge of the bucket with the quantile. It is 0
// until 16 samples have been added, and is updated with every 16th sample.
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

// bucket returns the index of the first bucket whose upper edge is not below the
// sample, or of the last bucket.
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
