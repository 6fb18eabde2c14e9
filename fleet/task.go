package fleet

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/internal/owner"
	"github.com/dogwoodroute/dogwoodroute/peerapi"
	"github.com/dogwoodroute/dogwoodroute/quarantine"
	"github.com/dogwoodroute/dogwoodroute/records"
)

const (
	// tickInterval is how often the task looks for due work.
	tickInterval = 100 * time.Millisecond
	// sizeRetention is how long a member that fell silent counts in Snapshot.Size:
	// it may serve callers in another part of the fleet.
	sizeRetention = 60 * time.Second
	// storeFailedFor is how long an instance that the store does not answer lets
	// others read.
	storeFailedFor = 3 * time.Second
)

// Task owns the fleet's state in one instance. View and Snapshot are safe for
// concurrent use; all else happens in the goroutine of Run.
type Task struct {
	options  Options
	loop     *owner.Loop
	view     atomic.Pointer[catalog.View]
	snapshot atomic.Pointer[Snapshot]

	roster  *roster
	set     *records.Set
	builder *catalog.Builder
	clients *clients
	packer  packer
	context context.Context
	started time.Duration
	// readNotBefore is when the instance may first read the store.
	readNotBefore time.Duration

	stopReader         context.CancelFunc // set while a reader runs
	storeAnsweredAt    time.Duration      // last answer of the store to the reader
	storeFailedAt      time.Duration      // last failure of the store, 0 none
	storeFailing       bool
	nextRound          time.Duration
	round              int
	exchanging         map[netip.Addr]bool       // peers with an exchange under way
	queued             map[netip.Addr]*broadcast // what to tell peers with an exchange under way
	noReader           bool                      // no reader has been heard lately
	loggedLive         int                       // live instances in the last log line
	pendingRelay       broadcast                 // to do once the changes have arrived
	broadcastRevision  uint64                    // revision of the last change that was spread
	broadcastScheduled bool                      // peers are told of a change soon
	broadcastScope     scope                     // which ones
	failureReports     failureReports            // what is told of requests that crash targets
}

// New returns a task that Run starts.
func New(o Options) *Task {
	t := &Task{options: o, loop: owner.New(o.Now), set: records.NewSet(), builder: catalog.NewBuilder(),
		clients: newClients(o.Port, o.Identity), exchanging: make(map[netip.Addr]bool), queued: make(map[netip.Addr]*broadcast)}
	t.roster = newRoster(Member{IP: o.IP, Incarnation: o.Incarnation, Domain: o.Domain})
	t.view.Store(t.builder.Build(0, 0))
	t.snapshot.Store(&Snapshot{Size: 1})
	return t
}

// View returns the present view, never nil.
func (t *Task) View() *catalog.View { return t.view.Load() }

// Snapshot returns the present state of the fleet, never nil.
func (t *Task) Snapshot() *Snapshot { return t.snapshot.Load() }

// SetReady tells peers whether this instance can serve callers.
func (t *Task) SetReady(ready bool) {
	t.loop.Post(func(time.Duration) {
		if t.setFlag(Ready, ready) {
			t.scheduleBroadcast(scopeFew)
		}
	})
}

// Leave tells peers that this instance stops.
func (t *Task) Leave() {
	t.loop.Post(func(time.Duration) {
		if t.setFlag(Leaving, true) {
			t.setFlag(Ready, false)
			t.scheduleBroadcast(scopeFleet)
		}
	})
}

// ReportFailure tells all instances what a run of a request showed.
func (t *Task) ReportFailure(s quarantine.FailureReport) {
	t.loop.Post(func(time.Duration) {
		t.failureReports.add(s, netip.Addr{})
		t.scheduleBroadcast(scopeFew) // regular exchanges leave the failure domain every two seconds only
	})
}

// Run serves peers and follows the store until the context ends.
func (t *Task) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t.context, t.started = ctx, t.options.Now()
	t.readNotBefore = t.started + t.options.startDelay()
	server := grpc.NewServer(t.options.Identity.ServerOption(), grpc.ReadBufferSize(connectionBufferBytes), grpc.WriteBufferSize(connectionBufferBytes),
		grpc.InitialWindowSize(windowBytes), grpc.InitialConnWindowSize(windowBytes), grpc.ConnectionTimeout(exchangeTimeout))
	peerapi.RegisterFleetServer(server, &service{task: t})
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(t.options.Listener) }()
	go func() {
		t.loop.Run(ctx, tickInterval, t.tick)
		t.clients.close()
		server.Stop()
	}()
	t.loop.Post(t.tick)
	time.AfterFunc(t.readNotBefore-t.started, func() { t.loop.Post(t.updateReader) })
	err := <-failed
	if ctx.Err() != nil || err == nil {
		<-t.loop.Done()
		return nil
	}
	return errors.Wrap(err, "serve peers")
}

func (t *Task) setFlag(flag MemberState, on bool) bool {
	old := t.roster.self.State
	if on {
		t.roster.self.State |= flag
	} else {
		t.roster.self.State &^= flag
	}
	if t.roster.self.State != old {
		t.roster.self.Heartbeat++
		t.publishSnapshot(t.options.Now())
		return true
	}
	return false
}

func (t *Task) tick(now time.Duration) {
	t.roster.self.Heartbeat++
	t.roster.removeSilent(now)
	t.failureReports.expire(now)
	if t.builder.Expire(now) {
		t.publishView(now)
	}
	t.updateReader(now)
	for _, ip := range t.roster.dueProbes(now) {
		t.contact(now, ip, broadcast{})
	}
	if now >= t.nextRound {
		t.nextRound = now + exchangeInterval
		if t.set.Revision() == 0 {
			t.nextRound = now // a start: peers are asked with each tick
		}
		t.startRound(now)
	}
	t.publishSnapshot(now)
	t.logLive()
}

