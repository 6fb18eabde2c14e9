package poison

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/refusal"
)

// decision is what the task's goroutine has decided on a request.
type decision struct {
	restriction Restriction
	refusal     *refusal.Refusal
	retryAfter  time.Duration // for refusals of a suspect
	reservedAt  time.Duration // time of the decision; the deadline of a trial counts from it
	notices     []Notice      // to be broadcast before the trial is sent
}

// reserve decides on an attempt. If the request needs a trial and may have one
// now, it reserves the trial, which prevents other trials of the fingerprint in
// this instance.
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

// evaluate decides on a request without reserving a trial.
func (t *Task) evaluate(now time.Duration, f Fingerprint) decision {
	restriction, blockedUntil := t.detector.Admit(now, f)
	d := decision{restriction: restriction, reservedAt: now}
	switch restriction {
	case Blocked:
		d.refusal = refuseBlocked(blockedUntil - now)
	case TrialOnly:
		// The jitter spreads the retries of many suspects over time.
		half := t.options.Options.MaxTrialRetryDelay / 2
		d.retryAfter = half + time.Duration(t.options.Random.Int64N(int64(half)+1))
	}
	return d
}

// confirm decides again after the leases were acquired, because the verdict of
// another trial may have arrived meanwhile. If the trial is still needed, it
// extends the suspicion beyond the end of the lease.
func (t *Task) confirm(now time.Duration, f Fingerprint) decision {
	d := t.evaluate(now, f)
	if d.restriction == TrialOnly {
		d.notices = t.detector.extendSuspicion(now, f)
		t.publishRecordCount()
	}
	return d
}
