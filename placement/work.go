package placement

import "time"

const (
	// workWeight is the weight of a new observation in the mean work of a route and
	// in its deviation.
	workWeight = 0.05
	// minObservations is the number of observations from which the mean work is known
	// well enough to learn other figures from it. Up to then each observation has the
	// same weight, so that the initial mean is soon replaced.
	minObservations = 10
	// lightShare is the share of a target's slots up to which the work of a request is
	// taken for that on an idle target.
	lightShare = 0.6
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
	// observations counts the calls of observe, up to minObservations.
	observations int
	// size is the mean size of the bodies of responses in bytes, 0 before the first.
	size float64
}

// observe adds the latency of an answered request; slowdown is the one that was
// expected when its target was chosen.
func (w *routeWork) observe(latency time.Duration, slowdown float64) {
	normalized := scale(latency, 1/slowdown)
	deviation := (normalized - w.mean).Abs()
	weight := workWeight
	if !w.known() {
		w.observations++
		weight = max(workWeight, 1/float64(1+w.observations))
	}
	// Bounds the influence of rare long requests on the mean.
	normalized = min(normalized, 3*w.mean)
	w.mean += scale(normalized-w.mean, weight)
	w.deviation += scale(min(deviation, 2*w.mean)-w.deviation, workWeight)
}

// known reports whether there are enough observations of the mean.
func (w *routeWork) known() bool { return w.observations >= minObservations }
