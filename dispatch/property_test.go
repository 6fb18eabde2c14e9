package dispatch_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dogwoodroute/dogwoodroute/balancer"
	"github.com/dogwoodroute/dogwoodroute/dispatch"
	"github.com/dogwoodroute/dogwoodroute/refusal"
	"github.com/dogwoodroute/dogwoodroute/tables"
	"github.com/dogwoodroute/dogwoodroute/wire"
)

// model tracks requests and attempts as their handlers see them and checks each
// action of the scheduler against that state.
type model struct {
	t            *rapid.T
	scheduler    *dispatch.Scheduler
	now          time.Duration
	requests     map[dispatch.RequestID]*trackedRequest
	order        []dispatch.RequestID
	attempts     map[dispatch.AttemptID]*trackedAttempt
	openAttempts []dispatch.AttemptID // not ended
	firstSends   []time.Duration      // times of first sends
	extraSends   []time.Duration      // times of retries and hedges
	inFlight     int                  // attempts that were neither ended nor discarded
}

type trackedRequest struct {
	dispatch.Request
	sends           int
	ended, canceled bool
	attempts        []*trackedAttempt
}

type trackedAttempt struct {
	request              *trackedRequest
	responded, discarded bool
	provenNotRun         bool
	finished             bool
}

// check applies the actions of an event and checks the number of attempts in
// flight. checkLimit does the same with the number before the event passed in.
func (m *model) check(actions []dispatch.Action) { m.checkLimit(m.inFlight, actions) }

func (m *model) checkLimit(before int, actions []dispatch.Action) {
	for _, a := range actions {
		m.apply(a)
	}
	snapshot := m.scheduler.Snapshot(m.now)
	limit := int(snapshot.Window)
	if m.lastSendIsHigh(actions) {
		// A backlog of high priority requests may exceed the window by half.
		limit = int(snapshot.Window * 1.5)
	}
	if m.inFlight > limit && m.inFlight > before {
		m.t.Fatalf("%d attempts in flight, %d before the event, window %v", m.inFlight, before, snapshot.Window)
	}
}

func (m *model) lastSendIsHigh(actions []dispatch.Action) bool {
	high := false
	for _, a := range actions {
		if r := m.requests[a.Request]; a.Kind == dispatch.ActionSend && r != nil {
			high = r.Priority == tables.PriorityHigh
		}
	}
	return high
}

func (m *model) apply(a dispatch.Action) {
	r := m.requests[a.Request]
	switch a.Kind {
	case dispatch.ActionSend:
		m.checkSend(r, a)
	case dispatch.ActionAccept:
		m.finishRequest(r)
		if s := m.attempts[a.Attempt]; !s.responded || s.discarded || s.provenNotRun {
			m.t.Fatalf("accepted attempt %d, which has no response to accept: %+v", a.Attempt, s)
		}
	case dispatch.ActionDiscard:
		m.attempts[a.Attempt].discarded = true
		m.inFlight--
	case dispatch.ActionRefuse:
		m.finishRequest(r)
		notRun := true
		for _, s := range r.attempts {
			notRun = notRun && s.provenNotRun
		}
		if (a.Execution == refusal.NotRun) != notRun {
			m.t.Fatalf("refused as %s, proven not run: %v", a.Execution, notRun)
		}
	}
}

func (m *model) finishRequest(r *trackedRequest) {
	if r.ended || r.canceled {
		m.t.Fatalf("request %d answered twice or after its cancellation", r.ID)
	}
	r.ended = true
}

func (m *model) checkSend(r *trackedRequest, a dispatch.Action) {
	if r.ended || r.canceled || r.sends >= r.MaxAttempts || m.now >= r.Deadline {
		m.t.Fatalf("attempt sent after the request ended, past its deadline or beyond its attempts: %+v at %v", r, m.now)
	}
	for _, s := range r.attempts {
		switch {
		case !r.Idempotent && !s.provenNotRun:
			m.t.Fatal("non-idempotent request sent again after an attempt that may have run")
		case r.Attempt > 1 && (!s.provenNotRun || r.sends > 1):
			m.t.Fatal("request repeated by its caller sent more than twice or after an attempt that may have run")
		case a.Hedge && (s.finished || !r.Hedge):
			m.t.Fatal("hedged attempt without a first attempt in flight or without permission")
		}
	}
	m.checkBudget(r.sends == 0)
	r.sends++
	s := &trackedAttempt{request: r}
	r.attempts = append(r.attempts, s)
	m.attempts[a.Attempt] = s
	m.openAttempts = append(m.openAttempts, a.Attempt)
	m.inFlight++
}

// checkBudget checks the retry budget over the last 10 s and every shorter span
// that ends now.
func (m *model) checkBudget(first bool) {
	if first {
		m.firstSends = append(m.firstSends, m.now)
		return
	}
	m.extraSends = append(m.extraSends, m.now)
	for i := len(m.extraSends) - 1; i >= 0 && m.now-m.extraSends[i] <= 10*time.Second; i-- {
		requests := 0
		for _, at := range m.firstSends {
			if at >= m.extraSends[i] {
				requests++
			}
		}
		if extra := len(m.extraSends) - i; extra*10 > requests+10 {
			m.t.Fatalf("%d retries and hedges for %d requests in %v", extra, requests, m.now-m.extraSends[i])
		}
	}
}

