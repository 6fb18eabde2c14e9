package once

import "time"

// Finish records the end of a request that Begin started, and its response if it
// is small enough. It ignores a serial that is not running.
func (l *Ledger) Finish(now time.Duration, serial uint64, r Result) {
	l.advance(now)
	run, ok := l.running[serial]
	if !ok {
		return
	}
	delete(l.running, serial)
	switch {
	case r.Kind == ResultNotRun:
		l.usages.put(serial, usageNotRun)
	case r.Kind == ResultAnswered && r.Response != nil && r.Response.size() <= l.options.MaxResponseBytes+recordBytes:
		if _, known := l.usages.get(serial); known { // the response of a forgotten ticket is never returned
			l.responses.add(serial, storedResponse{response: r.Response, fingerprint: run.fingerprint, expiry: run.expiry},
				l.options.MaxTotalResponseBytes)
		}
	}
}
