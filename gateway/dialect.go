package gateway

import "github.com/dogwoodroute/dogwoodroute/placement"

// Dialect names the headers that callers and targets use.
type Dialect struct {
	// RequestID identifies a caller's attempt. Targets copy it to their answers.
	RequestID string
	// Deadline holds the milliseconds that are left for the answer.
	Deadline string
	// ExpectedTarget names the target that a request is meant for; any other target
	// answers 421 and does not run it.
	ExpectedTarget string
	// Signature marks answers that a target itself made.
	Signature string
	// NotRun is set on answers of targets that did not run the request.
	NotRun string
	// Load holds a target's load, which ParseLoad reads.
	Load      string
	ParseLoad func(value string) (placement.Load, bool)
	// TargetID names the target that answers a probe.
	TargetID string
}
