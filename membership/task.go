package membership

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dogwoodroute/dogwoodroute/configservice"
	"github.com/dogwoodroute/dogwoodroute/secure"
)

// eventBuffer is the number of events that may wait for the task.
const eventBuffer = 256

// Options configure a Task.
type Options struct {
	// Self describes this instance. ID, Incarnation and PeerAddress are required.
	Self Peer
	// Listener accepts the peers' connections. Required. Run closes it.
	Listener net.Listener
	// Identity protects the links to peers. Default: plain links.
	Identity *secure.Identity
	// List is the platform's list of instances. Default none.
	List configservice.Source
	// OnChange is called by the task after a change of the fleet, of the draining
	// targets or of staleness. It must not block. Default none.
	OnChange func(*View)
	// OnAnnouncement is called by the task with each configuration that a peer announces.
	// It must not block. Default none.
	OnAnnouncement func(peer string, version uint64, digest string)
	// Content returns the document of a version for a peer, if it is in force.
	// Default none.
	Content func(version uint64) ([]byte, bool)
	// Settler, Trials and Notices answer peers. A nil one answers Unimplemented.
	Settler Settler
	Trials  Trials
	Notices Notices
	// Reachable is a test's switch for network partitions. Nil means all.
	Reachable func(peerID string) bool
	// Now is the time since the start of the process. Default the monotonic clock.
	Now func() time.Duration
	// Load returns the callers' requests in flight at this instance. Default none.
	Load func() int
	// Rand is the source of random choices, used only by the task. Default seeded at random.
	Rand *rand.Rand
	// Interval is the time between rounds. Default 500 ms.
	Interval time.Duration
}

// Task owns the Members of an instance, its peer server and its connections to
// peers. All methods but Run are safe for concurrent use.
type Task struct {
	options  Options
	members  *Members
	events   chan func(now time.Duration)
	done     chan struct{}
	listRead chan struct{}
	view     atomic.Pointer[View]
	clients  *clients
	traffic  *traffic
	list     *configservice.Follower
	ticks    <-chan time.Time // tests set it before Run
	calls    sync.WaitGroup   // exchanges in flight
}

// NewTask returns a task; call Run once.
func NewTask(o Options) *Task {
	if o.Now == nil {
		start := time.Now()
		o.Now = func() time.Duration { return time.Since(start) }
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if o.Interval == 0 {
		o.Interval = DefaultInterval
	}
	if o.Reachable == nil {
		o.Reachable = func(string) bool { return true }
	}
	t := &Task{options: o, events: make(chan func(time.Duration), eventBuffer), done: make(chan struct{}),
		listRead: make(chan struct{}), traffic: new(traffic)}
	t.members = NewMembers(MembersOptions{Self: o.Self, Rand: o.Rand, Interval: o.Interval, Load: o.Load})
	t.clients = newClients(o.Reachable, t.traffic, o.Identity)
	t.view.Store(t.members.View(o.Now()))
	if o.List != nil {
		t.list = configservice.NewFollower(configservice.FollowerOptions{Source: o.List, OnResult: t.handleList})
	}
	return t
}

// View returns the present picture of the fleet.
func (t *Task) View() *View { return t.view.Load() }

// SetConfiguration announces the configuration in force to the peers.
func (t *Task) SetConfiguration(version uint64, digest string) {
	t.post(func(time.Duration) { t.members.SetConfiguration(version, digest) })
}

// Leave announces that this instance is leaving. It stays a member until Run ends.
func (t *Task) Leave() { t.post(func(time.Duration) { t.members.Leave() }) }

// ReportDraining tells the peers of a target that was seen draining.
func (t *Task) ReportDraining(address string) {
	t.post(func(now time.Duration) { t.members.AddDraining(now, address) })
}

// post hands an event to the task, or drops it after the end of Run.
func (t *Task) post(event func(now time.Duration)) {
	select {
	case t.events <- event:
	case <-t.done:
	}
}

// Run takes part in the fleet until the context ends or the server fails.
func (t *Task) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	serveErr := make(chan error, 1)
	server := t.newServer()
	group.Go(func() { serveErr <- server.Serve(&countedListener{t.options.Listener, t.traffic}) })
	if t.list != nil {
		group.Go(func() { t.list.Run(ctx) })
	}
	err := t.loop(ctx, serveErr)
	cancel()
	close(t.done)
	server.Stop()
	t.clients.close()
	t.calls.Wait()
	group.Wait()
	return err
}

func (t *Task) loop(ctx context.Context, serveErr <-chan error) error {
	ticks := t.ticks
	if ticks == nil {
		ticker := time.NewTicker(t.options.Interval / 10)
		defer ticker.Stop()
		ticks = ticker.C
	}
	for {
		select {
		case event := <-t.events:
			event(t.options.Now())
		case <-ticks:
			t.tick(ctx, t.options.Now())
		case err := <-serveErr:
			return &CallError{Step: "serve", Peer: t.options.Listener.Addr().String(), Err: err}
		case <-ctx.Done():
			return nil
		}
		t.publish(t.options.Now())
	}
}

// publish replaces the view and reports what changed.
func (t *Task) publish(now time.Duration) {
	old, view := t.view.Load(), t.members.View(now)
	t.view.Store(view)
	if view.Stale && !old.Stale && t.list != nil {
		t.list.Refresh()
	}
	if view.changed(old) && t.options.OnChange != nil {
		t.options.OnChange(view)
	}
}

// handleList takes a result of the list's follower.
func (t *Task) handleList(d configservice.FetchResult) {
	if d.Err != nil {
		return // an unchanged watch was started long before its answer and proves little
	}
	list, err := configservice.ParseList(d.Value.Data)
	if err != nil {
		return
	}
	age := time.Since(d.Started)
	t.post(func(now time.Duration) {
		t.members.ApplyList(now, now-age, list)
		select {
		case <-t.listRead:
		default:
			close(t.listRead)
		}
	})
}
