package poison

import (
	"context"
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/owner"
)

// Merge takes over notices of a peer. They are in force when it returns nil,
// which is when the peer may be sent an acknowledgement.
func (t *Task) Merge(ctx context.Context, notices ...Notice) error {
	_, err := owner.Ask(ctx, t.loop, func(now time.Duration) struct{} {
		t.detector.Merge(now, notices...)
		t.publishRecordCount()
		return struct{}{}
	})
	return err
}

// Notices returns all records, for the first exchange with a new peer.
func (t *Task) Notices(ctx context.Context) ([]Notice, error) {
	return owner.Ask(ctx, t.loop, t.detector.Notices)
}

// SetMembers replaces the live instances, this one included; see Coordinator.
func (t *Task) SetMembers(self string, members []string) {
	t.loop.Post(func(now time.Duration) { t.coordinator.SetMembers(now, self, members) })
}

// Grant answers Trials.Acquire of an instance, which may be this one. A
// blocked request is not granted a lease.
func (t *Task) Grant(ctx context.Context, key Fingerprint, holder string) (bool, error) {
	return owner.Ask(ctx, t.loop, func(now time.Duration) bool {
		s, _ := t.detector.Admit(now, key)
		return s != Blocked && t.coordinator.Grant(now, key, holder)
	})
}

// Release answers Trials.Release of an instance. The verdict is in force here
// before the lease ends, also when the holder's notices were lost.
func (t *Task) Release(ctx context.Context, key Fingerprint, holder string, v Verdict) error {
	_, err := owner.Ask(ctx, t.loop, func(now time.Duration) struct{} {
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

// enqueueNotices queues notices for a broadcast that nobody waits for.
func (t *Task) enqueueNotices(notices []Notice) {
	if len(notices) == 0 {
		return
	}
	select {
	case t.outgoing <- notices:
	default:
	}
}
