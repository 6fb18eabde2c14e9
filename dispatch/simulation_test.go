package dispatch_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"github.com/dogwoodroute/dogwoodroute/balancer"
	"github.com/dogwoodroute/dogwoodroute/dispatch"
	"github.com/dogwoodroute/dogwoodroute/refusal"
	"github.com/dogwoodroute/dogwoodroute/tables"
	"github.com/dogwoodroute/dogwoodroute/wire"
)

// simulation runs schedulers against targets in simulated time.
type simulation struct {
	instances, targets, slots, queue int
	load                             func(t time.Duration) float64 // offered load as a share of the capacity
	length                           time.Duration
	seed                             uint64

	rand          *rand.Rand
	now           time.Duration
	events        eventHeap
	seq           int
	schedulers    []*dispatch.Scheduler
	backends      map[string]*backend
	requests      map[[2]uint64]*simulatedRequest
	jobs          map[[2]uint64]*job
	done          []*simulatedRequest
	recordActions bool
	actionLog     strings.Builder // all actions, if recordActions is set
}

type simulatedRequest struct {
	dispatch.Request
	arrivedAt, answeredAt time.Duration
	kind                  refusal.Kind
}

type backend struct {
	running int
	waiting []*job
}

type job struct {
	instance int
	action   dispatch.Action
	service  time.Duration
	ended    bool
	running  bool
}

type scheduledEvent struct {
	at  time.Duration
	seq int
	run func()
}

type eventHeap []scheduledEvent

func (t eventHeap) Len() int { return len(t) }
func (t eventHeap) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}
func (t eventHeap) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *eventHeap) Push(x any)   { *t = append(*t, x.(scheduledEvent)) }
func (t *eventHeap) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

func (s *simulation) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, scheduledEvent{at: s.now + d, seq: s.seq, run: run})
}

// meanService is the mean of serviceTime: 19 of 20 requests take 10 to 30 ms, one
// takes five times as long.
const meanService = 24 * time.Millisecond

func (s *simulation) serviceTime() time.Duration {
	d := 10*time.Millisecond + time.Duration(s.rand.Int64N(int64(20*time.Millisecond)))
	if s.rand.IntN(20) == 0 {
		d *= 5
	}
	return d
}

func (s *simulation) run() {
	s.rand = rand.New(rand.NewPCG(s.seed, 1))
	s.backends, s.requests, s.jobs = map[string]*backend{}, map[[2]uint64]*simulatedRequest{}, map[[2]uint64]*job{}
	p := pool(s.targets, s.slots)
	for _, t := range p.Targets {
		s.backends[t.Name] = &backend{}
	}
	for i := range s.instances {
		s.schedulers = append(s.schedulers, dispatch.NewScheduler(dispatch.Options{Pool: p,
			Rand: rand.New(rand.NewPCG(s.seed, uint64(i))), Fleet: dispatch.Fleet{Instances: s.instances}}))
		s.after(0, func() { s.tick(i) })
		s.after(0, func() { s.arrive(i, 0) })
	}
	for len(s.events) > 0 && s.now < s.length+3*time.Second {
		next := heap.Pop(&s.events).(scheduledEvent)
		s.now = next.at
		next.run()
	}
}

func (s *simulation) tick(i int) {
	s.perform(i, s.schedulers[i].Tick(s.now))
	s.after(dispatch.TickInterval, func() { s.tick(i) })
}

func (s *simulation) arrive(i int, id uint64) {
	if s.now >= s.length {
		return
	}
	rate := s.load(s.now) * float64(s.targets*s.slots) / meanService.Seconds() / float64(s.instances)
	gap := -math.Log(1-s.rand.Float64()) / rate
	s.after(time.Duration(gap*float64(time.Second)), func() { s.arrive(i, id+1) })
	r := dispatch.Request{ID: dispatch.RequestID(id + 1), Class: tables.ClassShort, Priority: tables.PriorityNormal,
		Idempotent: true, Hedge: true, MaxAttempts: 2, Attempt: 1, Deadline: s.now + 500*time.Millisecond}
	if id%5 == 0 {
		r.Priority, r.Idempotent, r.Hedge = tables.PriorityHigh, false, false
	}
	s.requests[[2]uint64{uint64(i), uint64(r.ID)}] = &simulatedRequest{Request: r, arrivedAt: s.now}
	s.perform(i, s.schedulers[i].Arrive(s.now, r))
}

