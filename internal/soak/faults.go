package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/internal/backoff"
)

// fault is one kind of event. Events of the same and of other kinds may overlap.
type fault struct {
	name string
	// planned is true for operations that must not make requests fail.
	planned bool
	// inject carries out the event and returns when it has ended.
	inject func(ctx context.Context, f *fleet, r *rand.Rand)
}

// faults lists all kinds of events. The names are keys of Result.Events.
var faults = []fault{
	{"stop and start", true, func(ctx context.Context, f *fleet, r *rand.Rand) {
		i := f.anyInstance(r)
		i.stop()
		backoff.Sleep(ctx, randomBelow(r, time.Second))
		f.start(i)
	}},
	{"settings", true, func(_ context.Context, f *fleet, r *rand.Rand) { f.anyInstance(r).reload(r) }},
	{"drain and return", true, func(ctx context.Context, f *fleet, r *rand.Rand) { f.drain(ctx, f.anyTarget(r), r) }},
	{"configuration", true, func(_ context.Context, f *fleet, r *rand.Rand) { f.reconfigure(r) }},
	{"late requests in a stop", true, func(ctx context.Context, f *fleet, r *rand.Rand) { f.lateRequests(ctx, f.anyInstance(r)) }},
	{"domain evacuated", true, func(ctx context.Context, f *fleet, r *rand.Rand) { f.evacuate(ctx, r) }},
	{"long configurations in a burst", true, func(ctx context.Context, f *fleet, r *rand.Rand) { f.burst(ctx, r) }},
	{"long bodies", true, func(ctx context.Context, f *fleet, r *rand.Rand) { f.longBodies(ctx, f.anyInstance(r), r) }},
	{"kill", false, func(ctx context.Context, f *fleet, r *rand.Rand) {
		i := f.anyInstance(r)
		i.signal(syscall.SIGKILL)
		backoff.Sleep(ctx, randomBelow(r, 2*time.Second))
		f.start(i)
	}},
	{"kill all", false, func(ctx context.Context, f *fleet, r *rand.Rand) {
		for _, i := range f.instances {
			i.signal(syscall.SIGKILL)
		}
		backoff.Sleep(ctx, randomBelow(r, time.Second))
		f.startAll()
	}},
	{"pause", false, func(ctx context.Context, f *fleet, r *rand.Rand) {
		i := f.anyInstance(r)
		i.signal(syscall.SIGSTOP)
		backoff.Sleep(ctx, randomDuration(r, 4*time.Second))
		i.signal(syscall.SIGCONT)
	}},
	{"callers' link", false, func(ctx context.Context, f *fleet, r *rand.Rand) { disturbProxy(ctx, f.anyInstance(r).callerProxy, r) }},
	{"target's link", false, func(ctx context.Context, f *fleet, r *rand.Rand) { disturbProxy(ctx, f.anyTarget(r).proxy, r) }},
	{"instances lose all targets", false, func(ctx context.Context, f *fleet, r *rand.Rand) { f.loseTargets(ctx, r) }},
	{"store's link", false, func(ctx context.Context, f *fleet, r *rand.Rand) { disturbProxy(ctx, f.anyInstance(r).storeProxy, r) }},
	{"store down", false, func(ctx context.Context, f *fleet, r *rand.Rand) {
		f.store.FailCalls(func(*http.Request) bool { return true })
		backoff.Sleep(ctx, randomDuration(r, 4*time.Second))
		f.store.FailCalls(nil)
	}},
	{"store forgets", false, func(_ context.Context, f *fleet, _ *rand.Rand) { f.store.Compact() }},
	{"store restored", false, func(ctx context.Context, f *fleet, r *rand.Rand) { f.restoreStore(ctx, r) }},
	{"target fails", false, func(ctx context.Context, f *fleet, r *rand.Rand) {
		share := 0.2 + 0.8*r.Float64()
		b := []behaviour{{dropResponse: share}, {truncate: share}, {fail: share}, {reject: share}, {hang: share}, {slowdown: 1 + 9*share}}[r.IntN(6)]
		t := f.anyTarget(r)
		t.update(func(_ *catalog.Target, now *behaviour) { *now = b })
		backoff.Sleep(ctx, randomDuration(r, 4*time.Second))
		t.update(func(_ *catalog.Target, now *behaviour) { *now = behaviour{} })
	}},
	{"domain returns cold", false, func(ctx context.Context, f *fleet, r *rand.Rand) { f.returnCold(ctx, r) }},
	{"target answers without end", false, func(ctx context.Context, f *fleet, r *rand.Rand) {
		t := f.anyTarget(r)
		t.update(func(_ *catalog.Target, now *behaviour) { *now = behaviour{endless: 0.2 + 0.8*r.Float64()} })
		backoff.Sleep(ctx, randomDuration(r, 4*time.Second))
		t.update(func(_ *catalog.Target, now *behaviour) { *now = behaviour{} })
	}},
	{"entry lapses", false, func(ctx context.Context, f *fleet, r *rand.Rand) { f.lapse(ctx, f.anyTarget(r), r) }},
	{"seeds out of date", false, func(ctx context.Context, f *fleet, r *rand.Rand) { f.staleSeeds(ctx, r) }},
	{"target names a limit", false, func(ctx context.Context, f *fleet, r *rand.Rand) { f.nameLimit(ctx, f.anyTarget(r), r) }},
	{"target asks for pauses", false, func(ctx context.Context, f *fleet, r *rand.Rand) {
		t := f.anyTarget(r)
		b := behaviour{reject: 0.2 + 0.8*r.Float64(), pause: randomDuration(r, 4*time.Second)}
		t.update(func(_ *catalog.Target, now *behaviour) { *now = b })
		backoff.Sleep(ctx, randomDuration(r, 4*time.Second))
		t.update(func(_ *catalog.Target, now *behaviour) { *now = behaviour{} })
	}},
	{"address taken over", false, func(ctx context.Context, f *fleet, r *rand.Rand) { f.replace(ctx, f.anyTarget(r), r) }},
}

