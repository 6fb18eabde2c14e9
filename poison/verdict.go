package poison

import "github.com/dogwoodroute/dogwoodroute/balancer"

// Verdict is the end of a lease.
type Verdict uint8

// Verdicts. The values are part of the protocol between instances.
const (
	VerdictNone          Verdict = 0 // the trial did not run or shows nothing
	VerdictCleared       Verdict = 1 // the request ran completely
	VerdictBlocked       Verdict = 2 // the target broke during the trial
	VerdictTargetCrashed Verdict = 3 // for the lease of a target: it broke and takes no trial until the lease expires
)

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
