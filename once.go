package dogwoodroute

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/entry"
	"github.com/dogwoodroute/dogwoodroute/membership"
	"github.com/dogwoodroute/dogwoodroute/once"
	"github.com/dogwoodroute/dogwoodroute/peerapi"
	"github.com/dogwoodroute/dogwoodroute/refusal"
)

// onceGate connects the request path to the once task.
type onceGate struct{ *Instance }

// Issue implements entry.Tickets.
func (g onceGate) Issue(count int) entry.TicketResponse {
	answer := entry.TicketResponse{Incarnation: g.incarnation.String(), Tickets: []string{},
		ValidForMillis: g.once.Validity().Milliseconds()}
	if tickets, err := g.once.Issue(context.Background(), count); err == nil { // fails only at the end of a stop
		answer.Tickets = tickets
	}
	return answer
}

// Begin implements entry.Once.
func (g onceGate) Begin(ctx context.Context, ticket string, f entry.Fingerprint) entry.OnceDecision {
	decision, err := g.once.Begin(ctx, ticket, f)
	switch {
	case err != nil:
		return entry.OnceDecision{Refusal: unknownOutcome(err)}
	case decision.Fault == once.FaultForeign:
		resolved := g.once.Resolve(ctx, ticket, f)
		return entry.OnceDecision{Refusal: resolved.Refusal, Replay: recorded(resolved.Response)}
	case decision.State == once.StateAnswered:
		return entry.OnceDecision{Replay: recorded(decision.Response)}
	case decision.State != once.StateStarted:
		return entry.OnceDecision{Refusal: decision.Refusal()}
	}
	return entry.OnceDecision{Finish: func(r entry.OnceResult) { g.once.Finish(decision.Serial, resultOf(r)) }}
}

// Void implements entry.Once.
func (g onceGate) Void(ctx context.Context, ticket string) refusal.Execution {
	settled, err := g.once.Settle(ctx, ticket)
	if err == nil && settled.Fault == once.FaultForeign {
		decoded, _ := once.Decode(ticket) // a foreign ticket is well formed
		settled, err = owners(g).Settle(ctx, decoded.Incarnation, ticket)
	}
	if err != nil {
		return refusal.MayHaveRun
	}
	switch {
	case settled.State == once.StateVoided, settled.State == once.StateNotRun:
		return refusal.NotRun
	case settled.Fault == once.FaultMalformed, settled.Fault == once.FaultForged:
		return refusal.NotRun // no instance runs it
	default:
		return refusal.MayHaveRun
	}
}

func unknownOutcome(err error) *refusal.Refusal {
	return &refusal.Refusal{Kind: refusal.AlreadyRun, Execution: refusal.MayHaveRun,
		Reason: "the state of the ticket could not be read: " + err.Error()}
}

func recorded(a *once.Response) *entry.RecordedResponse {
	if a == nil {
		return nil
	}
	return &entry.RecordedResponse{Status: a.Status, Header: a.Header, Body: a.Body}
}

func resultOf(r entry.OnceResult) once.Result {
	switch {
	case r.Response != nil:
		return once.Result{Kind: once.ResultAnswered,
			Response: &once.Response{Status: r.Response.Status, Header: r.Response.Header, Body: r.Response.Body}}
	case r.Execution == refusal.NotRun:
		return once.Result{Kind: once.ResultNotRun}
	default:
		return once.Result{Kind: once.ResultMayHaveRun}
	}
}

// owners reaches the owners of tickets of other incarnations.
type owners struct{ *Instance }

// Settle implements once.Owners.
func (o owners) Settle(ctx context.Context, owner once.Incarnation, ticket string) (once.Settlement, error) {
	peer, ok := o.members.View().ByIncarnation(membership.Incarnation(owner))
	if !ok {
		return once.Settlement{}, errors.Errorf("settle ticket: no live instance has incarnation %s", owner)
	}
	answer, err := o.members.Settle(ctx, peer, []byte(ticket))
	if err != nil {
		return once.Settlement{}, err
	}
	settled := once.Settlement{State: once.State(answer.GetState()), Fault: once.Fault(answer.GetFault())}
	if settled.State != once.StateAnswered {
		return settled, nil
	}
	if len(answer.GetFingerprint()) != len(settled.Fingerprint) {
		return once.Settlement{}, errors.Errorf("settle ticket with %s: fingerprint has %d bytes", peer.ID, len(answer.GetFingerprint()))
	}
	settled.Fingerprint = once.Fingerprint(answer.GetFingerprint())
	if answer.GetStatus() > 0 {
		settled.Response = &once.Response{Status: int(answer.GetStatus()), Header: make(http.Header), Body: answer.GetBody()}
		for _, header := range answer.GetHeaders() {
			settled.Response.Header.Add(header.GetName(), header.GetValue())
		}
	}
	return settled, nil
}

// settler answers other instances.
type settler struct{ *Instance }

// Settle implements membership.Settler.
func (s settler) Settle(ctx context.Context, request *peerapi.SettleRequest) (*peerapi.SettleResponse, error) {
	settled, err := s.once.Settle(ctx, string(request.GetTicket()))
	if err != nil {
		return nil, err
	}
	answer := &peerapi.SettleResponse{State: uint32(settled.State), Fault: uint32(settled.Fault)}
	if settled.State == once.StateAnswered {
		answer.Fingerprint = settled.Fingerprint[:]
	}
	if settled.Response != nil {
		answer.Status, answer.Body = uint32(settled.Response.Status), settled.Response.Body
		for name, values := range settled.Response.Header {
			for _, value := range values {
				answer.Headers = append(answer.Headers, &peerapi.Header{Name: name, Value: value})
			}
		}
	}
	return answer, nil
}
