package gateway

import (
	"net/http"
	"time"

	"github.com/dogwoodroute/dogwoodroute/placement"
)

// Dialect defines the headers that callers and targets use.
type Dialect struct {
	// RequestID identifies a request as sent by a caller; a caller's retry has its
	// own. Targets copy it to their responses.
	RequestID string
	// Deadline holds the milliseconds left until the response must arrive.
	Deadline string
	// ExpectedTarget holds the ID of the target that a request or a probe is meant for.
	// Any other target answers 421 and does not run it.
	ExpectedTarget string
	// Signature is present in responses created by the target itself.
	Signature string
	// NotRun is present if the target did not run the request.
	NotRun string
	// Load holds a target's load report. ParseLoad decodes it and reports false if
	// it is missing or malformed.
	Load      string
	ParseLoad func(value string) (placement.Load, bool)
	// ParseAdvice returns what a target says in a response about the requests that it
	// wants. Headers that are missing or malformed say nothing.
	ParseAdvice func(status int, header http.Header) placement.Advice
	// ParseWarmup returns how much longer a target is cold, by the header of its answer to a
	// probe; 0 if it is warm. Nil: targets do not say so.
	ParseWarmup func(header http.Header) time.Duration
	// TargetID holds the ID of the target that answers a probe.
	TargetID string
}
