package entry

import (
	"context"
	"net/http"

	"github.com/dogwoodroute/dogwoodroute/refusal"
	"github.com/dogwoodroute/dogwoodroute/wire"
)

// voidTicket invalidates the ticket of a request that is refused as "not run",
// because another copy of the request may still arrive. It returns the refusal
// with the execution status that Options.Once reports for the ticket.
func (s *Server) voidTicket(r *http.Request, refused *refusal.Refusal) *refusal.Refusal {
	ticket, err := wire.ParseTicket(r.Header)
	if s.options.Once == nil || err != nil || ticket == "" || refused.Execution != refusal.NotRun {
		return refused
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), voidTimeout)
	defer cancel()
	voided := *refused
	voided.Execution = s.options.Once.Void(ctx, ticket)
	return &voided
}
