package confsync

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/dogwoodroute/dogwoodroute/configservice"
)

// eventBuffer is the number of events that can be queued for the task.
const eventBuffer = 64

// Syncer owns the configuration in force. All methods but Run are safe for
// concurrent use; Run is called once.
type Syncer struct {
	options  Options
	state    State
	events   chan func(ctx context.Context)
	follower *configservice.Follower
	ready    chan struct{}
	done     chan struct{}
	status   atomic.Pointer[Status]
	work     sync.WaitGroup

	// The fields below are used only by the task.
	appliedVersion uint64
	peersQueried   bool // all peers responded or StartWait has passed
	fetching       bool
	pendingFetch   *Announcement // the highest announcement that waits for its fetch
}

// New returns a syncer without a configuration.
func New(o Options) *Syncer {
	if o.StartWait == 0 {
		o.StartWait = DefaultStartWait
	}
	s := &Syncer{options: o, events: make(chan func(context.Context), eventBuffer), ready: make(chan struct{}), done: make(chan struct{})}
	s.follower = configservice.NewFollower(configservice.FollowerOptions{Source: o.Source, OnResult: s.handleResult})
	s.state.OnRefusal, s.state.OnConflict = o.OnRefusal, o.OnConflict
	s.status.Store(new(Status))
	return s
}

// Ready returns a channel that is closed when the start is complete: the service
// or a peer has supplied a valid document, and the listed peers have responded or
// StartWait has passed.
func (s *Syncer) Ready() <-chan struct{} { return s.ready }

// Status returns the latest snapshot.
func (s *Syncer) Status() Status { return *s.status.Load() }

// Content returns the bytes of the document in force, or false if it does not
// have the given version or the start is not complete.
func (s *Syncer) Content(version uint64) ([]byte, bool) {
	status := s.status.Load()
	if !status.Ready || status.document == nil || status.Version != version {
		return nil, false
	}
	return status.document.Source(), true
}

// HandleAnnouncement handles a peer's announcement of the configuration it has in
// force. It does not block: if the queue of events is full, the announcement is
// dropped, because the peer repeats it.
func (s *Syncer) HandleAnnouncement(peer string, version uint64, digest string) {
	a := Announcement{Peer: peer, Version: version, Digest: digest}
	select {
	case s.events <- func(ctx context.Context) { s.startFetch(ctx, a) }:
	default:
	}
}

// Refresh reads from the service without waiting for the end of a pending watch.
// It is called after a pause of this process.
func (s *Syncer) Refresh() { s.follower.Refresh() }

// Run keeps the configuration up to date until the context ends.
func (s *Syncer) Run(ctx context.Context) {
	s.work.Go(func() { s.follower.Run(ctx) })
	s.work.Go(func() { s.syncWithPeers(ctx) })
	for ctx.Err() == nil {
		select {
		case event := <-s.events:
			event(ctx)
			s.apply()
		case <-ctx.Done():
		}
	}
	close(s.done)
	s.work.Wait()
}

// post sends an event to the task. It blocks while the queue is full, and drops
// the event after the end of Run.
func (s *Syncer) post(event func(context.Context)) {
	select {
	case s.events <- event:
	case <-s.done:
	}
}

// handleResult offers a document that the follower read from the service.
func (s *Syncer) handleResult(d configservice.FetchResult) {
	if d.Err != nil {
		return // the follower retries; the document in force stays
	}
	s.post(func(context.Context) { s.state.Offer(Origin{}, d.Value.Data, nil) })
}

// apply completes the start when its conditions hold, puts a new document into
// force and publishes the status.
func (s *Syncer) apply() {
	document := s.state.document
	ready := s.peersQueried && document != nil
	if ready && document.Version > s.appliedVersion {
		s.appliedVersion = document.Version
		s.options.Apply(document)
	}
	status := s.state.Status()
	status.Ready = ready
	s.status.Store(status)
	if ready {
		select {
		case <-s.ready:
		default:
			close(s.ready)
		}
	}
}
