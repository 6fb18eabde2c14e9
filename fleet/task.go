package fleet

import (
	"context"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/internal/contain"
	"github.com/dogwoodroute/dogwoodroute/internal/owner"
	"github.com/dogwoodroute/dogwoodroute/peerapi"
	"github.com/dogwoodroute/dogwoodroute/records"
	"github.com/dogwoodroute/dogwoodroute/shortage"
)

const (
	// tickInterval is the time between the task's checks for due work.
	tickInterval = 100 * time.Millisecond
	// sizeRetention is how long a silent member counts in Snapshot.Size. It may still
	// serve callers in another part of a partitioned fleet.
	sizeRetention = 60 * time.Second
	// storeFailedFor is how long after a failed call to the store an instance gives other
	// instances precedence as readers.
	storeFailedFor = 3 * time.Second
	// isolatedAfter is the time without a successful exchange after which an instance that
	// knows of others counts as isolated. It starts four exchanges a second.
	isolatedAfter = time.Second
)

// Task takes part in the fleet for one instance and owns its copy of the shared state. All
// methods are safe for concurrent use: they read a published copy or post to the loop's
// goroutine, which alone uses the other fields.
type Task struct {
	options  Options
	loop     *owner.Loop
	view     atomic.Pointer[catalog.View]
	snapshot atomic.Pointer[Snapshot]

	roster *roster
	// seeds are the addresses from the settings of instances that may be running, without
	// this one. They were set at seedsSince.
	seeds      []netip.Addr
	seedsSince time.Duration
	set        *records.Set
	config     configInForce
	builder    *catalog.Builder
	clients    *clients
	packer     packer
	context    context.Context
	started    time.Duration
	// readNotBefore is the earliest time at which the instance may read the store.
	readNotBefore time.Duration

	stopReader         context.CancelFunc // set while a reader runs
	reader             *reader            // the one that runs or ran last
	storeAnsweredAt    time.Duration      // time of the store's last answer
	readerAnswered     bool               // the last call of the reader succeeded
	storeFailedAt      time.Duration      // time of the last failed call since the last answer, 0 if none
	storeFailing       bool               // the last call to the store failed
	storeFailures      int                // calls that failed since the store's last answer
	storeCallAfter     time.Duration      // earliest time of the next call if the store has failed and others read first
	nextRound          time.Duration
	round              int
	exchanging         map[netip.Addr]bool       // peers with an exchange in progress
	queued             map[netip.Addr]*broadcast // broadcasts to send to these peers in a next exchange
	readersSilent      bool                      // no reader's heartbeat has arrived for readerTimeout, also while this instance reads
	noReader           bool                      // readersSilent, while this instance does not read
	loggedLive         int                       // number of live instances that was logged last
	loggedIsolated     bool                      // Isolated as it was logged last
	pendingRelay       broadcast                 // broadcast to forward once its changes have arrived
	broadcastPosition  records.Position          // position up to which changes have been broadcast
	broadcastScheduled bool                      // broadcastNow will run within broadcastDelay
	broadcastScope     scope                     // scope of the scheduled broadcast
	failureReports     failureReports            // reports of requests that may crash targets
	demand             shortage.Ledger           // demand for services, a mean over the fleet
	publishedDemand    atomic.Pointer[[]shortage.Entry]
	demandQueued       atomic.Bool // figures of ReportDemand wait to be added to demand
	fullLists          fullLists
	queuedReports      atomic.Int64 // calls of ReportFailure whose report is not yet in failureReports
}

// New returns a task that does nothing until Run is called.
func New(o Options) *Task {
	t := &Task{options: o, loop: owner.New(o.Now), set: records.NewSet(), builder: catalog.NewBuilder(),
		clients: newClients(o.Port, o.Identity), exchanging: make(map[netip.Addr]bool), queued: make(map[netip.Addr]*broadcast)}
	t.loop.OnPanic(o.OnPanic)
	t.roster = newRoster(Member{IP: o.IP, Incarnation: o.Incarnation, Domain: o.Domain, Capacity: o.Capacity})
	t.seeds = t.othersOf(o.Seeds)
	t.view.Store(t.builder.Build(0, records.Position{}))
	t.snapshot.Store(&Snapshot{Size: 1, EffectiveSize: 1, self: Instance{IP: o.IP, Domain: o.Domain}, noShare: true})
	return t
}

