package poison

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dogwoodroute/dogwoodroute/balancer"
	"github.com/dogwoodroute/dogwoodroute/refusal"
)

// crasher is the request that crashes each target that runs it.
var crasher = Fingerprint{0xff}

// simulation simulates a fleet and its targets in the time of a synctest bubble.
type simulation struct {
	mu           sync.Mutex // guards the fields up to delay
	random       *rand.Rand
	crashed      map[string]chan struct{} // by target, closed when it crashes
	members      []string
	crashes      int
	delay        int          // exclusive maximum delay between instances in milliseconds
	unresponsive atomic.Value // name of an instance that does not answer
	tasks        map[string]*Task
	ids          atomic.Uint64
	stop         func()
}

func newSimulation(seed uint64, delay int) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), crashed: map[string]chan struct{}{}, delay: delay, tasks: map[string]*Task{}}
	s.unresponsive.Store("")
	start := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for i := range 5 {
		name := fmt.Sprint("i", i)
		s.members = append(s.members, name)
		task := NewTask(TaskOptions{Random: rand.New(rand.NewPCG(seed, uint64(i)+2)), Peers: instanceNetwork{s, name},
			Trials: instanceNetwork{s, name}, Now: func() time.Duration { return time.Since(start) }})
		s.tasks[name] = task
		running.Go(func() { task.Run(ctx) })
	}
	for name, task := range s.tasks {
		task.SetMembers(name, s.members)
	}
	s.stop = func() { cancel(); running.Wait() }
	time.Sleep(36 * time.Second) // new coordinators grant no leases before
	return s
}

func (s *simulation) draw(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

// instanceNetwork implements Peers and Trials for one instance.
type instanceNetwork struct {
	simulation *simulation
	self       string
}

func (n instanceNetwork) reach(name string) (*Task, error) {
	time.Sleep(time.Duration(n.simulation.draw(n.simulation.delay)) * time.Millisecond)
	if n.simulation.unresponsive.Load() == name {
		return nil, errors.Errorf("%s does not answer", name)
	}
	return n.simulation.tasks[name], nil
}

func (n instanceNetwork) Broadcast(ctx context.Context, notices []Notice) error {
	var all sync.WaitGroup
	for name := range n.simulation.tasks {
		if name != n.self {
			all.Go(func() {
				if task, err := n.reach(name); err == nil {
					_ = task.Merge(ctx, notices...)
				}
			})
		}
	}
	all.Wait()
	return nil
}

func (n instanceNetwork) coordinator(key Fingerprint) (*Task, error) {
	n.simulation.mu.Lock()
	name := CoordinatorOf(key, n.simulation.members)
	n.simulation.mu.Unlock()
	return n.reach(name)
}

func (n instanceNetwork) Acquire(ctx context.Context, key Fingerprint) (bool, error) {
	task, err := n.coordinator(key)
	if err != nil {
		return false, err
	}
	return task.Grant(ctx, key, n.self)
}

func (n instanceNetwork) Release(ctx context.Context, key Fingerprint, v Verdict) error {
	task, err := n.coordinator(key)
	if err != nil {
		return err
	}
	return task.Release(ctx, key, n.self, v)
}

// send sends one request through an instance to a target. The refusal is nil if
// the request was admitted.
func (s *simulation) send(instance string, f Fingerprint, target string) (balancer.Outcome, *refusal.Refusal) {
	task, ctx := s.tasks[instance], context.Background()
	permit, refused := task.Admit(ctx, f, target)
	if refused != nil {
		return balancer.OutcomeNotSent, refused
	}
	a := Attempt{ID: s.ids.Add(1), Fingerprint: f, Target: target, Trial: permit.Trial}
	task.Started(a)
	outcome := s.run(f, target)
	task.Ended(ctx, a, outcome)
	return outcome, nil
}

func (s *simulation) run(f Fingerprint, target string) balancer.Outcome {
	s.mu.Lock()
	if s.crashed[target] == nil {
		s.crashed[target] = make(chan struct{})
	}
	crashed := s.crashed[target]
	s.mu.Unlock()
	millis := 100 + time.Duration(s.draw(100))
	if f == crasher {
		millis = 20
	}
	select {
	case <-crashed:
		return balancer.OutcomeBroken
	case <-time.After(millis * time.Millisecond):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if f == crasher && s.crashed[target] == crashed {
		close(crashed) // the target restarts immediately
		s.crashes, s.crashed[target] = s.crashes+1, nil
		return balancer.OutcomeBroken
	}
	return balancer.OutcomeOK
}

func (s *simulation) target() string   { return fmt.Sprint("t", s.draw(12)) }
func (s *simulation) instance() string { return fmt.Sprint("i", s.draw(5)) }

// resend sends a request through random instances to random targets until it
// completes, at most n times. It returns the longest RetryAfter of a refusal.
func (s *simulation) resend(f Fingerprint, n int) (completed bool, longestRetryAfter time.Duration) {
	for range n {
		outcome, refused := s.send(s.instance(), f, s.target())
		if refused == nil && outcome == balancer.OutcomeOK {
			return true, longestRetryAfter
		}
		if refused != nil {
			longestRetryAfter = max(longestRetryAfter, refused.RetryAfter)
			time.Sleep(min(refused.RetryAfter, time.Second))
		}
	}
	return false, longestRetryAfter
}

// sendAndResend sends the crasher and harmless requests to one target and then
// resends all of them; callers goroutines resend the crasher. It returns the
// number of harmless requests that completed and the longest RetryAfter with
// which one of them was refused.
func (s *simulation) sendAndResend(harmless, callers int) (completed int32, longestRetryAfter time.Duration) {
	var requests sync.WaitGroup
	var mu sync.Mutex
	for i := range harmless {
		requests.Go(func() {
			f := Fingerprint{byte(i)}
			first, _ := s.send(s.instance(), f, "t0")
			ok, retryAfter := first == balancer.OutcomeOK, time.Duration(0)
			if !ok {
				ok, retryAfter = s.resend(f, 2000)
			}
			mu.Lock()
			defer mu.Unlock()
			if longestRetryAfter = max(longestRetryAfter, retryAfter); ok {
				completed++
			}
		})
	}
	s.send(s.instance(), crasher, "t0")
	for range callers {
		requests.Go(func() { s.resend(crasher, 100) })
	}
	requests.Wait()
	return completed, longestRetryAfter
}

// Guards against a third crash, and against harmless requests that were in flight
// at a crashed target and are then blocked or never complete.
func TestResendsCrashAtMostTwoTargets(t *testing.T) {
	for _, callers := range []int{1, 5, 25} {
		synctest.Test(t, func(t *testing.T) {
			is, s := is.New(t), newSimulation(1, 5)
			defer s.stop()
			completed, longestRetryAfter := s.sendAndResend(50, callers)
			is.Equal(s.crashes, 2)
			is.Equal(completed, int32(50))
			is.True(longestRetryAfter < time.Second) // a block would last 10 minutes
			refused := s.tasks["i3"].Check(t.Context(), crasher)
			is.Equal(refused.Execution, refusal.NotRun)
			is.True(refused.RetryAfter > 5*time.Minute)
		})
	}
}

// removeMember removes an instance from the views of all instances, one after the
// other.
func (s *simulation) removeMember(name string) {
	remaining := slices.DeleteFunc(slices.Clone(s.members), func(m string) bool { return m == name })
	for member, task := range s.tasks {
		time.Sleep(time.Duration(s.draw(900)) * time.Millisecond)
		task.SetMembers(member, remaining)
	}
	s.mu.Lock()
	s.members = remaining
	s.mu.Unlock()
}

// Guards against a third crash, and against harmless requests that never complete
// or are blocked, under random delays and with a coordinator that leaves the
// fleet.
func TestFleetBoundUnderRandomTiming(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed, delay := rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(1, 140).Draw(rt, "delay")
		harmless, callers := rapid.IntRange(0, 12).Draw(rt, "harmless requests"), rapid.IntRange(1, 8).Draw(rt, "callers")
		coordinatorLeaves := rapid.Bool().Draw(rt, "coordinator leaves")
		var crashes int
		var completed int32
		var longestRetryAfter time.Duration
		synctest.Test(t, func(*testing.T) {
			s := newSimulation(seed, delay)
			defer s.stop()
			var all sync.WaitGroup
			if coordinatorLeaves {
				all.Go(func() { s.removeMember(CoordinatorOf(crasher, s.members)) })
			}
			completed, longestRetryAfter = s.sendAndResend(harmless, callers)
			all.Wait()
			crashes = s.crashes
		})
		if crashes > 2 || int(completed) != harmless || longestRetryAfter > time.Second {
			rt.Fatalf("%d crashes, %d of %d harmless requests completed, longest RetryAfter %v", crashes, completed, harmless, longestRetryAfter)
		}
	})
}

