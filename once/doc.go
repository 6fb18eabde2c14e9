// Package once makes a non-idempotent request run at most once.
//
// A request is identified by a ticket that one incarnation of an instance has
// issued, and only that incarnation, the owner, runs it. Ledger keeps the state
// of the tickets of one incarnation; Task runs the goroutine that owns a Ledger.
// An instance that receives a ticket of another incarnation never runs the
// request, but settles the ticket with its owner through the interface Owners.
// See docs/design/at-most-once.md.
package once
