package balancer

// twoChoices replaces the best target by the better of two random targets. It
// is used if no target has a fresh load sample: then only the requests of this
// instance in flight are known, and comparing all targets would only make all
// instances prefer them in the same order.
func (s *scan) twoChoices(targets []*target, assignedOnly bool) {
	first := s.randomEligible(targets, assignedOnly, nil)
	second := s.randomEligible(targets, assignedOnly, first)
	s.best = nil
	s.consider(first)
	s.consider(second)
}

// randomEligible returns a random eligible target other than the given one. At
// least two targets must be eligible.
func (s *scan) randomEligible(targets []*target, assignedOnly bool, other *target) *target {
	start := s.b.rand.IntN(len(targets))
	for i := range targets {
		t := targets[(start+i)%len(targets)]
		if t != other && s.b.eligible(t, s.options, assignedOnly) {
			return t
		}
	}
	return other
}
