package once

import "time"

// Begin decides whether the request that a ticket identifies may run. It may run
// only if the state is StateStarted; Finish must be called when it has ended.
// For StateRunning, the caller should wait for the end of the run in progress.
func (l *Ledger) Begin(now time.Duration, ticketText string, f Fingerprint) Decision {
	ticket, fault := l.Parse(now, ticketText)
	if fault != FaultNone && fault != FaultExpired {
		return Decision{State: StateInvalid, Fault: fault}
	}
	d := Decision{State: l.state(ticket.Serial), Serial: ticket.Serial}
	switch d.State {
	case StateRunning:
		if l.running[ticket.Serial].fingerprint != f {
			d.State = StateMismatch
		}
	case StateAnswered:
		stored := l.responses.bySerial[ticket.Serial]
		d.Response = stored.response
		if stored.fingerprint != f {
			d.State, d.Response = StateMismatch, nil
		}
	case StateStarted:
		l.start(&d, ticket, fault, f)
	}
	return d
}

// start marks an unused ticket as started, unless it has expired or too many
// requests are running.
func (l *Ledger) start(d *Decision, ticket Ticket, fault Fault, f Fingerprint) {
	switch {
	case fault == FaultExpired:
		d.State, d.Fault = StateExpired, fault
	case len(l.running) >= l.options.MaxRunning:
		// The refusal states that the request was not run, so the ticket must
		// never start a run later.
		l.usages.put(ticket.Serial, usageVoided)
		d.State = StateFull
	default:
		l.usages.put(ticket.Serial, usageUsed)
		l.running[ticket.Serial] = running{fingerprint: f, expiry: ticket.Expiry}
	}
}

// state returns the state of the ticket with a serial that this ledger has issued.
// StateStarted means that the ticket is unused.
func (l *Ledger) state(serial uint64) State {
	if _, ok := l.running[serial]; ok {
		return StateRunning
	}
	value, known := l.usages.get(serial)
	switch {
	case !known:
		return StateMayHaveRun
	case value == usageUnused:
		return StateStarted
	case value == usageVoided:
		return StateVoided
	case value == usageNotRun:
		return StateNotRun
	}
	if _, ok := l.responses.bySerial[serial]; ok {
		return StateAnswered
	}
	return StateMayHaveRun
}
