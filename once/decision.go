package once

// Decision is what Begin decides on a request.
type Decision struct {
	State State
	// Fault is set for StateInvalid and StateExpired.
	Fault Fault
	// Serial identifies the ticket in the call of Finish. Set unless State is
	// StateInvalid.
	Serial uint64
	// Response is set for StateAnswered.
	Response *Response
}

// Settlement is the reply of the owner of a ticket to another instance.
type Settlement struct {
	// State is never StateStarted, StateExpired, StateMismatch or StateFull.
	State State
	// Fault is set for StateInvalid.
	Fault Fault
	// Response and Fingerprint are set for StateAnswered. The response must only
	// be returned to a request with this fingerprint.
	Response    *Response
	Fingerprint Fingerprint
}
