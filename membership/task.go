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

// eventBuffer is the number of events that can be queued for the task.
const eventBuffer = 256

// Options configure a Task.
type Options struct {
	// Self describes this instance. ID, Incarnation and PeerAddress are required.
	Self Peer
	// Listener accepts the peers' connections. Required. Run closes it.
	Listener net.Listener
	// Identity secures the connections with peers by mTLS. Default: plain text.
	Identity *secure.Identity
	// List is the source of the platform's list of instances. Default: none.
	List configservice.Source
	// OnChange is called by the task after Instances, Members, Draining or Stale of
	// the view changed. It must not block. Default: none.
	OnChange func(*View)
	// OnAnnouncement is called by the task with the configuration in each state
	// that a peer sends, also if it has not changed. It must not block. Default:
	// none.
	OnAnnouncement func(peer string, version uint64, digest string)
	// Content returns the document of a version, to serve it to a peer. It reports
	// false if the version is not in force. If it is nil, the call fails with the
	// status Unimplemented.
	Content func(version uint64) ([]byte, bool)
	// Settler, Trials and Notices serve the calls of peers. The calls of one that
	// is nil fail with the status Unimplemented.
	Settler Settler
	Trials  Trials
	Notices Notices
	// Reachable lets tests simulate network partitions: calls to and from peers
	// for which it returns false fail. Default: all peers are reachable.
	Reachable func(peerID string) bool
	// Now returns the time since the start of the process. Default: the monotonic
	// clock, starting with NewTask.
	Now func() time.Duration
	// Load returns the number of callers' requests in flight at this instance.
	// Default: always 0.
	Load func() int
	// Rand is the source of random choices, used only by the task. Default: seeded
	// at random.
	Rand *rand.Rand
	// Interval is the time between rounds of exchanges. Default: DefaultInterval.
	Interval time.Duration
}

// Task owns the Members of an instance, its peer server and its connections to
// peers. All methods but Run are safe for concurrent use; Run is called once.
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
	ticks    <-chan time.Time // replaces the ticker; set by tests before Run
	calls    sync.WaitGroup   // exchanges in flight
}

// NewTask returns a task. It takes part in the fleet while Run runs.
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

// View returns the current view of the fleet.
func (t *Task) View() *View { return t.view.Load() }

// SetConfiguration sets the configuration in force that is announced to peers.
func (t *Task) SetConfiguration(version uint64, digest string) {
	t.post(func(time.Duration) { t.members.SetConfiguration(version, digest) })
}

// Leave announces to peers that this instance is leaving. It continues to take
// part in the protocol until Run ends.
func (t *Task) Leave() { t.post(func(time.Duration) { t.members.Leave() }) }

// ReportDraining announces to peers that a target was seen draining.
func (t *Task) ReportDraining(address string) {
	t.post(func(now time.Duration) { t.members.AddDraining(now, address) })
}

// post sends an event to the task. It blocks while the queue is full, and drops
// the event after the end of Run.
func (t *Task) post(event func(now time.Duration)) {
	select {
	case t.events <- event:
	case <-t.done:
	}
}

// Run serves peers and exchanges states with them until the context ends or the
// server fails. It returns nil after the context has ended.
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

// publish replaces the view and calls OnChange if it changed. When the state
// becomes stale, it also starts a read of the platform's list.
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

// handleList applies a list that the follower read. It ignores failed reads and
// invalid lists.
func (t *Task) handleList(d configservice.FetchResult) {
	if d.Err != nil {
		return // ErrUnchanged does not end staleness: its watch may have started before the pause
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
