package poison

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/balancer"
)

// Started records that an attempt is sent.
func (d *Detector) Started(now time.Duration, a Attempt) {
	f := d.flight(a.Target)
	f.attempts = append(f.attempts, a)
}

// Ended records the end of an attempt. An attempt that was not Started is
// ignored.
func (d *Detector) Ended(now time.Duration, a Attempt, o balancer.Outcome) []Notice {
	f := d.flight(a.Target)
	a, ok := f.remove(a.ID)
	if !ok {
		return nil
	}
	switch o {
	case balancer.OutcomeOK, balancer.OutcomeError:
		return d.clear(now, a.Fingerprint) // the target survived a complete run
	case balancer.OutcomeBroken, balancer.OutcomeTruncated:
		return d.broke(now, f, a)
	case balancer.OutcomeNotSent:
		return d.refused(now, f, a.Target)
	default:
		return nil
	}
}

// broke handles a broken connection. One alone makes its own request a suspect,
// with a strike if nothing else was in flight there. Several within the window
// are a crash. One is enough to block a request on trial, because it is the
// only suspect there.
func (d *Detector) broke(now time.Duration, f *flight, a Attempt) []Notice {
	f.addBreak(broken{fingerprint: a.Fingerprint, at: now})
	present, breaks := f.since(now - d.options.BreakWindow)
	var notices []Notice
	switch {
	case a.Trial:
		notices = append(notices, d.raise(now, a.Fingerprint, StateBlocked, 0))
	case len(present) == 1:
		notices = append(notices, d.raise(now, a.Fingerprint, StateSuspect, strikeOf(a.Target)))
	default:
		notices = append(notices, d.raise(now, a.Fingerprint, StateSuspect, 0))
	}
	if breaks > 1 {
		notices = append(notices, d.suspectAll(now, present)...)
	}
	return notices
}

// refused handles a refused connection, which confirms a crash if another
// connection to the target broke shortly before.
func (d *Detector) refused(now time.Duration, f *flight, target string) []Notice {
	f.forget(now - d.options.RefusedWindow)
	if len(f.broken) == 0 {
		return nil
	}
	return d.TargetCrashed(now, target)
}

// TargetCrashed makes suspects of all requests in flight at a target, and of those
// whose connections to it broke shortly before. It is also called when the end
// of the target is known from elsewhere.
func (d *Detector) TargetCrashed(now time.Duration, target string) []Notice {
	present, _ := d.flight(target).since(now - d.options.RefusedWindow)
	return d.suspectAll(now, present)
}

// suspectAll makes suspects of those that are not blocked.
func (d *Detector) suspectAll(now time.Duration, present []Fingerprint) []Notice {
	var notices []Notice
	for _, f := range present {
		if s, _ := d.Admit(now, f); s != Blocked {
			notices = append(notices, d.raise(now, f, StateSuspect, 0))
		}
	}
	return notices
}

// brokeRecently reports whether a target broke a connection within the window
// in which old connections to it may still break.
func (d *Detector) brokeRecently(now time.Duration, target string) bool {
	f, ok := d.flights[target]
	if !ok {
		return false
	}
	f.forget(now - d.options.RefusedWindow)
	return len(f.broken) > 0
}

func (d *Detector) flight(target string) *flight {
	f, ok := d.flights[target]
	if !ok {
		f = &flight{}
		d.flights[target] = f
	}
	return f
}
