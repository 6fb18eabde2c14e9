// Package caller is a client that sends requests through dogwoodroute. It resolves
// instances and caches the response while it is valid, switches to another
// instance on failure, and uses tickets to run non-idempotent requests at most
// once.
//
// It uses package transport instead of net/http's Transport, which resends
// requests when a reused connection breaks if it considers the method idempotent
// or can read the body again. A route may be non-idempotent with any method, so
// only this package may decide on retries.
package caller
