package admission

import (
	"math"
	"time"
)

// offeredTimeConstant is the time constant of the offered load. With 500 ms, high
// priority work that had stopped arriving made the expected wait of the rest
// too long: after a load spike half as many requests again were refused.
const offeredTimeConstant = 100 * time.Millisecond

// offeredLoad follows the work that arrives and is admitted, per priority.
type offeredLoad struct {
	load       [Ranks]float64 // slots kept busy
	lastUpdate time.Duration
}

// add takes an admitted request and the time it will hold a slot.
func (o *offeredLoad) add(now time.Duration, rank int, serviceTime time.Duration) {
	o.decay(now)
	o.load[rank] += float64(serviceTime) / float64(offeredTimeConstant)
}

// above returns the slots kept busy by priorities higher than rank.
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
