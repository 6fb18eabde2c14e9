package once

// State is what is known of a ticket.
type State uint8

// States. The values are part of the protocol between instances.
const (
	StateUnknown    State = 0  // nothing is known: the request may have run
	StateStarted    State = 1  // Begin only: this call starts the request
	StateRunning    State = 2  // started earlier, not finished
	StateAnswered   State = 3  // finished, the answer is recorded
	StateMayHaveRun State = 4  // ran or may have run, no answer is recorded
	StateNotRun     State = 5  // started, and ended without being run
	StateVoided     State = 6  // never started and never will
	StateExpired    State = 7  // expired unused: never started and never will
	StateMismatch   State = 8  // used for a request with another fingerprint, which may have run
	StateInvalid    State = 9  // the text is malformed, foreign or forged; see Fault
	StateFull       State = 10 // too many requests are running; voided
)
