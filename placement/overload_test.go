package placement_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/placement"
)

// overloadService is a service of the simulated load. Its targets have six slots
// and a queue, take 1.7 times as long above a saturation point of 0.8, and run at a
// fifth of their speed for a quarter of the time.
type overloadService struct {
	name                      string
	shares                    string // the service whose targets it uses instead of its own
	rank, targets             int
	work, objective, deadline time.Duration
	rate, burst               float64
	burstFrom, burstTo        time.Duration
	requests, onTime, served  []int // by second of arrival
	// factor multiplies the rate, nil: not.
	factor func(now time.Duration) float64
}

const (
	overloadInstances   = 6
	overloadSlots       = 6
	overloadQueue       = 12
	overloadSlowdown    = 1.7
	overloadDuration    = 22 * time.Second
	overloadNoisePeriod = 150 * time.Millisecond
	overloadCallerTries = 3
	overloadTargets     = 24 // of all services
	overloadProbeLimit  = 60.0
)

// overloadTarget runs requests and reports its load.
type overloadTarget struct {
	*catalog.Target
	running, waiting []*overloadRequest
	slowness         float64
}

// overloadRequest is one try of a caller, which starts at first.
type overloadRequest struct {
	service   *overloadService
	instance  int
	first     time.Duration
	tries     int
	request   placement.Request
	nextLook  time.Duration
	pause     time.Duration
	waiting   bool
	choice    placement.Choice
	sentAt    time.Duration
	remaining time.Duration
}

// overloadFleet simulates instances, targets and callers in steps of one
// millisecond.
type overloadFleet struct {
	random   *rand.Rand
	services []*overloadService
	routes   map[string]*catalog.Route
	targets  map[string]*overloadTarget
	placers  []*placement.Placer
	lists    map[string][]*catalog.Target // by service
	pending  []*overloadRequest
	returns  []*overloadRequest // callers that come back at nextLook
	probes   int
	// reachable is the number of instances that callers reach. offer decides on a request
	// that arrives, started is called when one is sent, step in each millisecond.
	reachable int
	offer     func(now time.Duration, r *overloadRequest) (turnedAway bool)
	started   func(now time.Duration, r *overloadRequest)
	step      func(now time.Duration)
}

func newOverloadFleet(seed uint64, instances int, services []*overloadService) *overloadFleet {
	f := &overloadFleet{random: rand.New(rand.NewPCG(seed, 6)), services: services, routes: make(map[string]*catalog.Route), targets: make(map[string]*overloadTarget)}
	f.lists = make(map[string][]*catalog.Target)
	for _, s := range services {
		f.routes[s.name] = &catalog.Route{Name: s.name, Objective: s.objective, Rank: s.rank, MaxAttempts: 2}
		seconds := int(overloadDuration/time.Second) + 1
		if s.requests == nil {
			s.requests, s.onTime, s.served = make([]int, seconds), make([]int, seconds), make([]int, seconds)
		}
		for i := range s.targets {
			t := &catalog.Target{ID: fmt.Sprint(s.name, i), FailureDomain: fmt.Sprint(i % 2), Service: s.name, Slots: overloadSlots}
			f.lists[s.name] = append(f.lists[s.name], t)
			f.targets[t.ID] = &overloadTarget{Target: t, slowness: 1}
		}
	}
	f.offer = func(time.Duration, *overloadRequest) bool { return false }
	f.started = func(time.Duration, *overloadRequest) {}
	f.step = func(time.Duration) {}
	f.reachable = instances
	for i := range instances {
		p := placement.New(fmt.Sprint(i%2), rand.New(rand.NewPCG(uint64(i), seed)))
		p.SetTargets(0, f.lists)
		p.SetFleet(0, instances, overloadProbeLimit)
		f.placers = append(f.placers, p)
	}
	return f
}

func (f *overloadFleet) arrive(now time.Duration, s *overloadService, first time.Duration, tries int) {
	deadline := first + s.deadline*overloadCallerTries/2
	r := &overloadRequest{service: s, instance: f.random.IntN(f.reachable), first: first, tries: tries, nextLook: now, pause: 8 * time.Millisecond,
		remaining: time.Duration(float64(s.work) * (0.7 + 0.6*f.random.Float64()))}
	r.request = placement.Request{Route: f.routes[s.name], Service: cmp.Or(s.shares, s.name), Arrived: now, Deadline: min(deadline, now+s.deadline),
		CallerTimeout: deadline - now}
	if f.offer(now, r) {
		f.comeBack(now, r, f.placers[r.instance].TurnedAwayFor(now, &r.request))
		return
	}
	f.pending = append(f.pending, r)
}

