package once

// Decision is the outcome of Begin.
type Decision struct {
	State State
	// Fault is set for StateInvalid and StateExpired.
	Fault Fault
	// Serial identifies the ticket to Finish. Set when the text is valid.
	Serial uint64
	// Response is set for StateAnswered.
	Response *Response
}

// Settlement is what the owner of a ticket says to another instance.
type Settlement struct {
	// State is never StateStarted, StateExpired, StateMismatch or StateFull.
	State State
	// Fault is set for StateInvalid.
	Fault Fault
	// Response and Fingerprint are set for StateAnswered. The answer belongs only
	// to a request with this fingerprint.
	Response    *Response
	Fingerprint Fingerprint
}
