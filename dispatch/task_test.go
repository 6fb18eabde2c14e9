package dispatch_test

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/dogwoodroute/dogwoodroute/balancer"
	"github.com/dogwoodroute/dogwoodroute/dispatch"
	"github.com/dogwoodroute/dogwoodroute/refusal"
	"github.com/dogwoodroute/dogwoodroute/tables"
)

// short returns an idempotent request with the longest deadline.
func short(id dispatch.RequestID) dispatch.Request {
	return dispatch.Request{ID: id, Class: tables.ClassShort, Priority: tables.PriorityNormal, Idempotent: true,
		MaxAttempts: 2, Attempt: 1, Deadline: tables.MaxDeadline}
}

func newScheduler(targets int) *dispatch.Scheduler {
	return dispatch.NewScheduler(dispatch.Options{Pool: pool(targets, 4), Rand: rand.New(rand.NewPCG(1, 2))})
}

// startTask runs a task until the test calls stop.
func startTask(t *testing.T) (task *dispatch.Task, stop func()) {
	start := time.Now()
	task = dispatch.NewTask(dispatch.TaskOptions{Scheduler: newScheduler(2), Now: func() time.Duration { return time.Since(start) }, Probe: noProbe})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { task.Run(ctx); close(ended) }()
	return task, func() { cancel(); <-ended }
}

// Guards against goroutines that block on a task that has ended.
func TestStoppedTaskLeaksNothing(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	task, stop := startTask(t)
	call := task.Submit(short(0))
	is.Equal((<-call.Actions()).Kind, dispatch.ActionSend)
	stop()
	for range 1000 { // more than the event channel holds
		late := task.Submit(short(0))
		<-late.Done()
		late.Close()
	}
	task.Refreshed()
	_, ok := task.Snapshot(t.Context())
	is.True(!ok)
}

// Guards against leaked slots and a blocked task when handlers close their calls
// without reading the actions.
func TestUnreadSendsGiveTheirSlotsBack(t *testing.T) {
	is := is.New(t)
	task, stop := startTask(t)
	defer stop()
	for range 50 {
		task.Submit(short(0)).Close()
	}
	snapshot, ok := task.Snapshot(t.Context())
	is.True(ok)
	is.Equal(snapshot.Counters.Arrivals, uint64(50))
	is.Equal(snapshot.InFlight, 0)
}

// Guards against idle pools that use up the CPU budget of control work (an instance
// has 50 pools), and against deadlines and hedges that are late because the pool
// still ticks at the idle interval.
func TestIdleTaskTicksLess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		var reads atomic.Int64 // each event reads the clock once
		task := dispatch.NewTask(dispatch.TaskOptions{Scheduler: newScheduler(2), Probe: noProbe,
			Now: func() time.Duration { reads.Add(1); return time.Since(start) }})
		ctx, cancel := context.WithCancel(t.Context())
		go task.Run(ctx)
		ticks := func() int64 {
			before := reads.Load()
			time.Sleep(time.Second)
			synctest.Wait()
			return reads.Load() - before
		}
		is.True(ticks() <= 21)
		call := task.Submit(short(0))
		attempt := (<-call.Actions()).Attempt
		is.True(ticks() >= 199)
		call.Ended(attempt, dispatch.End{Outcome: balancer.OutcomeOK})
		call.Close()
		is.True(ticks() <= 25)
		cancel()
		synctest.Wait()
	})
}

func noProbe(context.Context, string, string) balancer.ProbeResult { return balancer.ProbeResult{} }

// Guards against decisions on state from before a pause of the process: requests
// must be refused until the state is refreshed.
func TestPauseRefusesUntilRefreshed(t *testing.T) {
	is := is.New(t)
	s := newScheduler(1)
	s.Tick(0)
	for id := dispatch.RequestID(1); id <= 4; id++ {
		is.Equal(s.Arrive(0, short(id))[0].Kind, dispatch.ActionSend)
	}
	is.Equal(len(s.Arrive(0, short(5))), 0) // queued
	resumed := 1001 * time.Millisecond
	refused := s.Arrive(resumed, short(6))
	is.Equal(len(refused), 2) // the queued request and the new one
	for _, a := range refused {
		is.Equal(a.Refusal, refusal.StaleView)
		is.Equal(a.Execution, refusal.NotRun)
	}
	s.Tick(resumed)
	is.Equal(s.Arrive(resumed, short(7))[0].Refusal, refusal.StaleView) // a tick does not end the refusals
	s.Refreshed(resumed)
	s.Ended(resumed, 1, dispatch.End{Outcome: balancer.OutcomeBroken})
	sent := s.Arrive(resumed, short(8))
	is.Equal(sent[0].Kind, dispatch.ActionSend)
	is.Equal(sent[0].Expires, resumed+500*time.Millisecond)
}

// Guards against a hedged attempt that is sent too early, to the same target or
// twice, and against a superseded attempt that is not cancelled.
func TestStragglerIsHedgedOnce(t *testing.T) {
	is := is.New(t)
	s := newScheduler(2)
	ok := dispatch.Response{Outcome: balancer.OutcomeOK}
	now := time.Duration(0)
	for id := dispatch.RequestID(1); id <= 32; id++ {
		s.Arrive(now, short(id))
		now += 20 * time.Millisecond
		s.Responded(now, dispatch.AttemptID(id), ok)
		s.Ended(now, dispatch.AttemptID(id), dispatch.End{})
		s.Tick(now)
	}
	r := short(33)
	r.Hedge = true
	first := s.Arrive(now, r)[0].Target
	is.Equal(len(s.Tick(now+10*time.Millisecond)), 0)
	hedge := s.Tick(now + 100*time.Millisecond)
	is.Equal(len(hedge), 1)
	is.True(hedge[0].Hedge && hedge[0].Target != first)
	is.Equal(len(s.Tick(now+200*time.Millisecond)), 0)
	won := s.Responded(now+210*time.Millisecond, 34, ok)
	is.Equal(len(won), 2)
	is.Equal(won[0].Kind, dispatch.ActionAccept)
	is.Equal(won[1].Kind, dispatch.ActionCancel)
	is.Equal(won[1].Attempt, dispatch.AttemptID(33))
	counters := s.Snapshot(now).Counters
	is.Equal(counters.HedgeWins, uint64(1))
	is.Equal(counters.Superseded, uint64(1))
}
