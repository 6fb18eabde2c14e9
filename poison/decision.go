package poison

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/refusal"
)

// decision is the owner's answer to a request that wants to run.
type decision struct {
	restriction Restriction
	refusal     *refusal.Refusal
	retryAfter  time.Duration // for later refusals of the same request
	reservedAt  time.Duration // when the trial was reserved
	notices     []Notice
}

// reserve decides on a request, and keeps other trials of its fingerprint in
// this instance out if it needs one.
func (t *Task) reserve(now time.Duration, f Fingerprint, target string) decision {
	d := t.evaluate(now, f)
	if d.restriction != TrialOnly {
		return d
	}
	if _, running := t.reservedTrials[f]; running {
		d.refusal = refuse("a trial of this suspected request is in progress", d.retryAfter)
		return d
	}
	if t.detector.hasRecentBreak(now, target) {
		d.refusal = refuse("the target of this suspected request broke connections just now", d.retryAfter)
		return d
	}
	t.reservedTrials[f] = struct{}{}
	return d
}

// evaluate decides without reserving.
func (t *Task) evaluate(now time.Duration, f Fingerprint) decision {
	restriction, blockedUntil := t.detector.Admit(now, f)
	d := decision{restriction: restriction, reservedAt: now}
	switch restriction {
	case Blocked:
		d.refusal = refuseBlocked(blockedUntil - now)
	case TrialOnly:
		// The jitter spreads the resends of many suspects.
		half := t.options.Options.MaxTrialRetryDelay / 2
		d.retryAfter = half + time.Duration(t.options.Random.Int64N(int64(half)+1))
	}
	return d
}

// confirm decides again once the leases are held, because a verdict may have
// arrived meanwhile, and makes the suspicion last longer than the trial.
func (t *Task) confirm(now time.Duration, f Fingerprint) decision {
	d := t.evaluate(now, f)
	if d.restriction == TrialOnly {
		d.notices = t.detector.extendSuspicion(now, f)
		t.publishRecordCount()
	}
	return d
}
