package catalog

// Splitter divides the requests of each route among its services by smooth weighted
// round robin: in any run of requests, each service gets its share by weight to
// within about one request. One goroutine owns it.
type Splitter struct {
	credits map[string][]float64 // by route name, one per service
	random  func() float64
}

// NewSplitter returns a splitter. random returns numbers in [0, 1). It sets the
// initial credits, so that instances do not choose the services in step.
func NewSplitter(random func() float64) *Splitter {
	return &Splitter{credits: make(map[string][]float64), random: random}
}

// Next returns the service for the next request of the route, or "" if the route
// has several services and all weights are zero.
func (s *Splitter) Next(r *Route) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	total := 0.0
	for _, p := range r.Services {
		total += float64(p.Weight)
	}
	credits := s.credits[r.Name]
	if len(credits) != len(r.Services) {
		credits = make([]float64, len(r.Services))
		for i := range credits {
			credits[i] = s.random() * total
		}
		s.credits[r.Name] = credits
	}
	best := -1
	for i, p := range r.Services {
		credits[i] += float64(p.Weight)
		if p.Weight > 0 && (best < 0 || credits[i] > credits[best]) {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	credits[best] -= total
	return r.Services[best].Service
}