// View returns the current view of configuration and targets, never nil.
func (t *Task) View() *catalog.View { return t.view.Load() }

// Snapshot returns the current membership of the fleet, never nil.
func (t *Task) Snapshot() *Snapshot { return t.snapshot.Load() }

// Leave marks this instance as leaving and not ready, and notifies all peers. It does not
// wait for them.
func (t *Task) Leave() {
	t.loop.Post(func(time.Duration) {
		if t.setFlag(Leaving, true) {
			t.setFlag(Ready, false)
			t.scheduleBroadcast(scopeFleet)
		}
	})
}

// Run serves peers, exchanges state with them and reads the store if this instance is a
// reader, until the context ends. It returns nil then, and an error if it cannot serve
// peers. It may be called once.
func (t *Task) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t.context, t.started = ctx, t.options.Now()
	t.seedsSince = t.started
	t.readNotBefore = t.started + t.options.startDelay()
	server := grpc.NewServer(t.options.Identity.ServerOption(), grpc.ReadBufferSize(connectionBufferBytes), grpc.WriteBufferSize(connectionBufferBytes),
		grpc.InitialWindowSize(windowBytes), grpc.InitialConnWindowSize(windowBytes), grpc.ConnectionTimeout(exchangeTimeout))
	peerapi.RegisterFleetServer(server, &service{task: t})
	if t.options.RegisterServices != nil {
		t.options.RegisterServices(server)
	}
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

// setFlag sets or clears a flag of this instance. It reports whether the flag changed.
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
	t.updateCutOff()
	for _, ip := range t.roster.dueProbes(now) {
		t.contact(now, ip, broadcast{})
	}
	if now >= t.nextRound {
		t.nextRound = now + exchangeInterval
		if t.set.Empty() {
			t.nextRound = now // no records yet: contact peers with each tick
		}
		t.startRound(now)
	}
	t.publishSnapshot(now)
	t.logLive()
}

// updateReader starts or stops reading the store as needed, and updates the flags
// Reading and StoreFailed of this instance.
func (t *Task) updateReader(now time.Duration) {
	t.setFlag(Reading, t.stopReader != nil && t.storeAnsweredAt > 0 && now-t.storeAnsweredAt <= outageAfter && !t.storeFailing)
	t.setFlag(StoreFailed, t.storeFailedAt > 0 && now-t.storeFailedAt < storeFailedFor)
	silence := now - max(t.started, t.roster.lastReaderHeartbeat())
	shouldRead := now >= t.readNotBefore && (t.set.Empty() || t.roster.shouldRead(now, silence, t.storeFailures == 0 || now >= t.storeCallAfter))
	if silent := silence > t.roster.readerTimeout(); silent != t.readersSilent {
		if t.readersSilent = silent; silent {
			t.askReaders(now)
		}
	}
	if noReader := t.readersSilent && t.stopReader == nil; noReader != t.noReader {
		t.noReader = noReader
		t.options.Log.Info("heartbeats of store readers", "heard", !noReader, "silence_ms", silence.Milliseconds())
	}
	switch {
	case shouldRead && t.stopReader == nil:
		t.startReader()
	case !shouldRead && t.stopReader != nil:
		t.options.Log.Info("stop reading the store", "era", t.set.Position().Era, "revision", t.set.Position().Revision)
		t.stopReader()
		t.stopReader, t.storeFailing = nil, false
	}
	if t.stopReader != nil {
		t.reader.first.Store(t.roster.isFirstReader(now))
	}
}

// askReaders contacts the instances that should read the store and of which no heartbeat has
// arrived, if this instance is one of the next readers. The heartbeat may have been lost on its
// way: if one of them answers as a reader before this instance's turn to read, the call to
// the store is saved.
func (t *Task) askReaders(now time.Duration) {
	list := t.roster.candidates(now)
	if rank := slices.IndexFunc(list, func(c candidate) bool { return c.self }); rank < wantedReaders || rank > maxAskingRank {
		return
	}
	for _, c := range list[:wantedReaders] {
		t.contact(now, c.member.IP, broadcast{})
	}
}

