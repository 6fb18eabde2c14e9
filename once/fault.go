package once

// Fault is the reason why this incarnation cannot start a request with a ticket.
type Fault uint8

// Values of Fault. They are part of the protocol between instances.
const (
	FaultNone      Fault = iota
	FaultMalformed       // not the text of a ticket
	FaultForeign         // issued by another incarnation
	FaultForged          // names this incarnation, but its MAC is wrong
	FaultExpired         // issued by this incarnation, but too old to start a request
)

// String returns the name of the fault as refusals state it.
func (f Fault) String() string {
	switch f {
	case FaultNone:
		return "valid"
	case FaultMalformed:
		return "malformed"
	case FaultForeign:
		return "foreign"
	case FaultForged:
		return "forged"
	case FaultExpired:
		return "expired"
	default:
		return "unknown fault"
	}
}
