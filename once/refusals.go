package once

import "github.com/dogwoodroute/dogwoodroute/refusal"

// Refusal returns the refusal that follows from the decision. It returns nil for
// StateStarted and StateAnswered, and for FaultForeign, for which Resolve must be
// called.
func (d Decision) Refusal() *refusal.Refusal {
	if d.State == StateStarted || d.State == StateAnswered || d.Fault == FaultForeign {
		return nil
	}
	return refuse(d.State, d.Fault)
}

// refuse returns the refusal for a state. The refusal states that the request may
// have run, unless the state excludes it.
func refuse(state State, fault Fault) *refusal.Refusal {
	switch state {
	case StateNotRun:
		return invalid("the ticket was used for a request that was not run; get a new ticket")
	case StateVoided:
		return invalid("the ticket was voided before its request started; get a new ticket")
	case StateExpired:
		return invalid("the ticket expired unused; get a new ticket")
	case StateFull:
		return refusal.New(refusal.Overload, "too many requests with tickets are running; get a new ticket")
	case StateMismatch:
		r := invalid("the ticket was used for another request")
		r.Execution = refusal.MayHaveRun
		return r
	case StateInvalid:
		if fault == FaultMalformed || fault == FaultForged {
			return invalid("the ticket is " + fault.String() + "; get a new ticket")
		}
		return mayHaveRun("the instance that issued the ticket no longer exists")
	case StateRunning:
		return mayHaveRun("the request is running")
	default:
		return mayHaveRun("the ticket was used, and no answer is recorded")
	}
}

func invalid(reason string) *refusal.Refusal { return refusal.New(refusal.TicketInvalid, reason) }

func mayHaveRun(reason string) *refusal.Refusal {
	return &refusal.Refusal{Kind: refusal.AlreadyRun, Execution: refusal.MayHaveRun, Reason: reason}
}
