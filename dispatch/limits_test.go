package dispatch_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/balancer"
	"github.com/dogwoodroute/dogwoodroute/dispatch"
	"github.com/dogwoodroute/dogwoodroute/refusal"
	"github.com/dogwoodroute/dogwoodroute/tables"
)

// singleInstanceScheduler returns the scheduler of the only instance of a fleet.
func singleInstanceScheduler(targets, slots int) *dispatch.Scheduler {
	return dispatch.NewScheduler(dispatch.Options{Pool: pool(targets, slots), Rand: rand.New(rand.NewPCG(1, 2)),
		Fleet: dispatch.Fleet{Instances: 1, Members: []string{"a"}, Self: "a"}})
}

// Guards against long requests that take the slots of short ones, and against
// short requests that wait behind long ones in the queue.
func TestLongWorkLeavesSlotsToShortWork(t *testing.T) {
	is := is.New(t)
	s := singleInstanceScheduler(4, 4)
	long := map[string]int{}
	for id := dispatch.RequestID(1); id <= 60; id++ {
		r := short(id)
		r.Class = tables.ClassLong
		for _, a := range sends(s.Arrive(0, r)) {
			long[a.Target]++
		}
	}
	for _, n := range long {
		is.True(n <= 2) // half of the slots
	}
	is.Equal(s.Snapshot(0).LongInFlight, 8)
	for id := dispatch.RequestID(61); id <= 500; id++ { // a stream of short requests
		now := time.Duration(id) * time.Millisecond
		sent := sends(s.Arrive(now, short(id)))
		is.Equal(len(sent), 1)
		is.Equal(sent[0].Request, id)
		s.Responded(now, sent[0].Attempt, response(balancer.OutcomeOK, 0))
		is.Equal(len(sends(s.Ended(now, sent[0].Attempt, dispatch.End{}))), 0) // the freed slot is reserved for short requests
		s.Tick(now)
	}
	is.Equal(s.Snapshot(0).LongInFlight, 8)
}

// Guards against new requests to a target that peers report as draining, against
// cancelling the attempts in flight there, and against requests that wait in a
// pool without serving targets.
func TestSetDrainingStopsNewWorkOnly(t *testing.T) {
	is := is.New(t)
	s := singleInstanceScheduler(2, 4)
	addresses := []string{pool(2, 4).Targets[0].Address, pool(2, 4).Targets[1].Address}
	before := map[string]dispatch.AttemptID{}
	for id := dispatch.RequestID(1); id <= 4; id++ {
		a := sends(s.Arrive(0, short(id)))[0]
		before[a.Target] = a.Attempt
	}
	is.Equal(len(before), 2)
	is.Equal(len(s.SetDraining(0, addresses[:1])), 0) // cancels nothing
	for id := dispatch.RequestID(5); id <= 40; id++ {
		for _, a := range sends(s.Arrive(0, short(id))) {
			is.Equal(a.Target, "t1")
		}
	}
	accepted := s.Responded(0, before["t0"], response(balancer.OutcomeOK, 0))
	is.Equal(accepted[0].Kind, dispatch.ActionAccept)
	refused := s.SetDraining(0, addresses)
	is.True(len(refused) > 0)
	for _, a := range refused {
		is.Equal(a.Refusal, refusal.NoTarget)
		is.Equal(a.Execution, refusal.NotRun)
	}
	is.Equal(s.Arrive(0, short(50))[0].Refusal, refusal.NoTarget)
	s.SetDraining(0, nil)
	for id := dispatch.RequestID(51); id <= 60; id++ {
		s.Arrive(0, short(id))
	}
	is.True(s.Snapshot(0).InFlight > 0)
}

// Guards against unbounded probes in flight when targets do not respond to probes,
// and against probing that does not resume once they respond.
func TestProbesInFlightAreLimited(t *testing.T) {
	is := is.New(t)
	p, perRequest := pool(60, 4), 1.0
	p.Measure.ProbesPerRequest = &perRequest // enough probes to reach the limit
	s := singleInstanceScheduler(1, 4)
	s.SetPool(0, p)
	now, pending := time.Duration(0), []string{}
	pass := func(ticks int) {
		for range ticks {
			now += dispatch.TickInterval
			id := dispatch.RequestID(now)
			for _, a := range append([]dispatch.Action(nil), s.Arrive(now, short(id))...) {
				switch a.Kind {
				case dispatch.ActionProbe:
					pending = append(pending, a.Target)
				case dispatch.ActionSend:
					s.Responded(now, a.Attempt, dispatch.Response{})
					s.Ended(now, a.Attempt, dispatch.End{})
				}
			}
			for _, a := range s.Tick(now) {
				if a.Kind == dispatch.ActionProbe {
					pending = append(pending, a.Target)
				}
			}
			is.True(s.Snapshot(now).ProbesInFlight <= 64)
		}
	}
	pass(2000)
	is.Equal(s.Snapshot(now).ProbesInFlight, 64)
	is.Equal(len(pending), 64)
	for _, target := range pending {
		s.Probed(now, balancer.ProbeResult{Target: target, OK: true, Report: response(balancer.OutcomeOK, 0).Report})
	}
	pass(100)
	is.True(len(pending) > 64)
}

// Guards against retries that multiply the load, and against errors that persist
// instead of ending with the ejection of the targets, when half of the targets
// fail every request.
func TestHalfOfTheTargetsFail(t *testing.T) {
	is := is.New(t)
	s := singleInstanceScheduler(8, 4)
	now, failed := time.Duration(0), 0
	var respondAll func(actions []dispatch.Action)
	respondAll = func(actions []dispatch.Action) {
		for _, a := range append([]dispatch.Action(nil), actions...) {
			if a.Kind != dispatch.ActionSend {
				continue
			}
			outcome := balancer.OutcomeOK
			if a.Target < "t4" {
				outcome = balancer.OutcomeError
			}
			got := append([]dispatch.Action(nil), s.Responded(now, a.Attempt, response(outcome, 0))...)
			if outcome == balancer.OutcomeError && got[0].Kind == dispatch.ActionAccept {
				failed++
			}
			s.Ended(now, a.Attempt, dispatch.End{})
			respondAll(got)
		}
	}
	for id := dispatch.RequestID(1); id <= 5000; id++ {
		now += 2 * time.Millisecond
		s.Tick(now)
		respondAll(s.Arrive(now, short(id)))
	}
	c := s.Snapshot(now).Counters
	t.Logf("%d of 5000 failed, %d retries", failed, c.Retries)
	is.True(c.Retries+c.Hedges <= 500+1) // the retry budget over 10 s
	is.True(failed <= 50)                // before the targets are ejected and after each return
	is.Equal(c.Refused.Total(), uint64(0))
}
