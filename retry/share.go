package retry

import "time"

const (
	// budgetMargin is the part of a fleet-wide budget that is divided among the
	// instances. The rest covers windows that are not aligned between instances.
	budgetMargin = 0.85
	// windowSlots is the number of slots in which the requests and retries of a
	// window are counted.
	windowSlots = 20
)

// BudgetShare is one instance's share of the fleet-wide retry budget, which counts
// retries and hedged requests together. In each window the fleet may send a ratio
// of its requests plus a fixed allowance, which is divided among the instances.
// Except in a new fleet, the allowance is granted only after the first whole
// window, since a restarted process does not know how much of it was used. One
// goroutine owns a BudgetShare.
type BudgetShare struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Allowance is the number of retries that the fleet may send in each window in
	// addition.
	Allowance float64
	// Window is the time over which requests and retries are counted.
	Window time.Duration
	// Offset, from 0 to 1, is added to the number of retries allowed. Drawn at
	// random for each instance, it makes up for the fractions of a retry that the
	// shares of many instances lose by rounding down.
	Offset float64
	// NewFleet is true when no instance of the fleet ran before, so that no former
	// process can have used the allowance.
	NewFleet bool

	requests, retries [2 * windowSlots]int
	slot              int
}

// Request counts a caller's request.
func (s *BudgetShare) Request(now time.Duration) {
	s.advance(now)
	s.requests[s.slot%len(s.requests)]++
}

// Take takes one retry from the budget, or reports false when the budget does not
// allow it. instances is the number of instances that may be alive; fraction, from
// 0 to 1, is the part of the share that this retry may use.
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

// advance moves to the slot of the current time and clears the slots in between.
func (s *BudgetShare) advance(now time.Duration) {
	slot := int(now / (s.Window / windowSlots))
	for n := 0; s.slot < slot && n < len(s.requests); n++ {
		s.slot++
		s.requests[s.slot%len(s.requests)], s.retries[s.slot%len(s.retries)] = 0, 0
	}
	s.slot = max(s.slot, slot)
}
