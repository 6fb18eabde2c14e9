package admission

import (
	"math"
	"time"
)

// offeredTimeConstant is the time constant of the moving average of the offered
// load. At 500 ms, high priority requests that have stopped arriving lengthen the
// expected wait of the others too much, and half as many requests again are refused
// after a load peak.
const offeredTimeConstant = 100 * time.Millisecond

// offeredLoad is a moving average of the admitted load per priority.
type offeredLoad struct {
	load       [Ranks]float64 // slots kept busy
	lastUpdate time.Duration
}

// add adds an admitted request with its expected service time.
func (o *offeredLoad) add(now time.Duration, rank int, serviceTime time.Duration) {
	o.decay(now)
	o.load[rank] += float64(serviceTime) / float64(offeredTimeConstant)
}

// above returns the number of slots kept busy by priorities higher than rank.
func (o *offeredLoad) above(now time.Duration, rank int) float64 {
	o.decay(now)
	sum := 0.0
	for _, load := range o.load[:rank] {
		sum += load
	}
	return sum
}

func (o *offeredLoad) decay(now time.Duration) {
	if now <= o.lastUpdate {
		return
	}
	factor := math.Exp(-float64(now-o.lastUpdate) / float64(offeredTimeConstant))
	o.lastUpdate = now
	for rank := range o.load {
		o.load[rank] *= factor
	}
}