// notifySuccessors tells the next readers that the store has failed this instance while it
// was a reader, so that they need not learn it from others or from missing heartbeats. An
// instance that the store has not answered does not do so: if the store is down, the
// calls to it would pass through the whole fleet at once.
func (t *Task) notifySuccessors(now time.Duration) {
	for _, successor := range t.roster.successors(now) {
		t.contact(now, successor, broadcast{})
	}
}

func (t *Task) startReader() {
	ctx, cancel := context.WithCancel(t.context)
	t.stopReader, t.storeFailing, t.readerAnswered = cancel, false, false
	t.options.Log.Info("start reading the store", "era", t.set.Position().Era, "revision", t.set.Position().Revision)
	r := &reader{source: t.options.Source, now: t.options.Now, position: t.set.Position(), answered: t.options.Now(), failures: t.storeFailures, onPanic: t.options.OnPanic}
	r.deliver = func(result readResult) {
		t.loop.Post(func(now time.Duration) {
			if ctx.Err() == nil {
				t.handleRead(now, result)
			}
		})
	}
	t.reader = r
	go r.run(ctx)
}

// handleRead handles the result of one call to the store.
func (t *Task) handleRead(now time.Duration, result readResult) {
	if result.err != nil {
		if !t.storeFailing {
			t.options.Log.Warn("store does not answer, retrying", "error", result.err.Error(), "answered_ms_ago", (now - t.storeAnsweredAt).Milliseconds())
		}
		t.storeFailing, t.storeFailedAt = true, now
		t.storeFailures++
		t.storeCallAfter = now + t.roster.outageCallDelay()
		t.updateReader(now)
		if t.readerAnswered {
			t.readerAnswered = false
			t.notifySuccessors(now)
		}
		return
	}
	t.readerAnswered = true
	if t.storeFailing {
		t.options.Log.Info("store answers again", "era", result.listing.Position.Era, "revision", result.listing.Position.Revision,
			"down_ms", (now - t.storeAnsweredAt).Milliseconds())
	}
	if result.afterSilence {
		t.options.Log.Warn("watch of the store was silent, listed instead", "era", result.listing.Position.Era, "revision", result.listing.Position.Revision,
			"answered_ms_ago", (now - t.storeAnsweredAt).Milliseconds())
	}
	t.storeFailing, t.storeFailedAt, t.storeAnsweredAt, t.storeFailures = false, 0, now, 0
	before := t.set.Position()
	var changed []records.Record
	if result.full {
		changed = t.set.Replace(result.listing.Records, result.listing.Position, result.afterOutage)
	} else {
		for i := range result.listing.Records {
			r := &result.listing.Records[i]
			r.Lapsed = r.Deleted && result.afterOutage
		}
		changed = t.set.Apply(result.listing.Records, result.listing.Position)
	}
	t.updateReader(now)
	if len(changed) == 0 && t.set.Position().Era == before.Era {
		return
	}
	t.logEra(before, changed)
	t.apply(now, changed)
	if before.Revision == 0 { // other starting instances wait for the records
		t.broadcastScope = scopeFleet
		t.broadcastNow(now)
		return
	}
	t.broadcastUnlessFirstReaderDoes(now)
}

// logEra logs that the store was restored from an older copy if the era is later than at
// the position before.
func (t *Task) logEra(before records.Position, changed []records.Record) {
	if now := t.set.Position(); before.Revision > 0 && now.Era != before.Era {
		t.options.Log.Info("store was restored from an older copy", "era", now.Era, "revision", now.Revision,
			"era_before", before.Era, "revision_before", before.Revision, "changed", len(changed))
	}
}

// apply decodes changed records and publishes the new view.
func (t *Task) apply(now time.Duration, changed []records.Record) {
	for _, r := range changed {
		t.applyOne(now, r)
	}
	t.publishView(now)
}

