package once

import "context"

// Owners communicates with the incarnations that own tickets. It is implemented
// by the protocol between instances.
type Owners interface {
	// Settle calls Task.Settle at the owner of a ticket, which voids the ticket
	// if it has not started, and returns its state. After an error, such as a
	// missing response, the ticket may have been voided or not.
	Settle(ctx context.Context, owner Incarnation, ticket string) (Settlement, error)
}
