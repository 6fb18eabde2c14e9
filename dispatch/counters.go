package dispatch

import "github.com/dogwoodroute/dogwoodroute/refusal"

// Counters count events since the scheduler's start.
type Counters struct {
	Arrivals   uint64 // requests
	Sends      uint64 // attempts, including retries and hedges
	Retries    uint64 // attempts after a failed one
	Hedges     uint64 // hedged attempts
	HedgeWins  uint64 // requests answered by a hedged attempt
	Superseded uint64 // attempts cancelled because another attempt was accepted
	Accepted   uint64 // requests answered by a target
	Canceled   uint64 // requests whose caller disconnected
	Shed       uint64 // attempts that a target rejected without running them
	Pauses     uint64 // detected pauses of the process
	Refused    RefusalCounts
}

// RefusalCounts counts refusals by kind. Kinds without a field of their own count
// as AttemptFailed.
type RefusalCounts struct {
	Overload, Deadline, NoTarget, StaleView, AttemptFailed uint64
}

// Total returns the number of refusals of all kinds.
func (r RefusalCounts) Total() uint64 {
	return r.Overload + r.Deadline + r.NoTarget + r.StaleView + r.AttemptFailed
}

func (r *RefusalCounts) add(kind refusal.Kind) {
	switch kind {
	case refusal.Overload:
		r.Overload++
	case refusal.Deadline:
		r.Deadline++
	case refusal.NoTarget:
		r.NoTarget++
	case refusal.StaleView:
		r.StaleView++
	default:
		r.AttemptFailed++
	}
}