// decode decodes a record. A panic of the decoder is an error: it concerns that record only.
func (t *Task) decode(r records.Record) (entry catalog.Entry, err error) {
	if failed := contain.Run("decoding of a record", t.options.OnPanic, func() {
		entry, err = t.options.Decode(r.Key, r.Value)
	}); failed != nil {
		return catalog.Entry{}, failed
	}
	return entry, err
}

func (t *Task) applyOne(now time.Duration, r records.Record) {
	if r.Deleted {
		t.options.Log.Info("record removed", "key", r.Key, "era", t.set.Position().Era, "revision", r.Revision, "lapsed", r.Lapsed)
		t.builder.Remove(now, r.Key, r.Lapsed)
		return
	}
	entry, err := t.decode(r)
	switch target := entry.Target; {
	case err != nil:
		t.options.Log.Warn("cannot decode record, not used", "key", r.Key, "revision", r.Revision, "error", logText(err))
		t.builder.SetTarget(r.Key, nil)
	case entry.Config != nil:
		t.setConfig(r, entry.Config)
	case entry.EvacuatedDomain != "":
		t.builder.SetEvacuated(r.Key, entry.EvacuatedDomain)
	case target != nil:
		accepted := t.builder.SetTarget(r.Key, target)
		t.options.Log.Info("target reported", "target", target.ID, "address", target.Address, "service", target.Service,
			"draining", target.Draining, "in_force", accepted, "era", t.set.Position().Era, "revision", r.Revision)
	}
}

func (t *Task) publishView(now time.Duration) {
	view, before := t.builder.Build(now, t.set.Position()), t.view.Load()
	t.view.Store(view)
	if !slices.Equal(view.Evacuated, before.Evacuated) {
		t.options.Log.Info("evacuated failure domains changed", "domains", view.Evacuated, "before", before.Evacuated,
			"era", view.Position.Era, "revision", view.Position.Revision)
	}
	if t.options.OnView != nil && t.setFlag(Ready, t.options.OnView()) {
		t.scheduleBroadcast(scopeFew)
	}
}

func (t *Task) publishSnapshot(now time.Duration) {
	self := t.roster.self.instance()
	starting := len(t.roster.peers) == 0 && now-t.started < isolatedAfter
	s := &Snapshot{self: self, noShare: starting || t.roster.self.State.Has(Leaving)}
	if t.roster.self.State.Has(Ready) {
		s.Live = append(s.Live, self)
	}
	var leaving []Instance // they still use their parts of budgets over a window
	for _, p := range t.roster.peers {
		switch {
		case now-p.lastSeen >= sizeRetention:
		case p.State.Has(Leaving):
			leaving = append(leaving, p.instance())
		default:
			s.members = append(s.members, p.instance())
		}
		if t.roster.callable(now, p) {
			s.Live = append(s.Live, p.instance())
		}
	}
	if len(t.roster.peers) == 0 && now-t.seedsSince < sizeRetention {
		for _, seed := range t.seeds { // they may be running, and know others
			s.members = append(s.members, Instance{IP: seed, Domain: unknownDomain})
		}
	}
	s.Size = 1 + len(s.members)
	selves := []Instance{s.self}
	setWeights(selves, s.members, leaving, s.Live)
	s.self = selves[0]
	s.EffectiveSize = effectiveSize(s.self, append(leaving, s.members...))
	s.Isolated = (len(s.members) > 0 || len(t.seeds) > 0) && now-max(t.roster.lastContact, t.started) > isolatedAfter
	t.snapshot.Store(s)
}

// logLive logs the number of live instances, and whether this one is isolated, if that has
// changed since the last tick.
func (t *Task) logLive() {
	s := t.snapshot.Load()
	if live := len(s.Live); live != t.loggedLive || s.Isolated != t.loggedIsolated {
		t.options.Log.Info("live instances", "count", live, "before", t.loggedLive, "known", len(t.roster.peers)+1, "isolated", s.Isolated)
		t.loggedLive, t.loggedIsolated = live, s.Isolated
	}
}