// Guards against a trial without a lease while the coordinator does not answer.
func TestSilentCoordinatorRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, s := is.New(t), newSimulation(1, 5)
		defer s.stop()
		s.send("i0", crasher, "t0")
		s.unresponsive.Store(CoordinatorOf(crasher, s.members))
		for range 20 {
			_, refused := s.send(s.instance(), crasher, "t1")
			is.Equal(refused.Kind, refusal.SuspectedCrash)
			is.Equal(refused.Execution, refusal.NotRun)
			is.True(refused.RetryAfter <= 500*time.Millisecond)
			time.Sleep(refused.RetryAfter)
		}
		is.Equal(s.crashes, 1)
		s.unresponsive.Store("")
		time.Sleep(30 * time.Second)
		s.resend(crasher, 100)
		is.Equal(s.crashes, 2)
	})
}

// Guards against an instance that has missed all notices and does not get the
// records in the next exchange with a peer.
func TestExchangeReplacesLostNotices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, s := is.New(t), newSimulation(1, 5)
		defer s.stop()
		s.unresponsive.Store("i4")
		s.send("i0", crasher, "t0")
		s.send("i4", crasher, "t1") // not a trial, because i4 has no record: the second attributed crash
		s.unresponsive.Store("")
		notices, err := s.tasks["i0"].SomeNotices(t.Context(), 100)
		is.NoErr(err)
		is.NoErr(s.tasks["i4"].Merge(t.Context(), notices...))
		for name := range s.tasks {
			s.resend(crasher, 10)
			is.True(s.tasks[name].Check(t.Context(), crasher) != nil) // blocked at name
		}
		is.Equal(s.crashes, 2)
	})
}