func (s *simulation) perform(i int, actions []dispatch.Action) {
	for _, a := range append([]dispatch.Action(nil), actions...) {
		if s.recordActions {
			fmt.Fprintf(&s.actionLog, "%v %d %+v\n", s.now, i, a)
		}
		key := [2]uint64{uint64(i), uint64(a.Request)}
		switch a.Kind {
		case dispatch.ActionSend:
			j := &job{instance: i, action: a, service: s.serviceTime()}
			s.jobs[[2]uint64{uint64(i), uint64(a.Attempt)}] = j
			s.after(100*time.Microsecond, func() { s.reachTarget(j) })
		case dispatch.ActionAccept, dispatch.ActionRefuse:
			r := s.requests[key]
			r.answeredAt, r.kind = s.now, a.Refusal
			s.done = append(s.done, r)
		case dispatch.ActionCancel:
			s.cancel(s.jobs[[2]uint64{uint64(i), uint64(a.Attempt)}])
		}
	}
}

func (s *simulation) reachTarget(j *job) {
	b := s.backends[j.action.Target]
	switch {
	case j.ended:
	case b.running < s.slots:
		s.start(b, j)
	case len(b.waiting) < s.queue:
		b.waiting = append(b.waiting, j)
	default:
		s.respond(j, balancer.OutcomeShed)
	}
}

func (s *simulation) start(b *backend, j *job) {
	b.running++
	j.running = true
	s.after(j.service, func() {
		if !j.ended {
			s.finish(b, j)
			s.respond(j, balancer.OutcomeOK)
		}
	})
}

// finish frees the slot of a job and starts the next waiting one.
func (s *simulation) finish(b *backend, j *job) {
	j.ended = true
	b.running--
	for len(b.waiting) > 0 && b.running < s.slots {
		next := b.waiting[0]
		b.waiting = b.waiting[1:]
		if !next.ended {
			s.start(b, next)
		}
	}
}

func (s *simulation) cancel(j *job) {
	if j.ended {
		return
	}
	if j.running {
		s.finish(s.backends[j.action.Target], j)
	}
	j.ended = true
	s.perform(j.instance, s.schedulers[j.instance].Ended(s.now, j.action.Attempt, dispatch.End{Outcome: balancer.OutcomeCanceled}))
}

func (s *simulation) respond(j *job, outcome balancer.Outcome) {
	b := s.backends[j.action.Target]
	report := balancer.Report{HasLoad: true, Load: wire.Load{InFlight: b.running + len(b.waiting), Slots: s.slots, Queued: len(b.waiting)}}
	s.after(100*time.Microsecond, func() {
		scheduler := s.schedulers[j.instance]
		s.perform(j.instance, scheduler.Responded(s.now, j.action.Attempt, dispatch.Response{Outcome: outcome, Report: report}))
		s.perform(j.instance, scheduler.Ended(s.now, j.action.Attempt, dispatch.End{Outcome: outcome}))
	})
}

// summary summarizes the requests that arrived in a span of time.
type summary struct {
	arrived, accepted, high, highAccepted int
	p50, p99                              time.Duration
}

func (s *simulation) summarize(from, to time.Duration) summary {
	var all summary
	var latencies []time.Duration
	for _, r := range s.done {
		if r.arrivedAt < from || r.arrivedAt >= to {
			continue
		}
		ok := r.kind == "" && r.answeredAt <= r.Deadline
		all.arrived++
		if r.Priority == tables.PriorityHigh {
			all.high++
		}
		if !ok {
			continue
		}
		all.accepted++
		latencies = append(latencies, r.answeredAt-r.arrivedAt)
		if r.Priority == tables.PriorityHigh {
			all.highAccepted++
		}
	}
	sort.Slice(latencies, func(i, j int) bool { return latencies[i] < latencies[j] })
	all.p50, all.p99 = latencies[len(latencies)/2], latencies[len(latencies)*99/100]
	return all
}

func (s *simulation) capacity(span time.Duration) float64 {
	return float64(s.targets*s.slots) * span.Seconds() / meanService.Seconds()
}

func (s summary) String() string {
	return fmt.Sprintf("arrived %d accepted %d high %d of %d p50 %v p99 %v", s.arrived, s.accepted, s.highAccepted, s.high, s.p50, s.p99)
}

// pool returns a pool of serving targets.
func pool(targets, slots int) tables.Pool {
	p := tables.Pool{Name: "p"}
	for i := range targets {
		p.Targets = append(p.Targets, tables.Target{Name: fmt.Sprintf("t%d", i), Address: fmt.Sprintf("127.0.0.1:%d", i+1),
			Slots: slots, Connections: 300, State: tables.StateServing})
	}
	return p
}
