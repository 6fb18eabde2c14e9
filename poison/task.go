package poison

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/defaults"
	"github.com/dogwoodroute/dogwoodroute/internal/owner"
)

// tickInterval is the time between two prunings.
const tickInterval = time.Second

// outgoingCapacity is the number of clearings that wait to be broadcast. Further
// ones are dropped: the request then stays a suspect at some peers.
const outgoingCapacity = 256

// TaskOptions configure a Task.
type TaskOptions struct {
	// Options configure the decisions.
	Options Options
	// Random is owned by the task from now on. Required.
	Random *rand.Rand
	// Now returns the time since the instance's start. Required.
	Now func() time.Duration
	// Peers and Trials reach the other instances. Required.
	Peers  Peers
	Trials Trials
	// BroadcastTimeout bounds the wait for the peers' acknowledgement. Default 300 ms.
	BroadcastTimeout time.Duration
	// TrialTimeout bounds each question to a coordinator. Default 300 ms.
	TrialTimeout time.Duration
}

// Task owns a Detector and a Coordinator. All methods may be called by any
// goroutine.
type Task struct {
	options        TaskOptions
	loop           *owner.Loop
	recordCount    atomic.Int64  // number of records; zero lets every request pass without a message
	outgoing       chan []Notice // clearings to broadcast
	detector       *Detector     // owned by Run, like the fields below
	coordinator    *Coordinator
	reservedTrials map[Fingerprint]struct{} // trials of this instance
}

// NewTask returns a task; Run makes it work.
func NewTask(o TaskOptions) *Task {
	o.Options = o.Options.withDefaults()
	defaults.Positive(&o.BroadcastTimeout, 300*time.Millisecond)
	defaults.Positive(&o.TrialTimeout, 300*time.Millisecond)
	return &Task{options: o, loop: owner.New(o.Now), outgoing: make(chan []Notice, outgoingCapacity),
		detector: NewDetector(o.Options, o.Random), coordinator: NewCoordinator(o.Options),
		reservedTrials: make(map[Fingerprint]struct{})}
}

// Run handles messages until the context ends.
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

// broadcast waits for the peers' acknowledgement, within its bound. Peers that
// are not reached learn from the next exchange of Notices.
func (t *Task) broadcast(ctx context.Context, notices []Notice) {
	if len(notices) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, t.options.BroadcastTimeout)
	defer cancel()
	_ = t.options.Peers.Broadcast(ctx, notices)
}

// publishRecordCount publishes the number of records. It precedes every reply that
// acknowledges a notice.
func (t *Task) publishRecordCount() { t.recordCount.Store(int64(t.detector.RecordCount())) }
