package dispatch

import "github.com/dogwoodroute/dogwoodroute/refusal"

// Counters count events since the scheduler's start.
type Counters struct {
	Arrivals  uint64 // requests
	Sends     uint64 // attempts, all kinds
	Retries   uint64 // attempts after a failed one
	Hedges    uint64 // attempts beside a slow one
	HedgeWins uint64 // requests answered by a hedge
	Superseded    uint64 // attempts cancelled because another one won
	Accepted  uint64 // requests answered by a target
	Canceled  uint64 // requests whose caller went away
	Shed      uint64 // attempts that a target did not run
	Pauses    uint64 // pauses of the process
	Refused   RefusalCounts
}

// RefusalCounts counts refusals by kind.
type RefusalCounts struct {
	Overload, Deadline, NoTarget, StaleView, AttemptFailed uint64
}

// Total returns the number of refusals.
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
