package catalog

// Splitter divides the requests of routes among their parts by smooth weighted
// round robin, so that any run of requests is within one request of the
// weights. One goroutine owns it.
type Splitter struct {
	credits map[string][]float64 // by route
	random  func() float64
}

// NewSplitter returns a splitter. random returns numbers in [0, 1) and gives
// each instance another phase.
func NewSplitter(random func() float64) *Splitter {
	return &Splitter{credits: make(map[string][]float64), random: random}
}

// Next returns the service of the next request of the route.
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