// look lets a request look for room once. It reports whether the request no longer
// waits: it was sent or refused.
func (f *overloadFleet) look(now time.Duration, r *overloadRequest) bool {
	p := f.placers[r.instance]
	var reports []placement.Report
	for _, remote := range []bool{false, true} {
		sample, fresh := p.Sample(now, &r.request, remote, r.waiting)
		f.probes += len(sample)
		reports = append(reports, fresh...)
		for _, t := range sample {
			state := f.targets[t.ID]
			report := placement.Report{Target: t, At: now, Load: placement.Load{Running: len(state.running), Waiting: len(state.waiting), Slots: overloadSlots, Slowness: state.slowness}}
			p.Reported(report)
			reports = append(reports, report)
		}
		if p.HasGoodTarget(now, &r.request, reports) {
			break
		}
	}
	if len(reports) == 0 {
		reports = p.PredictedReports(now, &r.request)
	}
	if choice, ok := p.Choose(now, &r.request, reports, p.Requirement(now, &r.request)); ok {
		r.choice, r.sentAt = choice, now
		p.Sent(now, choice.Target.Incarnation())
		f.started(now, r)
		f.stopWaiting(r)
		t := f.targets[choice.Target.ID]
		if len(t.running)+len(t.waiting) >= overloadSlots+overloadQueue {
			f.end(now, r, placement.Outcome{Failed: true, ConnectionLost: true})
		} else {
			t.waiting = append(t.waiting, r)
		}
		return true
	}
	if now+r.pause-r.request.Arrived > p.MaxWait(&r.request) || !r.waiting && !p.StartWaiting(now, &r.request) {
		f.stopWaiting(r)
		p.FoundNoRoom(now, &r.request)
		f.comeBack(now, r, p.RetryAfter(&r.request, false))
		return true
	}
	r.waiting = true
	r.nextLook, r.pause = now+r.pause, min(2*r.pause, 40*time.Millisecond)
	return false
}

func (f *overloadFleet) stopWaiting(r *overloadRequest) {
	if r.waiting {
		f.placers[r.instance].StopWaiting(&r.request)
		r.waiting = false
	}
}

func (f *overloadFleet) comeBack(now time.Duration, r *overloadRequest, after time.Duration) {
	left := r.first + r.service.deadline*overloadCallerTries/2 - now
	if r.tries++; r.tries < overloadCallerTries && left > 0 {
		r.nextLook = now + min(after, left/3)
		f.returns = append(f.returns, r)
	}
}

// end ends a try that was sent to a target.
func (f *overloadFleet) end(now time.Duration, r *overloadRequest, outcome placement.Outcome) {
	outcome.Latency = now - r.sentAt
	f.placers[r.instance].Ended(now, r.choice.Target.Incarnation(), r.sentAt, f.routes[r.service.name], r.choice, outcome)
	if !outcome.Responded {
		f.comeBack(now, r, 0)
		return
	}
	r.service.served[r.first/time.Second]++
	if now-r.first <= r.service.objective {
		r.service.onTime[r.first/time.Second]++
	}
}

func (f *overloadFleet) advance(now time.Duration, t *overloadTarget) {
	if now%overloadNoisePeriod == 0 {
		t.slowness = 1
		if f.random.Float64() < 0.25 {
			t.slowness = 5
		}
	}
	expired := func(r *overloadRequest) bool {
		if now < r.request.Deadline {
			return false
		}
		f.end(now, r, placement.Outcome{})
		return true
	}
	t.waiting = slices.DeleteFunc(t.waiting, expired)
	for len(t.running) < overloadSlots && len(t.waiting) > 0 {
		t.running, t.waiting = append(t.running, t.waiting[0]), t.waiting[1:]
	}
	pace := float64(time.Millisecond) / t.slowness
	if 5*len(t.running) > 4*overloadSlots {
		pace /= overloadSlowdown
	}
	t.running = slices.DeleteFunc(t.running, func(r *overloadRequest) bool {
		if r.remaining -= time.Duration(pace); r.remaining > 0 {
			return expired(r)
		}
		f.end(now, r, placement.Outcome{Responded: true})
		return true
	})
}

