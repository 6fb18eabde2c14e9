package once

import "time"

// Settle handles the call of another instance that has received a ticket of this
// incarnation. It voids a ticket that has not started, which can then never
// start, and returns the state of the ticket.
func (l *Ledger) Settle(now time.Duration, ticketText string) Settlement {
	ticket, fault := l.Parse(now, ticketText)
	if fault != FaultNone && fault != FaultExpired {
		return Settlement{State: StateInvalid, Fault: fault}
	}
	s := Settlement{State: l.state(ticket.Serial)}
	switch s.State {
	case StateStarted:
		l.usages.put(ticket.Serial, usageVoided)
		s.State = StateVoided
	case StateAnswered:
		stored := l.responses.bySerial[ticket.Serial]
		s.Response, s.Fingerprint = stored.response, stored.fingerprint
	}
	return s
}
