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
	run     func(ctx context.Context, f *fleet, r *rand.Rand)
}

// faults lists all kinds of events.
var faults = []fault{
	{"stop and start", true, func(ctx context.Context, f *fleet, r *rand.Rand) {
		i := f.any(r)
		i.stop()
		backoff.Sleep(ctx, upTo(r, time.Second))
		f.start(i)
	}},
	{"settings", true, func(_ context.Context, f *fleet, r *rand.Rand) { f.any(r).reload(r) }},
	{"drain and return", true, func(ctx context.Context, f *fleet, r *rand.Rand) { f.drain(ctx, f.anyTarget(r)) }},
	{"configuration", true, func(_ context.Context, f *fleet, r *rand.Rand) { f.reconfigure(r) }},
	{"kill", false, func(ctx context.Context, f *fleet, r *rand.Rand) {
		i := f.any(r)
		i.signal(syscall.SIGKILL)
		backoff.Sleep(ctx, upTo(r, 2*time.Second))
		f.start(i)
	}},
	{"kill all", false, func(ctx context.Context, f *fleet, r *rand.Rand) {
		for _, i := range f.instances {
			i.signal(syscall.SIGKILL)
		}
		backoff.Sleep(ctx, upTo(r, time.Second))
		f.startAll()
	}},
	{"pause", false, func(ctx context.Context, f *fleet, r *rand.Rand) {
		i := f.any(r)
		i.signal(syscall.SIGSTOP)
		backoff.Sleep(ctx, span(r, 4*time.Second))
		i.signal(syscall.SIGCONT)
	}},
	{"callers' link", false, func(ctx context.Context, f *fleet, r *rand.Rand) { disturb(ctx, f.any(r).entry, r) }},
	{"target's link", false, func(ctx context.Context, f *fleet, r *rand.Rand) { disturb(ctx, f.anyTarget(r).path, r) }},
	{"store's link", false, func(ctx context.Context, f *fleet, r *rand.Rand) { disturb(ctx, f.any(r).store, r) }},
	{"store down", false, func(ctx context.Context, f *fleet, r *rand.Rand) {
		f.store.FailCalls(func(*http.Request) bool { return true })
		backoff.Sleep(ctx, span(r, 4*time.Second))
		f.store.FailCalls(nil)
	}},
	{"store forgets", false, func(_ context.Context, f *fleet, _ *rand.Rand) { f.store.Compact() }},
	{"target fails", false, func(ctx context.Context, f *fleet, r *rand.Rand) {
		share := 0.2 + 0.8*r.Float64()
		b := []behaviour{{lose: share}, {spoil: share}, {fail: share}, {reject: share}, {hang: share}, {slow: 1 + 9*share}}[r.IntN(6)]
		t := f.anyTarget(r)
		t.alter(func(_ *catalog.Target, now *behaviour) { *now = b })
		backoff.Sleep(ctx, span(r, 4*time.Second))
		t.alter(func(_ *catalog.Target, now *behaviour) { *now = behaviour{} })
	}},
	{"address taken over", false, func(ctx context.Context, f *fleet, r *rand.Rand) { f.replace(ctx, f.anyTarget(r), r) }},
}

// upTo returns a random duration below a limit.
func upTo(r *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(limit)))
}

// span returns a random duration up to a limit, at least a tenth of it.
func span(r *rand.Rand, limit time.Duration) time.Duration {
	return limit/10 + upTo(r, limit-limit/10)
}

// disturb does one of the things that a link can do.
func disturb(ctx context.Context, l *link, r *rand.Rand) {
	state := []linkState{{}, {refuse: true}, {delay: span(r, 100*time.Millisecond)}, {silentUp: true}, {silentDown: true},
		{silentUp: true, silentDown: true}}[r.IntN(6)]
	l.set(state)
	if state == (linkState{}) || state.refuse {
		l.reset()
		if !state.refuse {
			return
		}
	}
	backoff.Sleep(ctx, span(r, 3*time.Second))
	l.set(linkState{})
}

func (f *fleet) any(r *rand.Rand) *instance     { return f.instances[r.IntN(len(f.instances))] }
func (f *fleet) anyTarget(r *rand.Rand) *target { return f.targets[r.IntN(len(f.targets))] }

// start starts an instance and notes a failure to do so.
func (f *fleet) start(i *instance) {
	if err := i.start(); err != nil {
		i.fault(err.Error())
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
	t.event.Lock()
	defer t.event.Unlock()
	t.alter(func(entry *catalog.Target, _ *behaviour) { entry.Draining = true })
	f.publish(t)
	backoff.Sleep(ctx, drainLimit+longWork*tailFactor)
	f.withdraw(t)
	t.alter(func(entry *catalog.Target, _ *behaviour) { entry.Draining, entry.ID = false, successor(entry.ID) })
	f.publish(t)
}

// replace crashes a target; its address goes to a target of the other service.
func (f *fleet) replace(ctx context.Context, t *target, r *rand.Rand) {
	t.event.Lock()
	defer t.event.Unlock()
	t.path.set(linkState{refuse: true})
	t.path.reset()
	backoff.Sleep(ctx, upTo(r, time.Second))
	f.withdraw(t)
	backoff.Sleep(ctx, drainLimit)
	t.alter(func(entry *catalog.Target, _ *behaviour) {
		entry.ID, entry.Draining = successor(entry.ID), false
		if entry.Service == services[0] {
			entry.Service = services[1]
		} else {
			entry.Service = services[0]
		}
	})
	t.path.set(linkState{})
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
		route.Timeout = patience/2 + upTo(r, patience)
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
	at     time.Duration
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
			events = append(events, event{fault: kind, at: at, random: rand.New(rand.NewPCG(o.Seed, uint64(len(events)+2)))})
			at += upTo(r, 600*time.Millisecond)
		}
		at += upTo(r, 1200*time.Millisecond)
	}
	return events
}

// play runs the events and returns when all are over.
func (f *fleet) play(ctx context.Context, events []event) {
	begin := f.now()
	var all sync.WaitGroup
	for _, e := range events {
		backoff.Sleep(ctx, begin+e.at-f.now())
		if ctx.Err() != nil {
			break
		}
		all.Go(func() {
			from := f.now()
			e.run(ctx, f, e.random)
			f.ledger.disturbed(disturbance{what: e.name, from: from, to: f.now(), planned: e.planned})
		})
	}
	all.Wait()
}
