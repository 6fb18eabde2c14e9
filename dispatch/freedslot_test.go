package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/balancer"
	"github.com/dogwoodroute/dogwoodroute/dispatch"
	"github.com/dogwoodroute/dogwoodroute/tables"
	"github.com/dogwoodroute/dogwoodroute/wire"
)

// response returns a response that reports queued waiting requests at the target.
func response(outcome balancer.Outcome, queued int) dispatch.Response {
	return dispatch.Response{Outcome: outcome, Report: balancer.Report{HasLoad: true, Load: wire.Load{InFlight: 4, Slots: 4, Queued: queued}}}
}

// sends returns the actions that send attempts.
func sends(actions []dispatch.Action) (list []dispatch.Action) {
	for _, a := range actions {
		if a.Kind == dispatch.ActionSend {
			list = append(list, a)
		}
	}
	return list
}

// Guards against high priority requests that are refused because they are retried
// immediately at a second target that sheds as well: under overload they must wait
// for a response that reports room and go to its target.
func TestShedHighPriorityWaitsForRoom(t *testing.T) {
	is := is.New(t)
	s := newScheduler(2)
	s.SetFleet(0, dispatch.Fleet{Instances: 1}) // sets the window to 6 of the 8 slots
	now := time.Duration(0)
	for id := dispatch.RequestID(1); id <= 30; id++ { // earns retry budget
		attempt := s.Arrive(now, short(id))[0].Attempt
		now += 10 * time.Millisecond
		s.Responded(now, attempt, response(balancer.OutcomeOK, 0))
		s.Ended(now, attempt, dispatch.End{})
	}
	high := short(100)
	high.Priority, high.Idempotent = tables.PriorityHigh, false
	first := sends(s.Arrive(now, high))[0]
	elsewhere := []dispatch.AttemptID{}
	for id := dispatch.RequestID(101); id <= 140; id++ {
		for _, a := range sends(s.Arrive(now, short(id))) {
			if a.Target != first.Target {
				elsewhere = append(elsewhere, a.Attempt)
			}
		}
	}
	is.True(len(elsewhere) >= 2)
	again := sends(s.Responded(now, first.Attempt, response(balancer.OutcomeShed, 4)))
	again = append(again, sends(s.Ended(now, first.Attempt, dispatch.End{Outcome: balancer.OutcomeShed}))...)
	for _, a := range again {
		is.True(a.Request != high.ID)
	}
	end := func(id dispatch.AttemptID, queued int) (requests []dispatch.RequestID) {
		s.Responded(now, id, response(balancer.OutcomeOK, queued))
		for _, a := range sends(s.Ended(now, id, dispatch.End{})) {
			requests = append(requests, a.Request)
		}
		return requests
	}
	for _, id := range end(elsewhere[0], 3) {
		is.True(id != high.ID) // the queue is too long
	}
	is.Equal(end(elsewhere[1], 2)[0], high.ID) // half of the queue reported by the target that shed
}
