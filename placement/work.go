package placement

import "time"

const (
	// workWeight is the weight of a new observation in the mean work of a route and
	// in its deviation.
	workWeight = 0.05
	// initialWorkShare is the mean work assumed before any observation, as a share
	// of the route's objective.
	initialWorkShare = 0.3
	// initialDeviationShare is the deviation assumed before any observation, as a
	// share of the mean work.
	initialDeviationShare = 0.5
)

// routeWork holds the mean work of a route, which is the time that its requests
// take on an idle target at usual speed, and the mean deviation from it.
type routeWork struct {
	mean      time.Duration
	deviation time.Duration
}

// observe adds the latency of an answered request; slowdown is the one that was
// expected when its target was chosen.
func (w *routeWork) observe(latency time.Duration, slowdown float64) {
	normalized := scale(latency, 1/slowdown)
	deviation := (normalized - w.mean).Abs()
	// Bounds the influence of rare long requests on the mean.
	normalized = min(normalized, 3*w.mean)
	w.mean += scale(normalized-w.mean, workWeight)
	w.deviation += scale(min(deviation, 2*w.mean)-w.deviation, workWeight)
}