// randomBelow returns a random duration from 0 up to, but not including, the limit.
func randomBelow(r *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(limit)))
}

// randomDuration returns a random duration between a tenth of the limit and the
// limit.
func randomDuration(r *rand.Rand, limit time.Duration) time.Duration {
	return limit/10 + randomBelow(r, limit-limit/10)
}

// disturbProxy applies one random fault to a proxy: it resets the open
// connections, refuses new ones, adds a delay or drops data. It returns when the
// fault has ended.
func disturbProxy(ctx context.Context, p *proxy, r *rand.Rand) {
	state := []proxyState{{}, {resetNew: true}, {delay: randomDuration(r, 100*time.Millisecond)}, {dropToServer: true}, {dropToClient: true},
		{dropToServer: true, dropToClient: true}}[r.IntN(6)]
	p.setState(state)
	if state == (proxyState{}) || state.resetNew {
		p.reset()
		if !state.resetNew {
			return
		}
	}
	backoff.Sleep(ctx, randomDuration(r, 3*time.Second))
	p.setState(proxyState{})
}

// loseTargets cuts some instances, at times all, off from all targets: their connections fall
// silent, are reset, or live on while new ones are refused. It returns when the cut has ended.
func (f *fleet) loseTargets(ctx context.Context, r *rand.Rand) {
	share := 0.2 + 0.9*r.Float64()
	silent, refused := proxyState{dropToServer: true, dropToClient: true}, proxyState{resetNew: true}
	state, reset := []proxyState{silent, refused, refused}[r.IntN(3)], r.IntN(2) == 0
	var sources []string
	for _, i := range f.instances {
		if r.Float64() < share {
			sources = append(sources, i.sourceAddress())
		}
	}
	set := func(s proxyState) {
		for _, t := range f.targets {
			for _, source := range sources {
				t.proxy.setSourceState(source, s)
			}
		}
	}
	set(state)
	if state == refused && reset {
		for _, t := range f.targets {
			t.proxy.resetIf(func(c net.Conn) bool { return slices.Contains(sources, sourceOf(c)) })
		}
	}
	backoff.Sleep(ctx, randomDuration(r, 4*time.Second))
	set(proxyState{})
}

