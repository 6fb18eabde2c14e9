package retry

import "time"

const (
	// budgetMargin is the part of a fleet-wide budget that the shares of all
	// instances use; the rest covers instances whose windows are apart.
	budgetMargin = 0.85
	windowSlots  = 20
)

// BudgetShare is one instance's share of a fleet-wide budget of repeats: in each
// window, a ratio of the requests plus a fixed allowance, which is divided over
// the instances. The allowance is granted after the first whole window only,
// since a restarted process does not know what it had used. One goroutine owns
// it.
type BudgetShare struct {
	// Ratio is the part of the requests that may be sent once more.
	Ratio float64
	// Allowance is the number of repeats that the fleet may send besides.
	Allowance float64
	// Window is the time over which both are counted.
	Window time.Duration
	// Offset, from 0 to 1, is added to what may be sent. Drawn at random for each
	// instance, it makes many instances together use what each one's share has
	// beyond a whole number.
	Offset float64
	// NewFleet is true when no instance of the fleet ran before, so that the
	// allowance cannot have been used.
	NewFleet bool

	requests, retries [2 * windowSlots]int
	slot              int
}

// Request counts a request of a caller.
func (s *BudgetShare) Request(now time.Duration) {
	s.advance(now)
	s.requests[s.slot%len(s.requests)]++
}

// Take spends one repeat, or reports false when less than that is left of a
// part of the share. instances is the number of instances that may be alive.
func (s *BudgetShare) Take(now time.Duration, instances int, fraction float64) bool {
	s.advance(now)
	requests, retries := 0, 0
	for i := range windowSlots + 1 {
		at := (s.slot - i + len(s.retries)) % len(s.retries)
		retries += s.retries[at]
		if i < windowSlots {
			requests += s.requests[at]
		}
	}
	budget := s.Ratio * float64(requests)
	if s.NewFleet || now >= s.Window {
		budget += s.Allowance / float64(max(1, instances))
	}
	if float64(retries+1) > budgetMargin*fraction*budget+s.Offset {
		return false
	}
	s.retries[s.slot%len(s.retries)]++
	return true
}

// advance clears the slots of times that have passed unseen.
func (s *BudgetShare) advance(now time.Duration) {
	slot := int(now / (s.Window / windowSlots))
	for n := 0; s.slot < slot && n < len(s.requests); n++ {
		s.slot++
		s.requests[s.slot%len(s.requests)], s.retries[s.slot%len(s.retries)] = 0, 0
	}
	s.slot = max(s.slot, slot)
}