func (f *overloadFleet) run() {
	due := make([]float64, len(f.services))
	order := make([]*overloadTarget, 0, len(f.targets))
	for _, s := range f.services {
		for i := range s.targets {
			order = append(order, f.targets[fmt.Sprint(s.name, i)])
		}
	}
	for now := time.Duration(0); now < overloadDuration; now += time.Millisecond {
		for i, s := range f.services {
			rate := s.rate
			if now >= s.burstFrom && now < s.burstTo {
				rate *= s.burst
			}
			if s.factor != nil {
				rate *= s.factor(now)
			}
			for due[i] += rate / 1000; due[i] >= 1; due[i]-- {
				s.requests[now/time.Second]++
				f.arrive(now, s, now, 0)
			}
		}
		f.step(now)
		f.returns = slices.DeleteFunc(f.returns, func(r *overloadRequest) bool {
			if now < r.nextLook {
				return false
			}
			f.arrive(now, r.service, r.first, r.tries)
			return true
		})
		looking := f.pending
		f.pending = nil
		for _, r := range looking {
			if now < r.nextLook || !f.look(now, r) {
				f.pending = append(f.pending, r)
			}
		}
		for _, t := range order {
			f.advance(now, t)
		}
	}
}

// share returns the share of the requests that arrived in these seconds and were
// answered within the objective.
func (s *overloadService) share(from, to int) float64 {
	requests, onTime := 0, 0
	for second := from; second < to; second++ {
		requests, onTime = requests+s.requests[second], onTime+s.onTime[second]
	}
	return float64(onTime) / float64(max(1, requests))
}

// overloadServices returns the services of the load; bursts multiplies the rate of
// two of them for some seconds.
func overloadServices(bursts bool) []*overloadService {
	reads := &overloadService{name: "reads", rank: 0, targets: 12, work: 160 * time.Millisecond, objective: 400 * time.Millisecond,
		deadline: 1500 * time.Millisecond, rate: 185}
	acts := &overloadService{name: "acts", rank: 2, targets: 7, work: 210 * time.Millisecond, objective: time.Second,
		deadline: 2 * time.Second, rate: 85}
	exports := &overloadService{name: "exports", rank: 1, targets: 5, work: 130 * time.Millisecond, objective: 400 * time.Millisecond,
		deadline: 2 * time.Second, rate: 25}
	acts.burstFrom, acts.burstTo = 3*time.Second, 7*time.Second
	reads.burstFrom, reads.burstTo = 9*time.Second, 12*time.Second
	if bursts {
		acts.burst, reads.burst = 2.5, 1.9
	} else {
		acts.burst, reads.burst = 1, 1
	}
	return []*overloadService{reads, acts, exports}
}

// Guards against an overload that outlives its cause: requests that are sent to
// targets of unknown load fill their queues, time out there and come back, until
// no probe is left to find the targets with room. From five seconds after the end
// of a burst callers must get what they get without one.
func TestServiceRecoversAfterBursts(t *testing.T) {
	calm, loaded := overloadServices(false), overloadServices(true)
	const (
		runs        = 8
		recovery    = 5    // seconds
		allowedLoss = 0.03 // sampling error
	)
	probes := 0
	for seed := range uint64(runs) {
		newOverloadFleet(seed, overloadInstances, calm).run()
		f := newOverloadFleet(seed, overloadInstances, loaded)
		f.run()
		probes += f.probes
	}
	for i, s := range loaded {
		from, to := int(s.burstTo/time.Second)+recovery, int(overloadDuration/time.Second)-1
		want, got := calm[i].share(from, to), s.share(from, to)
		t.Logf("%s: %.3f on time from %d s on, %.3f without bursts", s.name, got, from, want)
		if got < want-allowedLoss {
			t.Errorf("%s: %.3f of the requests on time from %d s on, %.3f without bursts", s.name, got, from, want)
		}
	}
	perTarget := float64(probes) / runs / overloadTargets / overloadDuration.Seconds()
	if perTarget > overloadProbeLimit {
		t.Errorf("%.1f probes a target and second, the limit is %.0f", perTarget, overloadProbeLimit)
	}
}