func (f *fleet) anyInstance(r *rand.Rand) *instance { return f.instances[r.IntN(len(f.instances))] }
func (f *fleet) anyTarget(r *rand.Rand) *target     { return f.targets[r.IntN(len(f.targets))] }

// start starts an instance and records a failure to start as a violation.
func (f *fleet) start(i *instance) {
	if err := i.start(); err != nil {
		i.addViolation(err.Error())
	}
}

// startAll starts the instances that do not run.
func (f *fleet) startAll() {
	for _, i := range f.instances {
		f.start(i)
	}
}

// drain lets a target leave: it says so in its responses and, mostly, in its entry, which
// is removed after the drain limit. Then the target is published again under a new
// identifier.
func (f *fleet) drain(ctx context.Context, t *target, r *rand.Rand) {
	t.eventLock.Lock()
	defer t.eventLock.Unlock()
	entrySaysSo := r.IntN(3) > 0
	t.setSaid(advice{leaving: true}, r.IntN(2) == 0)
	if entrySaysSo {
		t.update(func(entry *catalog.Target, _ *behaviour) { entry.Draining = true })
		f.publish(t)
	}
	backoff.Sleep(ctx, 2*drainLimit+maxWork*tailFactor)
	f.unpublish(t)
	t.setSaid(advice{}, false)
	t.update(func(entry *catalog.Target, _ *behaviour) { entry.Draining, entry.ID = false, successor(entry.ID) })
	f.publish(t)
}

// nameLimit lets a target name a limit for a while, sometimes not in responses to probes.
func (f *fleet) nameLimit(ctx context.Context, t *target, r *rand.Rand) {
	t.eventLock.Lock()
	defer t.eventLock.Unlock()
	named := namedLimit{target: t.currentEntry().ID, perSecond: 0.5 + 4*r.Float64(), from: f.now()}
	t.setSaid(advice{perSecond: named.perSecond}, r.IntN(2) == 0)
	backoff.Sleep(ctx, recoveryTime+limitWindow+randomDuration(r, 3*time.Second))
	named.to = f.now()
	t.setSaid(advice{}, false)
	f.recorder.addLimit(named)
}

// lapse lets the entry of a target that names a limit expire for a moment, as if it was cut
// off from the store, while it serves requests.
func (f *fleet) lapse(ctx context.Context, t *target, r *rand.Rand) {
	t.eventLock.Lock()
	defer t.eventLock.Unlock()
	named := namedLimit{target: t.currentEntry().ID, perSecond: 0.5 + 2*r.Float64(), from: f.now()}
	t.setSaid(advice{perSecond: named.perSecond}, true)
	backoff.Sleep(ctx, recoveryTime+time.Second)
	f.store.DeleteTarget(named.target) // shorter than drainLimit, so it is no departure
	backoff.Sleep(ctx, randomDuration(r, drainLimit*3/4))
	t.update(func(*catalog.Target, *behaviour) {})
	f.publish(t)
	backoff.Sleep(ctx, limitWindow)
	named.to = f.now()
	t.setSaid(advice{}, false)
	f.recorder.addLimit(named)
}

// restoreStore takes the store down and brings it back with a copy of some seconds ago.
// The operators and the targets then write their entries again, and the entries of
// targets that have left since are removed.
func (f *fleet) restoreStore(ctx context.Context, r *rand.Rand) {
	copied := f.store.Revision()
	backoff.Sleep(ctx, randomDuration(r, 4*time.Second))
	current := make(map[string]bool)
	for _, t := range f.targets {
		t.eventLock.Lock()
		defer t.eventLock.Unlock()
		current[t.currentEntry().ID] = true
	}
	f.configLock.Lock()
	defer f.configLock.Unlock()
	f.store.FailCalls(func(*http.Request) bool { return true })
	backoff.Sleep(ctx, randomDuration(r, 2*time.Second))
	f.store.Restore(copied)
	f.store.FailCalls(nil)
	backoff.Sleep(ctx, randomBelow(r, time.Second))
	f.store.PutConfig(&f.config)
	f.restoreEvacuations()
	for _, t := range f.targets {
		t.update(func(*catalog.Target, *behaviour) {}) // a registration later than that of the copy
		f.publish(t)
	}
	for _, id := range f.store.TargetIDs() {
		if !current[id] {
			f.store.DeleteTarget(id)
		}
	}
}

