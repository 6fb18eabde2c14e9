package poison

import (
	"context"
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/owner"
	"github.com/dogwoodroute/dogwoodroute/refusal"
)

// Check refuses a blocked request. It is meant for the arrival of a request,
// before a target is chosen; Admit is still needed for each attempt.
func (t *Task) Check(ctx context.Context, f Fingerprint) *refusal.Refusal {
	if t.recordCount.Load() == 0 {
		return nil
	}
	d, err := owner.Ask(ctx, t.loop, func(now time.Duration) decision { return t.evaluate(now, f) })
	if err != nil {
		return t.refuseUnknown()
	}
	return d.refusal
}

// Admit asks to send a request to a target. It is called directly before each
// attempt, retries and hedged attempts included. A refusal means that the
// attempt must not be sent.
func (t *Task) Admit(ctx context.Context, f Fingerprint, target string) (Permit, *refusal.Refusal) {
	if t.recordCount.Load() == 0 {
		return Permit{}, nil
	}
	d, err := owner.Ask(ctx, t.loop, func(now time.Duration) decision { return t.reserve(now, f, target) })
	switch {
	case err != nil:
		return Permit{}, t.refuseUnknown()
	case d.refusal != nil || d.restriction == Unrestricted:
		return Permit{}, d.refusal
	}
	p := Permit{Trial: true, Deadline: d.reservedAt + t.options.Options.Lease - t.options.Options.LeaseMargin,
		fingerprint: f, target: target}
	if refused := t.acquireLeases(ctx, p, d.retryAfter); refused != nil {
		return Permit{}, refused
	}
	d, err = owner.Ask(ctx, t.loop, func(now time.Duration) decision { return t.confirm(now, f) })
	if err != nil || d.restriction != TrialOnly {
		t.Abandon(ctx, p)
		if err != nil {
			return Permit{}, t.refuseUnknown()
		}
		return Permit{}, d.refusal
	}
	t.broadcast(context.WithoutCancel(ctx), d.notices)
	return p, nil
}

// acquireLeases takes the leases of a reserved trial: of the fingerprint, so that it
// runs once at a time, and of the target, so that no two suspects run there
// together and one is blocked for the other.
func (t *Task) acquireLeases(ctx context.Context, p Permit, retryAfter time.Duration) *refusal.Refusal {
	reason := ""
	for _, key := range [...]Fingerprint{p.fingerprint, targetKey(p.target)} {
		granted, err := t.acquireLease(ctx, key)
		switch {
		case err != nil:
			reason = "the instance that permits trials of suspected requests does not answer"
		case !granted:
			reason = "another trial is in progress, or trials are not permitted yet"
		}
		if reason == "" {
			continue
		}
		if err != nil {
			t.releaseLease(ctx, key, VerdictNone) // the lease may have been granted
		}
		if key != p.fingerprint {
			t.releaseLease(ctx, p.fingerprint, VerdictNone)
		}
		t.endReservation(p.fingerprint)
		return refuse(reason, retryAfter)
	}
	return nil
}

// Abandon ends a trial that was not sent.
func (t *Task) Abandon(ctx context.Context, p Permit) {
	if p.Trial {
		t.finishTrial(ctx, p.fingerprint, p.target, VerdictNone)
	}
}

// finishTrial ends the leases of a trial. The target of a trial that broke takes
// no other trial for the rest of its lease, because other instances may still
// use connections to it that are dead.
func (t *Task) finishTrial(ctx context.Context, f Fingerprint, target string, v Verdict) {
	t.releaseLease(ctx, f, v)
	if v == VerdictBlocked {
		t.releaseLease(ctx, targetKey(target), VerdictTargetCrashed)
	} else {
		t.releaseLease(ctx, targetKey(target), VerdictNone)
	}
	t.endReservation(f)
}

func (t *Task) acquireLease(ctx context.Context, key Fingerprint) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, t.options.TrialTimeout)
	defer cancel()
	return t.options.Trials.Acquire(ctx, key)
}

// releaseLease tells the coordinator also when the caller has gone.
func (t *Task) releaseLease(ctx context.Context, key Fingerprint, v Verdict) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), t.options.TrialTimeout)
	defer cancel()
	_ = t.options.Trials.Release(ctx, key, v) // the lease expires if this is lost
}

// endReservation ends the reservation of a trial in this instance.
func (t *Task) endReservation(f Fingerprint) {
	t.loop.Post(func(time.Duration) { delete(t.reservedTrials, f) })
}

func (t *Task) refuseUnknown() *refusal.Refusal {
	return refuse("it is not known whether this request crashes targets", t.options.Options.MaxTrialRetryDelay)
}
