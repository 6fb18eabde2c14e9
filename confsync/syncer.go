package confsync

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/dogwoodroute/dogwoodroute/configservice"
)

// eventBuffer is the number of events that may wait for the task.
const eventBuffer = 64

// Syncer owns the configuration in force. All methods but Run are safe for
// concurrent use.
type Syncer struct {
	options  Options
	state    State
	events   chan func(ctx context.Context)
	follower *configservice.Follower
	ready    chan struct{}
	done     chan struct{}
	status   atomic.Pointer[Status]
	work     sync.WaitGroup

	// The fields below belong to the task.
	appliedVersion uint64
	peersQueried   bool // all peers answered or the wait is over
	fetching       bool
	pendingFetch   *Announcement // the highest announcement that waits for its fetch
}

// New returns a syncer without configuration; call Run once.
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

// Ready is closed when the start is over: the service or a peer gave a valid
// document, and the live listed peers answered or StartWait passed.
func (s *Syncer) Ready() <-chan struct{} { return s.ready }

// Status returns the present snapshot.
func (s *Syncer) Status() Status { return *s.status.Load() }

// Content returns the document in force if it has the given version.
func (s *Syncer) Content(version uint64) ([]byte, bool) {
	status := s.status.Load()
	if !status.Ready || status.document == nil || status.Version != version {
		return nil, false
	}
	return status.document.Source(), true
}

// HandleAnnouncement takes a peer's announcement. It does not block: an announcement that
// finds no room is dropped, as the peer repeats it.
func (s *Syncer) HandleAnnouncement(peer string, version uint64, digest string) {
	a := Announcement{Peer: peer, Version: version, Digest: digest}
	select {
	case s.events <- func(ctx context.Context) { s.startFetch(ctx, a) }:
	default:
	}
}

// Refresh reads the service anew, after a pause of this process.
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

// post hands an event to the task, or drops it after the end of Run.
func (s *Syncer) post(event func(context.Context)) {
	select {
	case s.events <- event:
	case <-s.done:
	}
}

// handleResult takes a result of the service's follower.
func (s *Syncer) handleResult(d configservice.FetchResult) {
	if d.Err != nil {
		return // the follower goes on; the version in force stays
	}
	s.post(func(context.Context) { s.state.Offer(Origin{}, d.Value.Data, nil) })
}

// apply ends the start when its conditions hold, puts a new document in force
// and publishes the status.
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
