package placement

import "time"

const (
	// workWeight is the weight of a new observation in the mean work of a route.
	workWeight = 0.05
	// initialWorkShare is the share of a route's objective that its work is assumed
	// to take before any was observed.
	initialWorkShare = 0.3
	// initialDeviationShare is the deviation that is assumed at first, as a share of the work.
	initialDeviationShare = 0.5
)

// routeWork is the mean time that a route's requests take on an idle target at its
// usual pace, and their mean deviation from the estimate.
type routeWork struct {
	mean      time.Duration
	deviation time.Duration
}

// observe takes the time of an answered request, of which factor is the
// multiple that was expected for the load of its target.
func (w *routeWork) observe(latency time.Duration, slowdown float64) {
	normalized := scale(latency, 1/slowdown)
	deviation := (normalized - w.mean).Abs()
	// Rare long requests must not move the mean as far as they deviate.
	normalized = min(normalized, 3*w.mean)
	w.mean += scale(normalized-w.mean, workWeight)
	w.deviation += scale(min(deviation, 2*w.mean)-w.deviation, workWeight)
}
