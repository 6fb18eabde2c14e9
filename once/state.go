package once

// State is the state of a ticket, as far as it is known.
type State uint8

// Values of State. They are part of the protocol between instances.
const (
	StateUnknown    State = 0  // not known: the request may have run
	StateStarted    State = 1  // only from Begin: this call has started the request
	StateRunning    State = 2  // started by an earlier call and not ended
	StateAnswered   State = 3  // ended, with a recorded response
	StateMayHaveRun State = 4  // has run or may have run, without a recorded response
	StateNotRun     State = 5  // started, but ended without being run
	StateVoided     State = 6  // has never started and never will
	StateExpired    State = 7  // expired unused: has never started and never will
	StateMismatch   State = 8  // used for a request with another fingerprint, which may have run
	StateInvalid    State = 9  // the text is malformed, foreign or forged; see Fault
	StateFull       State = 10 // too many requests are running; the ticket is now voided
)