func (m *model) arrive() {
	t := m.t
	r := dispatch.Request{ID: dispatch.RequestID(len(m.order) + 1), Idempotent: rapid.Bool().Draw(t, "idempotent"),
		Class:       rapid.SampledFrom([]tables.Class{tables.ClassShort, tables.ClassShort, tables.ClassLong}).Draw(t, "class"),
		Priority:    rapid.SampledFrom([]tables.Priority{tables.PriorityHigh, tables.PriorityNormal, tables.PriorityLow}).Draw(t, "priority"),
		MaxAttempts: rapid.IntRange(1, 5).Draw(t, "max"), Attempt: rapid.SampledFrom([]int{1, 1, 1, 2}).Draw(t, "attempt"),
		Hedge: rapid.Bool().Draw(t, "hedge"), Deadline: m.now + rapid.SampledFrom([]time.Duration{0, 20, 500, 5000}).Draw(t, "deadline")*time.Millisecond}
	m.requests[r.ID] = &trackedRequest{Request: r}
	m.order = append(m.order, r.ID)
	m.check(m.scheduler.Arrive(m.now, r))
}

func (m *model) respond() {
	if len(m.openAttempts) == 0 {
		return
	}
	id := rapid.SampledFrom(m.openAttempts).Draw(m.t, "attempt")
	s := m.attempts[id]
	outcome := rapid.SampledFrom([]balancer.Outcome{balancer.OutcomeOK, balancer.OutcomeOK, balancer.OutcomeError, balancer.OutcomeShed}).Draw(m.t, "outcome")
	if !s.responded {
		s.responded, s.provenNotRun = true, outcome == balancer.OutcomeShed
	}
	report := balancer.Report{HasLoad: true, Load: wire.Load{InFlight: 4, Slots: 4, Queued: rapid.IntRange(0, 1).Draw(m.t, "queued")}}
	m.check(m.scheduler.Responded(m.now, id, dispatch.Response{Outcome: outcome, Report: report}))
}

func (m *model) finish() {
	if len(m.openAttempts) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.openAttempts)-1).Draw(m.t, "attempt")
	id := m.openAttempts[i]
	m.openAttempts = append(m.openAttempts[:i:i], m.openAttempts[i+1:]...)
	s := m.attempts[id]
	outcome := balancer.OutcomeOK
	if !s.responded {
		outcome = rapid.SampledFrom([]balancer.Outcome{balancer.OutcomeNotSent, balancer.OutcomeBroken, balancer.OutcomeShed, balancer.OutcomeCanceled}).Draw(m.t, "end")
		s.provenNotRun = outcome == balancer.OutcomeNotSent || outcome == balancer.OutcomeShed
	}
	s.finished = true
	before := m.inFlight
	if !s.discarded {
		m.inFlight--
	}
	m.checkLimit(before, m.scheduler.Ended(m.now, id, dispatch.End{Outcome: outcome}))
	m.check(m.scheduler.Ended(m.now, id, dispatch.End{Outcome: balancer.OutcomeBroken})) // a duplicate
}

func (m *model) step() {
	m.now += rapid.SampledFrom([]time.Duration{0, 0, 1, 5, 40}).Draw(m.t, "passes") * time.Millisecond
	switch rapid.SampledFrom([]string{"arrive", "arrive", "arrive", "respond", "respond", "finish", "finish", "tick", "cancel", "pool", "pause"}).Draw(m.t, "event") {
	case "arrive":
		m.arrive()
	case "respond":
		m.respond()
	case "finish":
		m.finish()
	case "tick":
		m.check(m.scheduler.Tick(m.now))
	case "cancel":
		if len(m.order) > 0 {
			id := rapid.SampledFrom(m.order).Draw(m.t, "request")
			m.requests[id].canceled = true
			m.check(m.scheduler.Cancel(m.now, id))
		}
	case "pool":
		m.check(m.scheduler.SetPool(m.now, pool(rapid.SampledFrom([]int{0, 1, 3, 3, 3}).Draw(m.t, "targets"), 4)))
	case "pause":
		m.now += 2 * time.Second
		m.check(m.scheduler.Tick(m.now))
		m.check(m.scheduler.Refreshed(m.now))
	}
}

// Guards against faults that lose or duplicate requests in random sequences of
// events: a second run of a non-idempotent request, a wrong "not run", two responses
// or none, more retries and hedges than the budget allows, and more attempts in
// flight than the window allows.
func TestEventSequences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t, requests: map[dispatch.RequestID]*trackedRequest{}, attempts: map[dispatch.AttemptID]*trackedAttempt{},
			scheduler: dispatch.NewScheduler(dispatch.Options{Pool: pool(3, 4), QueueLimit: 5, Rand: rand.New(rand.NewPCG(1, 2))})}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			m.step()
		}
		for len(m.openAttempts) > 0 {
			m.finish()
		}
		m.now += 10 * time.Second
		m.check(m.scheduler.Tick(m.now))
		for _, id := range m.order {
			if r := m.requests[id]; !r.ended && !r.canceled {
				t.Fatalf("request %d was not answered", id)
			}
		}
		if end := m.scheduler.Snapshot(m.now); end.InFlight != 0 || end.LongInFlight != 0 || m.inFlight != 0 {
			t.Fatalf("leaked slots: %d in flight, %d long, %d in the model", end.InFlight, end.LongInFlight, m.inFlight)
		}
	})
}
