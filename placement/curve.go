package placement

import (
	"math"
	"sort"
	"time"
)

const (
	// initialSaturationShare is the share of its slots above which a target is
	// assumed to slow down, by initialSaturationSlowdown, until the curve of its
	// service is learned. Too high a share could make the throughput collapse
	// before anything is learned; too low a one only leaves slots unused.
	initialSaturationShare    = 0.8
	initialSaturationSlowdown = 1.7
	// curveSteps is the number of equal ranges of the occupied share.
	curveSteps = 20
	// curveWeight is the weight of a new observation in the learned slowdown. Single
	// observations vary by about their mean, since the speed changes during a run.
	curveWeight = 0.01
	// maxFreshAge is the age of a load report up to which the curve is learned from a
	// request that it placed. Later the load and the speed of the target may differ.
	maxFreshAge = 20 * time.Millisecond
	// maxObservedSlowdown bounds the influence of outliers.
	maxObservedSlowdown = 3.5
	// throughputGain is how much more throughput a higher occupancy must give to be
	// preferred, since it also gives a higher latency.
	throughputGain = 1.05
	// startBias corrects the learned slowdown: a request that starts on a full target
	// runs a part of its time on one that has become less full.
	startBias = 1.5
)

// occupancyCurve holds how much longer work takes on the targets of a service, by
// the share of their slots that are in use. It is learned from completed requests.
type occupancyCurve struct {
	slowdown [curveSteps]float64
}

func newOccupancyCurve() *occupancyCurve {
	c := new(occupancyCurve)
	for i := range c.slowdown {
		c.slowdown[i] = 1
		if i >= curveIndex(initialSaturationShare)+1 {
			c.slowdown[i] = initialSaturationSlowdown
		}
	}
	return c
}

// curveIndex returns the range that contains a share, from just above 0 to 1.
func curveIndex(share float64) int {
	const rounding = 1e-9 // a share of exactly 0.8 belongs to the range that ends there
	return max(0, min(curveSteps-1, int(math.Ceil(share*curveSteps-rounding))-1))
}

// at returns the slowdown of a target with this share of its slots in use.
func (c *occupancyCurve) at(share float64) float64 { return c.slowdown[curveIndex(share)] }

// observe adds a completed request. slowdown is its time as a multiple of the time
// expected on a target that runs nothing else.
func (c *occupancyCurve) observe(share, slowdown float64) {
	at := &c.slowdown[curveIndex(share)]
	*at = max(1, *at+curveWeight*(min(slowdown, maxObservedSlowdown)-*at))
}

// saturation returns the number of requests, up to slots, with which a target has
// the highest throughput. Of similar ones it returns the lowest. The throughput rises
// within each range of the occupied share, so its time does not depend on slots.
func (c *occupancyCurve) saturation(slots int) int {
	highest := 0.0
	for i := range curveSteps {
		if first, last := stepRange(i, slots); first <= last {
			highest = max(highest, c.throughput(last, slots))
		}
	}
	enough := func(n int) bool { return c.throughput(n, slots)*throughputGain >= highest }
	for i := range curveSteps {
		if first, last := stepRange(i, slots); first <= last && enough(last) {
			return first + sort.Search(last-first, func(n int) bool { return enough(first + n) })
		}
	}
	return slots
}

// stepRange returns the numbers of requests of which curveIndex is i: from first to last,
// or none if first is higher.
func stepRange(i, slots int) (first, last int) {
	return i*slots/curveSteps + 1, (i + 1) * slots / curveSteps
}

// throughput returns that of a target with n of its slots in use, in requests that
// it completes in the time that one takes on a target that runs nothing else.
func (c *occupancyCurve) throughput(n, slots int) float64 {
	slowdown := c.at(float64(n) / float64(slots))
	return float64(n) / (1 + startBias*(slowdown-1))
}

func (p *Placer) curve(service string) *occupancyCurve {
	c := p.curves[service]
	if c == nil {
		c = newOccupancyCurve()
		p.curves[service] = c
	}
	return c
}
