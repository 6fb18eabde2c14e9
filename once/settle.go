package once

import "time"

// Settle answers another instance that was given a ticket of this incarnation.
// A ticket that has not started is voided: it never starts afterwards.
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
