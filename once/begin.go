package once

import "time"

// Begin asks to start the request that a ticket identifies. Only the answer
// StateStarted allows it to run, once; Finish must follow. For StateRunning the
// caller should wait for the end of the run that is in progress.
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

// start starts an unused ticket, unless it has expired or the table is full.
func (l *Ledger) start(d *Decision, ticket Ticket, fault Fault, f Fingerprint) {
	switch {
	case fault == FaultExpired:
		d.State, d.Fault = StateExpired, fault
	case len(l.running) >= l.options.MaxRunning:
		// The caller is told "not run", so the ticket must not start later.
		l.usages.put(ticket.Serial, usageVoided)
		d.State = StateFull
	default:
		l.usages.put(ticket.Serial, usageUsed)
		l.running[ticket.Serial] = running{fingerprint: f, expiry: ticket.Expiry}
	}
}

// state returns what is known of a genuine serial. StateStarted stands for a
// serial that was never used.
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
