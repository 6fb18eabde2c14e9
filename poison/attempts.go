package poison

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/balancer"
)

// Started records that an attempt is sent.
func (d *Detector) Started(now time.Duration, a Attempt) {
	activity := d.activityOf(a.Target)
	activity.attempts = append(activity.attempts, a)
}

// Ended records the end of an attempt. An attempt that was not Started is
// ignored.
func (d *Detector) Ended(now time.Duration, a Attempt, o balancer.Outcome) []Notice {
	activity := d.activityOf(a.Target)
	a, ok := activity.remove(a.ID)
	if !ok {
		return nil
	}
	switch o {
	case balancer.OutcomeOK, balancer.OutcomeError:
		return d.clearRecords(now, a.Fingerprint) // the target survived a complete run
	case balancer.OutcomeBroken, balancer.OutcomeTruncated:
		return d.connectionBroke(now, activity, a)
	case balancer.OutcomeNotSent:
		return d.connectionRefused(now, activity, a.Target)
	default:
		return nil
	}
}

// connectionBroke handles a broken connection. One alone makes its own request a suspect,
// with a strike if nothing else was in flight there. Several within the window
// are a crash. One is enough to block a request on trial, because it is the
// only suspect there.
func (d *Detector) connectionBroke(now time.Duration, activity *targetActivity, a Attempt) []Notice {
	activity.addBroken(brokenAttempt{fingerprint: a.Fingerprint, at: now})
	fingerprints, breaks := activity.fingerprintsSince(now - d.options.BreakWindow)
	var notices []Notice
	switch {
	case a.Trial:
		notices = append(notices, d.addRecord(now, a.Fingerprint, StateBlocked, 0))
	case len(fingerprints) == 1:
		notices = append(notices, d.addRecord(now, a.Fingerprint, StateSuspect, targetHash(a.Target)))
	default:
		notices = append(notices, d.addRecord(now, a.Fingerprint, StateSuspect, 0))
	}
	if breaks > 1 {
		notices = append(notices, d.suspectAll(now, fingerprints)...)
	}
	return notices
}

// connectionRefused handles a connectionRefused connection, which confirms a crash if another
// connection to the target broke shortly before.
func (d *Detector) connectionRefused(now time.Duration, activity *targetActivity, target string) []Notice {
	activity.pruneBroken(now - d.options.RefusedWindow)
	if len(activity.brokenAttempts) == 0 {
		return nil
	}
	return d.TargetCrashed(now, target)
}

// TargetCrashed makes suspects of all requests in flight at a target, and of those
// whose connections to it broke shortly before. It is also called when the end
// of the target is known from elsewhere.
func (d *Detector) TargetCrashed(now time.Duration, target string) []Notice {
	fingerprints, _ := d.activityOf(target).fingerprintsSince(now - d.options.RefusedWindow)
	return d.suspectAll(now, fingerprints)
}

// suspectAll makes suspects of those that are not blocked.
func (d *Detector) suspectAll(now time.Duration, fingerprints []Fingerprint) []Notice {
	var notices []Notice
	for _, f := range fingerprints {
		if s, _ := d.Admit(now, f); s != Blocked {
			notices = append(notices, d.addRecord(now, f, StateSuspect, 0))
		}
	}
	return notices
}

// hasRecentBreak reports whether a target broke a connection within the window
// in which old connections to it may still break.
func (d *Detector) hasRecentBreak(now time.Duration, target string) bool {
	activity, ok := d.activities[target]
	if !ok {
		return false
	}
	activity.pruneBroken(now - d.options.RefusedWindow)
	return len(activity.brokenAttempts) > 0
}

func (d *Detector) activityOf(target string) *targetActivity {
	activity, ok := d.activities[target]
	if !ok {
		activity = &targetActivity{}
		d.activities[target] = activity
	}
	return activity
}
