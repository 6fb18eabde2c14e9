package placement

import "time"

const (
	// workWeight is the weight of a new observation in the mean work of a route.
	workWeight = 0.05
	// firstWorkShare is the share of a route's objective that its work is assumed
	// to take before any was observed.
	firstWorkShare = 0.3
	// spreadShare is the deviation that is assumed at first, as a share of the work.
	spreadShare = 0.5
)

// work is the mean time that a route's requests take on an idle target at its
// usual pace, and their mean deviation from the estimate.
type work struct {
	mean   time.Duration
	spread time.Duration
}

// observe takes the time of an answered request, of which factor is the
// multiple that was expected for the load of its target.
func (w *work) observe(took time.Duration, factor float64) {
	plain := scale(took, 1/factor)
	deviation := (plain - w.mean).Abs()
	// Rare long requests must not move the mean as far as they deviate.
	plain = min(plain, 3*w.mean)
	w.mean += scale(plain-w.mean, workWeight)
	w.spread += scale(min(deviation, 2*w.mean)-w.spread, workWeight)
}
