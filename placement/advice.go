package placement

import "time"

// Advice is what a target says in a response about the requests that it wants.
type Advice struct {
	// Leaving is true when the target will stop soon and wants no new requests.
	Leaving bool
	// PerSecond is the number of requests a second that the target takes from all
	// instances together; it is meaningful only if Limited is true.
	PerSecond float64
	Limited   bool
	// RetryAfter is how long the target wants no requests from this instance. 0: it does
	// not say so.
	RetryAfter time.Duration
}
