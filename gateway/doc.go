// Package gateway forwards requests of callers to discovered targets.
//
// For each request, the gateway matches the route, reads the body, picks a service
// of the route, probes a few targets for their load, sends the request to the best
// one, and checks the complete response before it sends any of it to the caller. An
// idempotent request may be retried or hedged on another target if the first fails
// or takes unusually long; any other request is retried only if it certainly did not
// run. The gateway sends a refusal, which states that the request did not run, only
// if no attempt can have run it.
//
// Package placement makes the decisions. The scheduler type runs them in one
// goroutine.
package gateway
