package poison

import (
	"context"
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/owner"
)

// Merge merges notices of a peer. When it returns nil, they apply to all following
// requests, and the peer may be sent an acknowledgement.
func (t *Task) Merge(ctx context.Context, notices ...Notice) error {
	_, err := owner.Call(ctx, t.loop, func(now time.Duration) struct{} {
		t.detector.Merge(now, notices...)
		t.publishRecordCount()
		return struct{}{}
	})
	return err
}

// SomeNotices returns notices for an exchange with a peer, see Detector.SomeNotices.
func (t *Task) SomeNotices(ctx context.Context, limit int) ([]Notice, error) {
	return owner.Call(ctx, t.loop, func(now time.Duration) []Notice { return t.detector.SomeNotices(now, limit) })
}

// SetMembers replaces the set of live instances, which includes self; see
// Coordinator.SetMembers. It returns without waiting for the effect.
func (t *Task) SetMembers(self string, members []string) {
	t.loop.Post(func(now time.Duration) { t.coordinator.SetMembers(now, self, members) })
}

// Grant handles Trials.Acquire of an instance, which may be this one. It grants
// no lease on a blocked request; see also Coordinator.Grant.
func (t *Task) Grant(ctx context.Context, key Fingerprint, holder string) (bool, error) {
	return owner.Call(ctx, t.loop, func(now time.Duration) bool {
		s, _ := t.detector.Admit(now, key)
		return s != Blocked && t.coordinator.Grant(now, key, holder)
	})
}

// Release handles Trials.Release of an instance. It records the verdict before the
// lease ends, so that a later Grant sees it even if the notices of the holder
// were lost.
func (t *Task) Release(ctx context.Context, key Fingerprint, holder string, v Verdict) error {
	_, err := owner.Call(ctx, t.loop, func(now time.Duration) struct{} {
		s, _ := t.detector.Admit(now, key)
		switch {
		case v == VerdictBlocked && s != Blocked:
			t.enqueueNotices([]Notice{t.detector.addRecord(now, key, StateBlocked, 0)})
		case v == VerdictCleared:
			t.enqueueNotices(t.detector.clearRecords(now, key))
		}
		t.publishRecordCount()
		t.coordinator.Release(key, holder, v)
		return struct{}{}
	})
	return err
}

// enqueueNotices queues notices for a broadcast without waiting for it. It drops
// them if the queue is full.
func (t *Task) enqueueNotices(notices []Notice) {
	if len(notices) == 0 {
		return
	}
	select {
	case t.outgoing <- notices:
	default:
	}
}
