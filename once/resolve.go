package once

import (
	"context"

	"github.com/dogwoodroute/dogwoodroute/refusal"
)

// Resolution is the reply to a request whose ticket another incarnation owns.
// Exactly one field is set.
type Resolution struct {
	// Response is the recorded response of the request.
	Response *Response
	// Refusal is set if no response is recorded for this request.
	Refusal *refusal.Refusal
}

// Resolve settles a ticket with its owner and returns the reply to its request. It
// never allows the request to run. The context bounds the call to the owner.
func Resolve(ctx context.Context, owners Owners, ticketText string, f Fingerprint) Resolution {
	ticket, ok := Decode(ticketText)
	if !ok {
		return Resolution{Refusal: refuse(StateInvalid, FaultMalformed)}
	}
	s, err := owners.Settle(ctx, ticket.Incarnation, ticketText)
	switch {
	case err != nil:
		return Resolution{Refusal: mayHaveRun("the instance that issued the ticket does not answer")}
	case s.State == StateAnswered && s.Response == nil:
		return Resolution{Refusal: refuse(StateMayHaveRun, FaultNone)}
	case s.State == StateAnswered && s.Fingerprint != f:
		return Resolution{Refusal: refuse(StateMismatch, FaultNone)}
	case s.State == StateAnswered:
		return Resolution{Response: s.Response}
	default:
		return Resolution{Refusal: refuse(s.State, s.Fault)}
	}
}