// replace crashes a target and lets a target of the other service take over its
// address.
func (f *fleet) replace(ctx context.Context, t *target, r *rand.Rand) {
	t.eventLock.Lock()
	defer t.eventLock.Unlock()
	t.proxy.setState(proxyState{resetNew: true})
	t.proxy.reset()
	backoff.Sleep(ctx, randomBelow(r, time.Second))
	f.unpublish(t)
	backoff.Sleep(ctx, drainLimit)
	t.update(func(entry *catalog.Target, _ *behaviour) {
		entry.ID, entry.Draining = successor(entry.ID), false
		if entry.Service == services[0] {
			entry.Service = services[1]
		} else {
			entry.Service = services[0]
		}
	})
	t.proxy.setState(proxyState{})
	f.publish(t)
}

// successor returns the identifier of the next target at the same address: the
// same name with the number increased by one.
func successor(id string) string {
	name, number, _ := strings.Cut(id, "-")
	n := 0
	_, _ = fmt.Sscan(number, &n) // all identifiers end with a number
	return fmt.Sprintf("%s-%d", name, n+1)
}

// reconfigure makes one random change: it moves a route to other services, changes
// a timeout, or adds or removes extraRoute.
func (f *fleet) reconfigure(r *rand.Rand) {
	f.configLock.Lock()
	defer f.configLock.Unlock()
	route := &f.config.Routes[r.IntN(len(ordinaryRoutes))]
	switch r.IntN(4) {
	case 0:
		route.Services = []catalog.WeightedService{{Service: services[r.IntN(len(services))], Weight: 1}}
	case 1:
		route.Services = []catalog.WeightedService{{Service: services[0], Weight: 1 + r.IntN(5)}, {Service: services[1], Weight: 1 + r.IntN(5)}}
	case 2:
		route.Timeout = requestTimeout/2 + randomBelow(r, requestTimeout)
	default:
		if len(f.config.Routes) > len(routes) {
			f.config.Routes = f.config.Routes[:len(routes)]
			break
		}
		extra := f.config.Routes[0]
		extra.Name, extra.Prefix = extraRoute, "/"+extraRoute+"/"
		f.config.Routes = append(f.config.Routes, extra)
	}
	f.putConfig()
}

// event is a scheduled fault with its own source of random numbers.
type event struct {
	fault
	startAt time.Duration
	random  *rand.Rand
}

// schedule returns the events of a run, drawn from the seed: planned work in the
// first phase, then all kinds. Series of one to three events of one kind follow
// each other with short pauses, so that events overlap.
func schedule(o Options) []event {
	r := rand.New(rand.NewPCG(o.Seed, 1))
	var planned []fault
	for _, f := range faults {
		if f.planned {
			planned = append(planned, f)
		}
	}
	var events []event
	for at := time.Duration(0); at < o.Planned+o.Faults; {
		kinds := faults
		if at < o.Planned {
			kinds = planned
		}
		kind := kinds[r.IntN(len(kinds))]
		for range 1 + r.IntN(3) {
			events = append(events, event{fault: kind, startAt: at, random: rand.New(rand.NewPCG(o.Seed, uint64(len(events)+2)))})
			at += randomBelow(r, 600*time.Millisecond)
		}
		at += randomBelow(r, 1200*time.Millisecond)
	}
	return events
}

// runEvents injects the events at their times, records their fault windows and
// returns when all have ended. It starts no further events after ctx is cancelled.
func (f *fleet) runEvents(ctx context.Context, events []event) {
	begin := f.now()
	var all sync.WaitGroup
	for _, e := range events {
		backoff.Sleep(ctx, begin+e.startAt-f.now())
		if ctx.Err() != nil {
			break
		}
		all.Go(func() {
			from := f.now()
			e.inject(ctx, f, e.random)
			f.recorder.addFaultWindow(faultWindow{name: e.name, from: from, to: f.now(), planned: e.planned})
		})
	}
	all.Wait()
}
