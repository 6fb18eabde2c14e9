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

// onceAdapter implements entry.Tickets and entry.Once with the once task.
type onceAdapter struct{ *Instance }

// Issue implements entry.Tickets.
func (g onceAdapter) Issue(count int) entry.TicketResponse {
	response := entry.TicketResponse{Incarnation: g.incarnation.String(), Tickets: []string{},
		ValidForMillis: g.once.Validity().Milliseconds()}
	if tickets, err := g.once.Issue(context.Background(), count); err == nil { // fails only when the task has ended
		response.Tickets = tickets
	}
	return response
}

// Begin implements entry.Once.
func (g onceAdapter) Begin(ctx context.Context, ticket string, f entry.Fingerprint) entry.OnceDecision {
	decision, err := g.once.Begin(ctx, ticket, f)
	switch {
	case err != nil:
		return entry.OnceDecision{Refusal: unknownOutcome(err)}
	case decision.Fault == once.FaultForeign:
		resolved := g.once.Resolve(ctx, ticket, f)
		return entry.OnceDecision{Refusal: resolved.Refusal, Replay: recordedResponse(resolved.Response)}
	case decision.State == once.StateAnswered:
		return entry.OnceDecision{Replay: recordedResponse(decision.Response)}
	case decision.State != once.StateStarted:
		return entry.OnceDecision{Refusal: decision.Refusal()}
	}
	return entry.OnceDecision{Finish: func(r entry.OnceResult) { g.once.Finish(decision.Serial, onceResult(r)) }}
}

// Void implements entry.Once.
func (g onceAdapter) Void(ctx context.Context, ticket string) refusal.Execution {
	settlement, err := g.once.Settle(ctx, ticket)
	if err == nil && settlement.Fault == once.FaultForeign {
		decoded, _ := once.Decode(ticket) // a foreign ticket can be decoded
		settlement, err = owners(g).Settle(ctx, decoded.Incarnation, ticket)
	}
	if err != nil {
		return refusal.MayHaveRun
	}
	switch {
	case settlement.State == once.StateVoided, settlement.State == once.StateNotRun:
		return refusal.NotRun
	case settlement.Fault == once.FaultMalformed, settlement.Fault == once.FaultForged:
		return refusal.NotRun // no instance accepts the ticket
	default:
		return refusal.MayHaveRun
	}
}

func unknownOutcome(err error) *refusal.Refusal {
	return &refusal.Refusal{Kind: refusal.AlreadyRun, Execution: refusal.MayHaveRun,
		Reason: "the state of the ticket could not be read: " + err.Error()}
}

func recordedResponse(response *once.Response) *entry.RecordedResponse {
	if response == nil {
		return nil
	}
	return &entry.RecordedResponse{Status: response.Status, Header: response.Header, Body: response.Body}
}

func onceResult(r entry.OnceResult) once.Result {
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

// owners implements once.Owners: it calls the instances that issued tickets.
type owners struct{ *Instance }

// Settle implements once.Owners.
func (o owners) Settle(ctx context.Context, owner once.Incarnation, ticket string) (once.Settlement, error) {
	peer, ok := o.members.View().ByIncarnation(membership.Incarnation(owner))
	if !ok {
		return once.Settlement{}, errors.Errorf("settle ticket: no live instance has incarnation %s", owner)
	}
	response, err := o.members.Settle(ctx, peer, []byte(ticket))
	if err != nil {
		return once.Settlement{}, err
	}
	settlement := once.Settlement{State: once.State(response.GetState()), Fault: once.Fault(response.GetFault())}
	if settlement.State != once.StateAnswered {
		return settlement, nil
	}
	if len(response.GetFingerprint()) != len(settlement.Fingerprint) {
		return once.Settlement{}, errors.Errorf("settle ticket with %s: fingerprint has %d bytes", peer.ID, len(response.GetFingerprint()))
	}
	settlement.Fingerprint = once.Fingerprint(response.GetFingerprint())
	if response.GetStatus() > 0 {
		settlement.Response = &once.Response{Status: int(response.GetStatus()), Header: make(http.Header), Body: response.GetBody()}
		for _, header := range response.GetHeaders() {
			settlement.Response.Header.Add(header.GetName(), header.GetValue())
		}
	}
	return settlement, nil
}

// settler settles tickets of this instance for other instances.
type settler struct{ *Instance }

// Settle implements membership.Settler.
func (s settler) Settle(ctx context.Context, request *peerapi.SettleRequest) (*peerapi.SettleResponse, error) {
	settlement, err := s.once.Settle(ctx, string(request.GetTicket()))
	if err != nil {
		return nil, err
	}
	response := &peerapi.SettleResponse{State: uint32(settlement.State), Fault: uint32(settlement.Fault)}
	if settlement.State == once.StateAnswered {
		response.Fingerprint = settlement.Fingerprint[:]
	}
	if settlement.Response != nil {
		response.Status, response.Body = uint32(settlement.Response.Status), settlement.Response.Body
		for name, values := range settlement.Response.Header {
			for _, value := range values {
				response.Headers = append(response.Headers, &peerapi.Header{Name: name, Value: value})
			}
		}
	}
	return response, nil
}
