package poison

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/refusal"
)

// reservation is the owner's answer to a request that wants to run.
type reservation struct {
	standing Restriction
	refusal  *refusal.Refusal
	retry    time.Duration // for later refusals of the same request
	start    time.Duration // when the trial was reserved
	notices  []Notice
}

// reserve decides on a request, and keeps other trials of its fingerprint in
// this instance out if it needs one.
func (t *Task) reserve(now time.Duration, f Fingerprint, target string) reservation {
	r := t.look(now, f)
	if r.standing != TrialOnly {
		return r
	}
	if _, running := t.trials[f]; running {
		r.refusal = refuse("a trial of this suspected request is in progress", r.retry)
		return r
	}
	if t.detector.brokeRecently(now, target) {
		r.refusal = refuse("the target of this suspected request broke connections just now", r.retry)
		return r
	}
	t.trials[f] = struct{}{}
	return r
}

// look decides without reserving.
func (t *Task) look(now time.Duration, f Fingerprint) reservation {
	standing, until := t.detector.Admit(now, f)
	r := reservation{standing: standing, start: now}
	switch standing {
	case Blocked:
		r.refusal = blocked(until - now)
	case TrialOnly:
		// The jitter spreads the resends of many suspects.
		half := t.options.Options.MaxTrialRetryDelay / 2
		r.retry = half + time.Duration(t.options.Random.Int64N(int64(half)+1))
	}
	return r
}

// confirm decides again once the leases are held, because a verdict may have
// arrived meanwhile, and makes the suspicion last longer than the trial.
func (t *Task) confirm(now time.Duration, f Fingerprint) reservation {
	r := t.look(now, f)
	if r.standing == TrialOnly {
		r.notices = t.detector.renew(now, f)
		t.count()
	}
	return r
}
