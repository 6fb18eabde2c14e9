package poison

import (
	"context"
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/owner"
	"github.com/dogwoodroute/dogwoodroute/refusal"
)

// Check returns a refusal if the request is blocked or its records cannot be
// read, and nil otherwise. It is meant to be called when a request arrives,
// before a target is chosen; Admit must still be called for each attempt.
func (t *Task) Check(ctx context.Context, f Fingerprint) *refusal.Refusal {
	if t.recordCount.Load() == 0 {
		return nil
	}
	d, err := owner.Call(ctx, t.loop, func(now time.Duration) decision { return t.evaluate(now, f) })
	if err != nil {
		return t.refuseUnknown()
	}
	return d.refusal
}

// Admit decides whether a request may be sent to a target. It must be called
// directly before each attempt, including retries and hedged attempts. A
// suspect gets a permit for a trial, which takes calls to the coordinators of
// two leases. If Admit returns a refusal, the attempt must not be sent.
func (t *Task) Admit(ctx context.Context, f Fingerprint, target string) (Permit, *refusal.Refusal) {
	if t.recordCount.Load() == 0 {
		return Permit{}, nil
	}
	d, err := owner.Call(ctx, t.loop, func(now time.Duration) decision { return t.reserve(now, f, target) })
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
	d, err = owner.Call(ctx, t.loop, func(now time.Duration) decision { return t.confirm(now, f) })
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

// acquireLeases acquires the two leases of a reserved trial. The lease of the
// fingerprint prevents concurrent trials of the same request. The lease of the
// target prevents concurrent trials of different suspects there, in which a
// harmless request would be blocked for a crash that the other one caused. On
// failure, it releases what it acquired, ends the reservation and returns a
// refusal.
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

// Abandon ends a trial whose attempt was not sent. Without a trial it does
// nothing.
func (t *Task) Abandon(ctx context.Context, p Permit) {
	if p.Trial {
		t.finishTrial(ctx, p.fingerprint, p.target, VerdictNone)
	}
}

// finishTrial ends the leases and the reservation of a trial. If the target
// broke the connection, its lease is left to expire and no other trial runs
// there until then, because other instances may still use dead connections to
// it.
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

// releaseLease reports the end of a lease to its coordinator, even if the
// context has ended.
func (t *Task) releaseLease(ctx context.Context, key Fingerprint, v Verdict) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), t.options.TrialTimeout)
	defer cancel()
	_ = t.options.Trials.Release(ctx, key, v) // on error, the lease expires
}

// endReservation allows other trials of a fingerprint in this instance. It returns
// without waiting for the effect.
func (t *Task) endReservation(f Fingerprint) {
	t.loop.Post(func(time.Duration) { delete(t.reservedTrials, f) })
}

func (t *Task) refuseUnknown() *refusal.Refusal {
	return refuse("it is not known whether this request crashes targets", t.options.Options.MaxTrialRetryDelay)
}
