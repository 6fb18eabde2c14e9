package replay

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/dogwoodroute/dogwoodroute/balancer"
	"github.com/dogwoodroute/dogwoodroute/dispatch"
)

// fleet implements the policy Decided: one dispatch.Scheduler for each instance.
type fleet struct {
	run               *run
	instances         []*instance
	pending           int // requests without an outcome
	remainingArrivals int // arrivals of the trace that are yet to be delivered
}

// instance drives one Scheduler and carries out its actions.
type instance struct {
	fleet          *fleet
	index          int
	scheduler      *dispatch.Scheduler
	requests       map[dispatch.RequestID]*Arrival
	attempts       map[dispatch.AttemptID]*sentAttempt
	next           dispatch.RequestID
	pendingActions []dispatch.Action
	performing     bool
}

func newFleet(r *run) *fleet {
	f := &fleet{run: r, remainingArrivals: len(r.trace.Arrivals)}
	members := make([]string, len(r.trace.Domains))
	for i := range members {
		members[i] = fmt.Sprintf("instance-%03d", i)
	}
	for i, domain := range r.trace.Domains {
		in := &instance{fleet: f, index: i, requests: make(map[dispatch.RequestID]*Arrival),
			attempts: make(map[dispatch.AttemptID]*sentAttempt),
			scheduler: dispatch.NewScheduler(dispatch.Options{Pool: r.trace.Pool, FailureDomain: domain,
				Rand: rand.New(rand.NewPCG(r.trace.Seed, uint64(i)+1))})}
		f.instances = append(f.instances, in)
		in.perform(in.scheduler.SetFleet(0, balancer.Fleet{Instances: len(members), Members: members, Self: members[i]}))
		// Spread the ticks of the instances over the interval.
		r.after(dispatch.TickInterval*time.Duration(i)/time.Duration(len(members)), in.tick)
	}
	return f
}

func (f *fleet) unfinished() int { return f.pending }

func (f *fleet) arrive(a *Arrival) {
	f.remainingArrivals--
	f.pending++
	f.instances[a.Instance].arrive(a)
}

func (in *instance) arrive(a *Arrival) {
	in.next++
	in.requests[in.next] = a
	now := in.fleet.run.now
	in.perform(in.scheduler.Arrive(now, dispatch.Request{ID: in.next, Class: a.Class, Priority: a.Priority,
		Idempotent: a.Idempotent, Hedge: a.Hedge, MaxAttempts: maxAttempts, Attempt: 1,
		Deadline: now + microseconds(a.Deadline)}))
}

// maxAttempts bounds the attempts of each request, as a route would.
const maxAttempts = 3

// tick runs Scheduler.Tick every TickInterval, until no arrivals remain and
// every request has an outcome.
func (in *instance) tick() {
	r := in.fleet.run
	in.perform(in.scheduler.Tick(r.now))
	if in.fleet.remainingArrivals > 0 || in.fleet.pending > 0 {
		r.after(dispatch.TickInterval, in.tick)
	}
}

// perform executes actions in order. Executing one may call the scheduler again,
// which invalidates the slice, so the actions are copied first; actions added by
// such a nested call are executed by the outer one.
func (in *instance) perform(actions []dispatch.Action) {
	in.pendingActions = append(in.pendingActions, actions...)
	if in.performing {
		return
	}
	in.performing = true
	for len(in.pendingActions) > 0 {
		action := in.pendingActions[0]
		in.pendingActions = in.pendingActions[1:]
		in.execute(action)
	}
	in.performing = false
}

func (in *instance) execute(a dispatch.Action) {
	switch a.Kind {
	case dispatch.ActionSend:
		in.send(a)
	case dispatch.ActionAccept:
		in.finishRequest(a.Request, func(arrival *Arrival) {
			in.fleet.run.recordResponse(arrival, in.attempts[a.Attempt].outcome)
		})
		in.finishAttempt(a.Attempt)
	case dispatch.ActionDiscard:
		in.finishAttempt(a.Attempt)
	case dispatch.ActionCancel:
		in.cancelAttempt(a.Attempt)
	case dispatch.ActionRefuse:
		in.finishRequest(a.Request, func(arrival *Arrival) { in.fleet.run.recordRefusal(arrival, a.Refusal) })
	case dispatch.ActionProbe:
		in.probe(a)
	}
}

func (in *instance) finishRequest(id dispatch.RequestID, record func(*Arrival)) {
	arrival := in.requests[id]
	if arrival == nil {
		panic("replay: scheduler reported a second outcome for a request")
	}
	delete(in.requests, id)
	in.fleet.pending--
	record(arrival)
}