// updateReader starts or stops reading the store.
func (t *Task) updateReader(now time.Duration) {
	t.setFlag(Reading, t.stopReader != nil && t.storeAnsweredAt > 0 && now-t.storeAnsweredAt <= outageAfter && !t.storeFailing)
	t.setFlag(StoreFailed, t.storeFailedAt > 0 && now-t.storeFailedAt < storeFailedFor)
	silence := now - max(t.started, t.roster.lastReaderHeartbeat())
	shouldRead := now >= t.readNotBefore && (t.set.Revision() == 0 || t.roster.shouldRead(now, silence))
	if noReader := silence > t.roster.readerTimeout() && t.stopReader == nil; noReader != t.noReader {
		t.noReader = noReader
		t.options.Log.Info("readers of the store", "heard", !noReader, "silence_ms", silence.Milliseconds())
	}
	switch {
	case shouldRead && t.stopReader == nil:
		t.startReader()
	case !shouldRead && t.stopReader != nil:
		t.options.Log.Info("stop reading the store", "revision", t.set.Revision())
		t.stopReader()
		t.stopReader, t.storeFailing = nil, false
	}
}

func (t *Task) startReader() {
	ctx, cancel := context.WithCancel(t.context)
	t.stopReader, t.storeFailing = cancel, false
	t.options.Log.Info("start reading the store", "revision", t.set.Revision())
	r := &reader{source: t.options.Source, now: t.options.Now, revision: t.set.Revision(), answered: t.options.Now()}
	r.deliver = func(report readResult) {
		t.loop.Post(func(now time.Duration) {
			if ctx.Err() == nil {
				t.handleRead(now, report)
			}
		})
	}
	go r.run(ctx)
}

// handleRead takes the result of one call to the store.
func (t *Task) handleRead(now time.Duration, result readResult) {
	if result.err != nil {
		if !t.storeFailing {
			t.options.Log.Warn("lost the store", "error", result.err.Error(), "answered_ms_ago", (now - t.storeAnsweredAt).Milliseconds())
		}
		t.storeFailing, t.storeFailedAt = true, now
		t.updateReader(now)
		return
	}
	if t.storeFailing {
		t.options.Log.Info("regained the store", "revision", result.listing.Revision, "down_ms", (now - t.storeAnsweredAt).Milliseconds())
	}
	t.storeFailing, t.storeFailedAt, t.storeAnsweredAt = false, 0, now
	first := t.set.Revision() == 0
	var changed []records.Record
	if result.full {
		changed = t.set.Replace(result.listing.Records, result.listing.Revision, result.afterOutage)
	} else {
		for i := range result.listing.Records {
			r := &result.listing.Records[i]
			r.Lapsed = r.Deleted && result.afterOutage
		}
		changed = t.set.Apply(result.listing.Records, result.listing.Revision)
	}
	t.updateReader(now)
	if len(changed) == 0 {
		return
	}
	t.apply(now, changed)
	if first { // others that start wait for it
		t.broadcastScope = scopeFleet
		t.broadcastNow(now)
		return
	}
	t.broadcastUnlessFirstReaderDoes(now)
}

// apply decodes changed records and publishes the new view.
func (t *Task) apply(now time.Duration, changed []records.Record) {
	for _, r := range changed {
		t.applyOne(now, r)
	}
	t.publishView(now)
}

func (t *Task) applyOne(now time.Duration, r records.Record) {
	if r.Deleted {
		t.options.Log.Info("record removed", "key", r.Key, "revision", r.Revision, "lapsed", r.Lapsed)
		t.builder.Remove(now, r.Key, r.Lapsed)
		return
	}
	config, target, err := t.options.Decode(r.Key, r.Value)
	switch {
	case err != nil:
		t.options.Log.Warn("record not readable, ignored", "key", r.Key, "revision", r.Revision, "error", err.Error())
		t.builder.SetTarget(r.Key, nil)
	case config != nil:
		accepted := t.builder.SetConfig(config)
		t.options.Log.Info("configuration received", "version", config.Version, "revision", r.Revision, "in_force", accepted)
	case target != nil:
		t.builder.SetTarget(r.Key, target)
		t.options.Log.Info("target reported", "target", target.ID, "address", target.Address, "service", target.Service,
			"draining", target.Draining, "revision", r.Revision)
	}
}

func (t *Task) publishView(now time.Duration) {
	t.view.Store(t.builder.Build(now, t.set.Revision()))
	if t.options.OnView != nil {
		t.options.OnView()
	}
}

func (t *Task) publishSnapshot(now time.Duration) {
	s := &Snapshot{Size: 1}
	if t.roster.self.State.Has(Ready) {
		s.Live = append(s.Live, Instance{IP: t.roster.self.IP, Domain: t.roster.self.Domain})
	}
	for _, p := range t.roster.peers {
		if now-p.lastSeen < sizeRetention && !p.State.Has(Leaving) {
			s.Size++
		}
		if p.State.Has(Ready) && !p.State.Has(Leaving) && t.roster.live(now, p) {
			s.Live = append(s.Live, Instance{IP: p.IP, Domain: p.Domain})
		}
	}
	t.snapshot.Store(s)
}

// logLive logs a change of the number of live instances, at most once a tick.
func (t *Task) logLive() {
	if live := len(t.snapshot.Load().Live); live != t.loggedLive {
		t.options.Log.Info("live instances", "count", live, "before", t.loggedLive, "known", len(t.roster.peers)+1)
		t.loggedLive = live
	}
}
