package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/placement"
)

// The played load: targets with four slots that work 1.7 times as long when
// more than three are in use, a crest for two seconds that they can just carry
// below that knee, and callers that leave at their deadline.
const (
	playTargets  = 12
	playSlots    = 4
	playKnee     = 3
	playSlowdown = 1.7
	playWork     = 80 * time.Millisecond
	playAim      = 250 * time.Millisecond
	playDeadline = 800 * time.Millisecond
	playFor      = 6 * time.Second
	playPoll     = 8 * time.Millisecond
	calmPerS     = 150
	crestPerS    = 430
)

// playTarget runs requests; the pace is that of its present load.
type playTarget struct {
	*catalog.Target
	running []*playRequest
	waiting []*playRequest
}

type playRequest struct {
	request placement.Request
	choice  placement.Choice
	sent    time.Duration
	left    time.Duration // work
	ended   time.Duration
	refused bool
}

// step advances a target by a millisecond.
func (t *playTarget) step(now time.Duration, done func(*playRequest)) {
	for len(t.running) < playSlots && len(t.waiting) > 0 {
		t.running, t.waiting = append(t.running, t.waiting[0]), t.waiting[1:]
	}
	pace := float64(time.Millisecond)
	if len(t.running) > playKnee {
		pace /= playSlowdown
	}
	t.running = slices.DeleteFunc(t.running, func(r *playRequest) bool {
		r.left -= time.Duration(pace)
		if r.left <= 0 {
			r.ended = now
			done(r)
		}
		return r.left <= 0
	})
}

// play returns the share of the requests that were answered within the aim and
// before the deadline.
func play(choose func(p *placement.Placer, now time.Duration, r *placement.Request, reports []placement.Report) (placement.Choice, bool)) (inAim, served float64) {
	random := rand.New(rand.NewPCG(3, 4))
	p := placement.New("near", random)
	targets := make([]*playTarget, playTargets)
	list := make([]*catalog.Target, playTargets)
	for i := range targets {
		list[i] = &catalog.Target{ID: fmt.Sprint("t", i), FailureDomain: "near", Service: service, Slots: playSlots}
		targets[i] = &playTarget{Target: list[i]}
	}
	p.SetTargets(0, map[string][]*catalog.Target{service: list})
	byID := make(map[string]*playTarget)
	for _, t := range targets {
		byID[t.ID] = t
	}
	route := &catalog.Route{Name: "r", Objective: playAim, Rank: 2}
	var all, pending []*playRequest
	due := 0.0
	for now := time.Duration(0); now < playFor; now += time.Millisecond {
		rate := calmPerS
		if now > 2*time.Second && now < 4*time.Second {
			rate = crestPerS
		}
		for due += float64(rate) / 1000; due >= 1; due-- {
			work := time.Duration(float64(playWork) * (0.7 + 0.6*random.Float64()))
			r := &playRequest{request: placement.Request{Route: route, Service: service, Arrived: now, Deadline: now + playDeadline}, left: work}
			all, pending = append(all, r), append(pending, r)
		}
		pending = slices.DeleteFunc(pending, func(r *playRequest) bool {
			if (now-r.request.Arrived)%playPoll != 0 {
				return false
			}
			var reports []placement.Report
			for _, t := range p.Sample(now, &r.request, false) {
				state := byID[t.ID]
				reports = append(reports, placement.Report{Target: t, At: now, Load: placement.Load{
					Running: len(state.running), Waiting: len(state.waiting), Slots: playSlots, Slowness: 1}})
			}
			choice, ok := choose(p, now, &r.request, reports)
			if ok {
				r.choice, r.sent = choice, now
				p.Sent(now, choice.Target.Incarnation())
				target := byID[choice.Target.ID]
				target.waiting = append(target.waiting, r)
				return true
			}
			r.refused = now-r.request.Arrived > p.MaxWait(&r.request)
			return r.refused
		})
		for _, t := range targets {
			t.step(now, func(r *playRequest) {
				p.Ended(now, r.choice.Target.Incarnation(), r.sent, route, r.choice, placement.Outcome{Answered: true, Latency: now - r.sent})
			})
		}
	}
	for _, r := range all {
		took := r.ended - r.request.Arrived
		if r.ended > 0 && took <= playAim {
			inAim++
		}
		if r.ended > 0 && took <= playDeadline {
			served++
		}
	}
	return inAim / float64(len(all)), served / float64(len(all))
}

// Guards against a crest that collapses because all slots of the targets are
// filled at once. The stated target is that a crest that the targets can carry
// below their knee is served: 95 of 100 requests, and 9 of 10 within the aim.
// Filling all slots is the rule it is compared with.
func TestCrestIsCarriedBelowTheKnee(t *testing.T) {
	inAim, served := play(func(p *placement.Placer, now time.Duration, r *placement.Request, reports []placement.Report) (placement.Choice, bool) {
		return p.Choose(now, r, reports, p.Requirement(now, r))
	})
	greedyAim, greedyServed := play(func(p *placement.Placer, now time.Duration, r *placement.Request, reports []placement.Report) (placement.Choice, bool) {
		urgent, route := *r, *r.Route
		route.Rank = 0 // urgent requests may use all slots
		urgent.Route = &route
		return p.Choose(now, &urgent, reports, placement.RequireDeadline)
	})
	t.Logf("in aim %.3f, served %.3f; with all slots %.3f and %.3f", inAim, served, greedyAim, greedyServed)
	if served < 0.95 || inAim < 0.9 {
		t.Errorf("%.3f served and %.3f in aim, at least 0.95 and 0.9 are wanted", served, inAim)
	}
	if inAim < greedyAim {
		t.Errorf("%.3f in aim, %.3f when all slots are filled", inAim, greedyAim)
	}
}
