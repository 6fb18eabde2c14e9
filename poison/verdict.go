package poison

import "github.com/dogwoodroute/dogwoodroute/balancer"

// Verdict is the conclusion from a trial that the holder of a lease reports when
// it releases the lease.
type Verdict uint8

// Values of Verdict. They are part of the protocol between instances.
const (
	VerdictNone          Verdict = 0 // the trial did not run or was inconclusive
	VerdictCleared       Verdict = 1 // the target completed the request
	VerdictBlocked       Verdict = 2 // the connection to the target broke during the trial
	VerdictTargetCrashed Verdict = 3 // for the lease of a target whose connection broke: no other trial runs there until the lease expires
)

// verdictOf returns the verdict that follows from the outcome of a trial.
func verdictOf(o balancer.Outcome) Verdict {
	switch o {
	case balancer.OutcomeOK, balancer.OutcomeError:
		return VerdictCleared
	case balancer.OutcomeBroken, balancer.OutcomeTruncated:
		return VerdictBlocked
	default:
		return VerdictNone
	}
}
