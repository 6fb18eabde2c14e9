package once

import (
	"context"

	"github.com/dogwoodroute/dogwoodroute/refusal"
)

// Resolution answers a request whose ticket belongs to another incarnation.
// Exactly one field is set.
type Resolution struct {
	// Response is the recorded answer of the request.
	Response *Response
	// Refusal is sent when there is no recorded answer.
	Refusal *refusal.Refusal
}

// Resolve asks the owner of a ticket what became of it. The request is never
// run here.
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
