package poison

import (
	"context"
	"time"

	"github.com/dogwoodroute/dogwoodroute/balancer"
	"github.com/dogwoodroute/dogwoodroute/internal/owner"
)

// Started records that an attempt is sent. It does not wait.
func (t *Task) Started(a Attempt) {
	t.loop.Post(func(now time.Duration) { t.detector.Started(now, a) })
}

// Ended records the end of an attempt. When the connection broke or was
// refused, or the attempt was a trial, it returns after the peers have
// acknowledged what follows from it, within the bounds of TaskOptions; the
// caller of the request is answered only then. The context's end does not
// shorten this.
func (t *Task) Ended(ctx context.Context, a Attempt, o balancer.Outcome) {
	handle := func(now time.Duration) []Notice {
		notices := t.detector.Ended(now, a, o)
		t.publishRecordCount()
		return notices
	}
	switch {
	case a.Trial, o == balancer.OutcomeBroken, o == balancer.OutcomeTruncated, o == balancer.OutcomeNotSent:
	default:
		t.loop.Post(func(now time.Duration) { t.enqueueNotices(handle(now)) })
		return
	}
	ctx = context.WithoutCancel(ctx)
	if notices, err := owner.Ask(ctx, t.loop, handle); err == nil {
		t.broadcast(ctx, notices)
	}
	if a.Trial {
		t.finishTrial(ctx, a.Fingerprint, a.Target, verdictOf(o))
	}
}

// TargetCrashed makes suspects of the requests in flight at a target whose end is
// known from elsewhere. It returns like Ended.
func (t *Task) TargetCrashed(ctx context.Context, target string) {
	ctx = context.WithoutCancel(ctx)
	notices, err := owner.Ask(ctx, t.loop, func(now time.Duration) []Notice {
		notices := t.detector.TargetCrashed(now, target)
		t.publishRecordCount()
		return notices
	})
	if err == nil {
		t.broadcast(ctx, notices)
	}
}
