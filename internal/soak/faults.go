package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/internal/backoff"
)

// fault is one kind of event. It returns when it is over; several run at a time.
type fault struct {
	name string
	// planned events must not harm requests.
	planned bool
	inject     func(ctx context.Context, f *fleet, r *rand.Rand)
}

// faults lists all kinds of events.
var faults = []fault{
	{"stop and start", true, func(ctx context.Context, f *fleet, r *rand.Rand) {
		i := f.anyInstance(r)
		i.stop()
		backoff.Sleep(ctx, randomBelow(r, time.Second))
		f.start(i)
	}},
	{"settings", true, func(_ context.Context, f *fleet, r *rand.Rand) { f.anyInstance(r).reload(r) }},
	{"drain and return", true, func(ctx context.Context, f *fleet, r *rand.Rand) { f.drain(ctx, f.anyTarget(r)) }},
	{"configuration", true, func(_ context.Context, f *fleet, r *rand.Rand) { f.reconfigure(r) }},
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
	{"store's link", false, func(ctx context.Context, f *fleet, r *rand.Rand) { disturbProxy(ctx, f.anyInstance(r).storeProxy, r) }},
	{"store down", false, func(ctx context.Context, f *fleet, r *rand.Rand) {
		f.store.FailCalls(func(*http.Request) bool { return true })
		backoff.Sleep(ctx, randomDuration(r, 4*time.Second))
		f.store.FailCalls(nil)
	}},
	{"store forgets", false, func(_ context.Context, f *fleet, _ *rand.Rand) { f.store.Compact() }},
	{"target fails", false, func(ctx context.Context, f *fleet, r *rand.Rand) {
		share := 0.2 + 0.8*r.Float64()
		b := []behaviour{{dropResponse: share}, {truncate: share}, {fail: share}, {reject: share}, {hang: share}, {slowdown: 1 + 9*share}}[r.IntN(6)]
		t := f.anyTarget(r)
		t.update(func(_ *catalog.Target, now *behaviour) { *now = b })
		backoff.Sleep(ctx, randomDuration(r, 4*time.Second))
		t.update(func(_ *catalog.Target, now *behaviour) { *now = behaviour{} })
	}},
	{"address taken over", false, func(ctx context.Context, f *fleet, r *rand.Rand) { f.replace(ctx, f.anyTarget(r), r) }},
}

// randomBelow returns a random duration below a limit.
func randomBelow(r *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(limit)))
}

// randomDuration returns a random duration up to a limit, at least a tenth of it.
func randomDuration(r *rand.Rand, limit time.Duration) time.Duration {
	return limit/10 + randomBelow(r, limit-limit/10)
}

// disturbProxy does one of the things that a link can do.
func disturbProxy(ctx context.Context, l *proxy, r *rand.Rand) {
	state := []proxyState{{}, {resetNew: true}, {delay: randomDuration(r, 100*time.Millisecond)}, {dropToServer: true}, {dropToClient: true},
		{dropToServer: true, dropToClient: true}}[r.IntN(6)]
	l.setState(state)
	if state == (proxyState{}) || state.resetNew {
		l.reset()
		if !state.resetNew {
			return
		}
	}
	backoff.Sleep(ctx, randomDuration(r, 3*time.Second))
	l.setState(proxyState{})
}

func (f *fleet) anyInstance(r *rand.Rand) *instance     { return f.instances[r.IntN(len(f.instances))] }
func (f *fleet) anyTarget(r *rand.Rand) *target { return f.targets[r.IntN(len(f.targets))] }

// start starts an instance and notes a failure to do so.
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

// drain announces that a target leaves, removes it, and lets it come back under
// another identity.
func (f *fleet) drain(ctx context.Context, t *target) {
	t.eventLock.Lock()
	defer t.eventLock.Unlock()
	t.update(func(entry *catalog.Target, _ *behaviour) { entry.Draining = true })
	f.publish(t)
	backoff.Sleep(ctx, drainLimit+maxWork*tailFactor)
	f.unpublish(t)
	t.update(func(entry *catalog.Target, _ *behaviour) { entry.Draining, entry.ID = false, successor(entry.ID) })
	f.publish(t)
}

// replace crashes a target; its address goes to a target of the other service.
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

// successor names the next target at the same address.
func successor(id string) string {
	name, number, _ := strings.Cut(id, "-")
	n := 0
	_, _ = fmt.Sscan(number, &n) // identities are made here, with a number
	return fmt.Sprintf("%s-%d", name, n+1)
}

// reconfigure moves a route, changes a time-out, or adds and removes a route.
func (f *fleet) reconfigure(r *rand.Rand) {
	f.configLock.Lock()
	defer f.configLock.Unlock()
	route := &f.config.Routes[r.IntN(len(routes))]
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

// event is a fault at a moment, with its own random numbers.
type event struct {
	fault
	startAt     time.Duration
	random *rand.Rand
}

// schedule draws the events of a run: planned work at first, then all kinds.
// Events come in series with short pauses, so that they overlap.
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

// runEvents runs the events and returns when all are over.
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
