package poison

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/balancer"
)

// Started records an attempt as in flight at its target. It must be called
// before the attempt is sent.
func (d *Detector) Started(now time.Duration, a Attempt) {
	activity := d.activityOf(a.Target)
	activity.attempts = append(activity.attempts, a)
}

// Ended records the end of an attempt and returns the notices that follow from
// it. It ignores attempts that Started has not recorded.
func (d *Detector) Ended(now time.Duration, a Attempt, o balancer.Outcome) []Notice {
	activity := d.activityOf(a.Target)
	a, ok := activity.remove(a.ID)
	if !ok {
		return nil
	}
	switch o {
	case balancer.OutcomeOK, balancer.OutcomeError:
		return d.clearRecords(now, a.Fingerprint) // the target completed the request
	case balancer.OutcomeBroken, balancer.OutcomeTruncated:
		return d.connectionBroke(now, activity, a)
	case balancer.OutcomeNotSent:
		return d.connectionRefused(now, activity, a.Target)
	default:
		return nil
	}
}

// connectionBroke handles a broken connection to a target. It makes the request
// of the attempt a suspect, and attributes the crash to it if no other
// request was in flight there. Several breaks within BreakWindow count as a
// crash and make suspects of all requests in flight there. A trial is blocked
// after a single break, because no other suspect runs on the target meanwhile.
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

// connectionRefused handles a refused connection, which confirms a crash if
// another connection to the target broke within RefusedWindow before.
func (d *Detector) connectionRefused(now time.Duration, activity *targetActivity, target string) []Notice {
	activity.pruneBroken(now - d.options.RefusedWindow)
	if len(activity.brokenAttempts) == 0 {
		return nil
	}
	return d.TargetCrashed(now, target)
}

// TargetCrashed makes suspects of all requests in flight at a target and of
// those whose connections to it broke within RefusedWindow before, and returns
// the notices. It may also be called when the crash of a target is known from
// another source than its attempts.
func (d *Detector) TargetCrashed(now time.Duration, target string) []Notice {
	fingerprints, _ := d.activityOf(target).fingerprintsSince(now - d.options.RefusedWindow)
	return d.suspectAll(now, fingerprints)
}

// suspectAll makes suspects of the fingerprints that are not blocked, and returns
// the notices.
func (d *Detector) suspectAll(now time.Duration, fingerprints []Fingerprint) []Notice {
	var notices []Notice
	for _, f := range fingerprints {
		if s, _ := d.Admit(now, f); s != Blocked {
			notices = append(notices, d.addRecord(now, f, StateSuspect, 0))
		}
	}
	return notices
}

// hasRecentBreak reports whether a connection to a target broke within
// RefusedWindow, in which other old connections to it may still break.
func (d *Detector) hasRecentBreak(now time.Duration, target string) bool {
	activity, ok := d.activities[target]
	if !ok {
		return false
	}
	activity.pruneBroken(now - d.options.RefusedWindow)
	return len(activity.brokenAttempts) > 0
}

// activityOf returns the activity of a target, which it creates if necessary.
func (d *Detector) activityOf(target string) *targetActivity {
	activity, ok := d.activities[target]
	if !ok {
		activity = &targetActivity{}
		d.activities[target] = activity
	}
	return activity
}
