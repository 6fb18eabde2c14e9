package once

import "time"

// Begin asks to start the request that a ticket identifies. Only the answer
// StateStarted allows it to run, once; Finish must follow. For StateRunning the
// caller should wait for the end of the run that is in progress.
func (l *Ledger) Begin(now time.Duration, text string, f Fingerprint) Decision {
	ticket, fault := l.Parse(now, text)
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
		kept := l.answers.bySerial[ticket.Serial]
		d.Response = kept.answer
		if kept.fingerprint != f {
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
		l.marks.put(ticket.Serial, markVoided)
		d.State = StateFull
	default:
		l.marks.put(ticket.Serial, markUsed)
		l.running[ticket.Serial] = running{fingerprint: f, expiry: ticket.Expiry}
	}
}

// state returns what is known of a genuine serial. StateStarted stands for a
// serial that was never used.
func (l *Ledger) state(serial uint64) State {
	if _, ok := l.running[serial]; ok {
		return StateRunning
	}
	value, known := l.marks.get(serial)
	switch {
	case !known:
		return StateMayHaveRun
	case value == markUnused:
		return StateStarted
	case value == markVoided:
		return StateVoided
	case value == markNotRun:
		return StateNotRun
	}
	if _, ok := l.answers.bySerial[serial]; ok {
		return StateAnswered
	}
	return StateMayHaveRun
}
