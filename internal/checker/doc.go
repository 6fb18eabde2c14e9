// Package checker checks the invariants of the system against the responses that
// callers received, the requests that targets ran and the events that instances
// recorded, and returns a verdict on each invariant.
//
// Its input is plain records, so that tests, the demo and the bench can share it.
package checker
