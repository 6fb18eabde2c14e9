package poison

// State is the state of a record. A record only changes to a greater state.
type State uint8

// Values of State. They are part of the protocol between instances.
const (
	StateSuspect State = 1
	StateBlocked State = 2
	StateCleared State = 3
)
