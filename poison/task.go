package poison

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/defaults"
	"github.com/dogwoodroute/dogwoodroute/internal/owner"
)

// tickInterval is the interval at which expired records and leases are removed.
const tickInterval = time.Second

// outgoingCapacity bounds the number of queued broadcasts. Further ones are
// dropped; peers then may not learn of a clearing and keep treating the request
// as a suspect until its suspicion expires.
const outgoingCapacity = 256

// TaskOptions configures a Task.
type TaskOptions struct {
	// Options configures the detector and the coordinator.
	Options Options
	// Random must not be used by others after NewTask. Required.
	Random *rand.Rand
	// Now returns the time since the instance's start. Required.
	Now func() time.Duration
	// Peers and Trials communicate with the other instances. Required.
	Peers  Peers
	Trials Trials
	// BroadcastTimeout bounds the wait for acknowledgements of the peers. Default 300 ms.
	BroadcastTimeout time.Duration
	// TrialTimeout bounds each call to a coordinator. Default 300 ms.
	TrialTimeout time.Duration
}

// Task runs the goroutine that owns a Detector and a Coordinator. Its methods are
// safe for concurrent use.
type Task struct {
	options        TaskOptions
	loop           *owner.Loop
	recordCount    atomic.Int64  // number of records; while it is zero, requests are admitted without the loop
	outgoing       chan []Notice // broadcasts that no caller waits for
	detector       *Detector     // owned by Run, like the fields below
	coordinator    *Coordinator
	reservedTrials map[Fingerprint]struct{} // trials that this instance has reserved and not finished
}

// NewTask returns a task. It does nothing until Run is called.
func NewTask(o TaskOptions) *Task {
	o.Options = o.Options.withDefaults()
	defaults.Positive(&o.BroadcastTimeout, 300*time.Millisecond)
	defaults.Positive(&o.TrialTimeout, 300*time.Millisecond)
	return &Task{options: o, loop: owner.New(o.Now), outgoing: make(chan []Notice, outgoingCapacity),
		detector: NewDetector(o.Options, o.Random), coordinator: NewCoordinator(o.Options),
		reservedTrials: make(map[Fingerprint]struct{})}
}

// Run processes events until the context ends. It must be called once.
func (t *Task) Run(ctx context.Context) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		t.broadcastOutgoing(ctx)
	}()
	t.loop.Run(ctx, tickInterval, func(now time.Duration) {
		t.detector.Tick(now)
		t.coordinator.Tick(now)
		t.publishRecordCount()
	})
	<-ended
}

// broadcastOutgoing broadcasts the queued notices until the context ends.
func (t *Task) broadcastOutgoing(ctx context.Context) {
	for {
		select {
		case notices := <-t.outgoing:
			t.broadcast(ctx, notices)
		case <-ctx.Done():
			return
		}
	}
}

// broadcast sends notices to the peers and waits for their acknowledgements, at
// most for BroadcastTimeout. Peers that are not reached receive the records in
// the next exchange of Notices.
func (t *Task) broadcast(ctx context.Context, notices []Notice) {
	if len(notices) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, t.options.BroadcastTimeout)
	defer cancel()
	_ = t.options.Peers.Broadcast(ctx, notices)
}

// publishRecordCount updates recordCount. It must be called before a notice is
// acknowledged, so that the following requests see the record.
func (t *Task) publishRecordCount() { t.recordCount.Store(int64(t.detector.RecordCount())) }
