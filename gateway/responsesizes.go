package gateway

import "sync"

// sizeGrowth is the part of the difference by which the expected size of a route's responses
// follows a larger one. A smaller one counts at once.
const sizeGrowth = 0.05

// responseSizes holds the sizes that the responses of a route have at least, for routes on which
// all are long. A request whose response would find no memory is refused before a target runs
// it. Where some are short nothing is known before the request has run. It is safe for
// concurrent use; the zero value is empty.
type responseSizes struct {
	mu       sync.Mutex
	expected map[string]float64
	// pending is the sum of the expected sizes of the responses whose head has not arrived. The
	// memory of the others is counted as they are read.
	pending int64
}

// begin returns the memory that the response to a request on the route is expected to need, and
// adds it to that of the responses that are awaited, if fits reports that it has room beside
// these. Responses of up to shortBodyBytes need none: they always have room.
func (s *responseSizes) begin(route string, fits func(pending, expected int64) bool) (expected int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if expected = int64(s.expected[route]); expected <= shortBodyBytes {
		return 0, true
	}
	if !fits(s.pending, expected) {
		return 0, false
	}
	s.pending += expected
	return expected, true
}

// end records that a response is no longer awaited: its head has arrived, or its attempt has
// ended.
func (s *responseSizes) end(expected int64) {
	if expected == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending -= expected
}

// observe records the size of a response on a route.
func (s *responseSizes) observe(route string, size int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.expected == nil {
		s.expected = make(map[string]float64)
	}
	known, ok := s.expected[route]
	if !ok {
		known = float64(size)
	}
	s.expected[route] = min(float64(size), known+sizeGrowth*(float64(size)-known))
}
