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
	// sizeMemory is how long a member that fell silent counts in Snapshot.Size:
	// it may serve callers in another part of the fleet.
	sizeMemory = 60 * time.Second
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
	// readFrom is when the instance may first read the store.
	readFrom time.Duration

	stopReader context.CancelFunc // set while a reader runs
	answered   time.Duration      // last answer of the store to the reader
	failedAt   time.Duration      // last failure of the store, 0 none
	failing    bool
	nextRound  time.Duration
	round      int
	busy       map[netip.Addr]bool       // peers with an exchange under way
	again      map[netip.Addr]*broadcast // what to tell peers with an exchange under way
	orphaned   bool                      // no reader has been heard lately
	reported   int                       // live instances in the last log line
	owed       broadcast                 // to do once the changes have arrived
	told       uint64                    // revision of the last change that was spread
	spreading  bool                      // peers are told of a change soon
	reach      reach                     // which ones
	strikes    strikes                   // what is told of requests that crash targets
}

// New returns a task that Run starts.
func New(o Options) *Task {
	t := &Task{options: o, loop: owner.New(o.Now), set: records.NewSet(), builder: catalog.NewBuilder(),
		clients: newClients(o.Port, o.Identity), busy: make(map[netip.Addr]bool), again: make(map[netip.Addr]*broadcast)}
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
		if t.setState(Ready, ready) {
			t.spread(aFew)
		}
	})
}

// Leave tells peers that this instance stops.
func (t *Task) Leave() {
	t.loop.Post(func(time.Duration) {
		if t.setState(Leaving, true) {
			t.setState(Ready, false)
			t.spread(inFleet)
		}
	})
}

// ReportFailure tells all instances what a run of a request showed.
func (t *Task) ReportFailure(s quarantine.FailureReport) {
	t.loop.Post(func(time.Duration) {
		t.strikes.add(s, netip.Addr{})
		t.spread(aFew) // regular exchanges leave the failure domain every two seconds only
	})
}

// Run serves peers and follows the store until the context ends.
func (t *Task) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t.context, t.started = ctx, t.options.Now()
	t.readFrom = t.started + t.options.startDelay()
	server := grpc.NewServer(t.options.Identity.ServerOption(), grpc.ReadBufferSize(bufferBytes), grpc.WriteBufferSize(bufferBytes),
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
	time.AfterFunc(t.readFrom-t.started, func() { t.loop.Post(t.steerReader) })
	err := <-failed
	if ctx.Err() != nil || err == nil {
		<-t.loop.Done()
		return nil
	}
	return errors.Wrap(err, "serve peers")
}

func (t *Task) setState(flag MemberState, on bool) bool {
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
	t.roster.forget(now)
	t.strikes.forget(now)
	if t.builder.Expire(now) {
		t.publishView(now)
	}
	t.steerReader(now)
	for _, ip := range t.roster.quiet(now) {
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
	t.reportLive()
}

// steerReader starts or stops reading the store.
func (t *Task) steerReader(now time.Duration) {
	t.setState(Reading, t.stopReader != nil && t.answered > 0 && now-t.answered <= outageAfter && !t.failing)
	t.setState(StoreFailed, t.failedAt > 0 && now-t.failedAt < storeFailedFor)
	silence := now - max(t.started, t.roster.heardReader())
	want := now >= t.readFrom && (t.set.Revision() == 0 || t.roster.shouldRead(now, silence))
	if orphaned := silence > t.roster.patience() && t.stopReader == nil; orphaned != t.orphaned {
		t.orphaned = orphaned
		t.options.Log.Info("readers of the store", "heard", !orphaned, "silence_ms", silence.Milliseconds())
	}
	switch {
	case want && t.stopReader == nil:
		t.startReader()
	case !want && t.stopReader != nil:
		t.options.Log.Info("stop reading the store", "revision", t.set.Revision())
		t.stopReader()
		t.stopReader, t.failing = nil, false
	}
}

func (t *Task) startReader() {
	ctx, cancel := context.WithCancel(t.context)
	t.stopReader, t.failing = cancel, false
	t.options.Log.Info("start reading the store", "revision", t.set.Revision())
	r := &reader{source: t.options.Source, now: t.options.Now, revision: t.set.Revision(), answered: t.options.Now()}
	r.deliver = func(report readReport) {
		t.loop.Post(func(now time.Duration) {
			if ctx.Err() == nil {
				t.read(now, report)
			}
		})
	}
	go r.run(ctx)
}

// read takes the result of one call to the store.
func (t *Task) read(now time.Duration, report readReport) {
	if report.err != nil {
		if !t.failing {
			t.options.Log.Warn("lost the store", "error", report.err.Error(), "answered_ms_ago", (now - t.answered).Milliseconds())
		}
		t.failing, t.failedAt = true, now
		t.steerReader(now)
		return
	}
	if t.failing {
		t.options.Log.Info("regained the store", "revision", report.listing.Revision, "down_ms", (now - t.answered).Milliseconds())
	}
	t.failing, t.failedAt, t.answered = false, 0, now
	first := t.set.Revision() == 0
	var news []records.Record
	if report.full {
		news = t.set.Replace(report.listing.Records, report.listing.Revision, report.afterOutage)
	} else {
		for i := range report.listing.Records {
			r := &report.listing.Records[i]
			r.Lapsed = r.Deleted && report.afterOutage
		}
		news = t.set.Apply(report.listing.Records, report.listing.Revision)
	}
	t.steerReader(now)
	if len(news) == 0 {
		return
	}
	t.apply(now, news)
	if first { // others that start wait for it
		t.reach = inFleet
		t.spreadNow(now)
		return
	}
	t.spreadUnlessTold(now)
}

// apply decodes changed records and publishes the new view.
func (t *Task) apply(now time.Duration, news []records.Record) {
	for _, r := range news {
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
		if now-p.heard < sizeMemory && !p.State.Has(Leaving) {
			s.Size++
		}
		if p.State.Has(Ready) && !p.State.Has(Leaving) && t.roster.live(now, p) {
			s.Live = append(s.Live, Instance{IP: p.IP, Domain: p.Domain})
		}
	}
	t.snapshot.Store(s)
}

// reportLive logs a change of the number of live instances, at most once a tick.
func (t *Task) reportLive() {
	if live := len(t.snapshot.Load().Live); live != t.reported {
		t.options.Log.Info("live instances", "count", live, "before", t.reported, "known", len(t.roster.peers)+1)
		t.reported = live
	}
}
