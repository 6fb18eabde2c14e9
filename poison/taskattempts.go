package poison

import (
	"context"
	"time"

	"github.com/dogwoodroute/dogwoodroute/balancer"
	"github.com/dogwoodroute/dogwoodroute/internal/owner"
)

// Started records an attempt as in flight; see Detector.Started. It returns without
// waiting for the effect.
func (t *Task) Started(a Attempt) {
	t.loop.Post(func(now time.Duration) { t.detector.Started(now, a) })
}

// Ended records the end of an attempt. If the connection broke or was refused,
// or the attempt was a trial, it returns after the peers have acknowledged the
// resulting notices or the time-outs of TaskOptions have passed; the caller of
// the request must not be answered earlier. The end of the context does not
// shorten this. In all other cases it returns without waiting for the effect.
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
	if notices, err := owner.Call(ctx, t.loop, handle); err == nil {
		t.broadcast(ctx, notices)
	}
	if a.Trial {
		t.finishTrial(ctx, a.Fingerprint, a.Target, verdictOf(o))
	}
}
