// Package gateway serves callers in front of discovered targets.
//
// The path of a request: match its route, read its body, pick a part of the
// route, ask a few targets for their load, send it to the best one, and check
// the answer before a byte of it goes to the caller. An idempotent request may
// go to another target when the first fails or takes unusually long; any other
// request only when the first certainly did not run it. A refusal that says
// "not run" is sent only when no attempt can have run.
//
// The decisions are those of package placement; desk is the goroutine that owns
// them.
package gateway
