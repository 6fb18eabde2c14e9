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

// simulation is a simulated fleet with targets, in the time of a synctest bubble.
type simulation struct {
	mu           sync.Mutex // tests only: guards the fields up to delay
	random       *rand.Rand
	crashed      map[string]chan struct{} // by target, closed by its crash
	members      []string
	crashes      int
	delay        int          // largest delay between instances in milliseconds
	unresponsive atomic.Value // name of an instance that does not answer
	tasks        map[string]*Task
	ids          atomic.Uint64
	stop         func()
}

func newSimulation(seed uint64, delay int) *simulation {
	w := &simulation{random: rand.New(rand.NewPCG(seed, 1)), crashed: map[string]chan struct{}{}, delay: delay, tasks: map[string]*Task{}}
	w.unresponsive.Store("")
	start := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for i := range 5 {
		name := fmt.Sprint("i", i)
		w.members = append(w.members, name)
		task := NewTask(TaskOptions{Random: rand.New(rand.NewPCG(seed, uint64(i)+2)), Peers: instanceNetwork{w, name},
			Trials: instanceNetwork{w, name}, Now: func() time.Duration { return time.Since(start) }})
		w.tasks[name] = task
		running.Go(func() { task.Run(ctx) })
	}
	for name, task := range w.tasks {
		task.SetMembers(name, w.members)
	}
	w.stop = func() { cancel(); running.Wait() }
	time.Sleep(36 * time.Second) // coordinators grant nothing before
	return w
}

func (w *simulation) draw(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

// instanceNetwork is the network as one instance sees it.
type instanceNetwork struct {
	simulation *simulation
	self       string
}

func (l instanceNetwork) reach(name string) (*Task, error) {
	time.Sleep(time.Duration(l.simulation.draw(l.simulation.delay)) * time.Millisecond)
	if l.simulation.unresponsive.Load() == name {
		return nil, errors.Errorf("%s does not answer", name)
	}
	return l.simulation.tasks[name], nil
}

func (l instanceNetwork) Broadcast(ctx context.Context, notices []Notice) error {
	var all sync.WaitGroup
	for name := range l.simulation.tasks {
		if name != l.self {
			all.Go(func() {
				if task, err := l.reach(name); err == nil {
					_ = task.Merge(ctx, notices...)
				}
			})
		}
	}
	all.Wait()
	return nil
}

func (l instanceNetwork) coordinator(key Fingerprint) (*Task, error) {
	l.simulation.mu.Lock()
	name := CoordinatorOf(key, l.simulation.members)
	l.simulation.mu.Unlock()
	return l.reach(name)
}

func (l instanceNetwork) Acquire(ctx context.Context, key Fingerprint) (bool, error) {
	task, err := l.coordinator(key)
	if err != nil {
		return false, err
	}
	return task.Grant(ctx, key, l.self)
}

func (l instanceNetwork) Release(ctx context.Context, key Fingerprint, v Verdict) error {
	task, err := l.coordinator(key)
	if err != nil {
		return err
	}
	return task.Release(ctx, key, l.self, v)
}

// send sends one request through an instance to a target.
func (w *simulation) send(instance string, f Fingerprint, target string) (balancer.Outcome, *refusal.Refusal) {
	task, ctx := w.tasks[instance], context.Background()
	permit, refused := task.Admit(ctx, f, target)
	if refused != nil {
		return balancer.OutcomeNotSent, refused
	}
	a := Attempt{ID: w.ids.Add(1), Fingerprint: f, Target: target, Trial: permit.Trial}
	task.Started(a)
	outcome := w.run(f, target)
	task.Ended(ctx, a, outcome)
	return outcome, nil
}

func (w *simulation) run(f Fingerprint, target string) balancer.Outcome {
	w.mu.Lock()
	if w.crashed[target] == nil {
		w.crashed[target] = make(chan struct{})
	}
	crashed := w.crashed[target]
	w.mu.Unlock()
	millis := 100 + time.Duration(w.draw(100))
	if f == crasher {
		millis = 20
	}
	select {
	case <-crashed:
		return balancer.OutcomeBroken
	case <-time.After(millis * time.Millisecond):
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if f == crasher && w.crashed[target] == crashed {
		close(crashed) // the target starts again at once
		w.crashes, w.crashed[target] = w.crashes+1, nil
		return balancer.OutcomeBroken
	}
	return balancer.OutcomeOK
}

func (w *simulation) target() string   { return fmt.Sprint("t", w.draw(12)) }
func (w *simulation) instance() string { return fmt.Sprint("i", w.draw(5)) }

// resend sends a request through any instances until it completes, at most n times.
func (w *simulation) resend(f Fingerprint, n int) (completed bool, longestRetryAfter time.Duration) {
	for range n {
		outcome, refused := w.send(w.instance(), f, w.target())
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

// sendAndResend lets the crasher and innocents run at one target, and resends all of
// them. It returns the innocents that completed and the longest time for which
// one was refused.
func (w *simulation) sendAndResend(harmless, callers int) (completed int32, longestRetryAfter time.Duration) {
	var requests sync.WaitGroup
	var mu sync.Mutex
	for i := range harmless {
		requests.Go(func() {
			f := Fingerprint{byte(i)}
			first, _ := w.send(w.instance(), f, "t0")
			ok, retryAfter := first == balancer.OutcomeOK, time.Duration(0)
			if !ok {
				ok, retryAfter = w.resend(f, 2000)
			}
			mu.Lock()
			defer mu.Unlock()
			if longestRetryAfter = max(longestRetryAfter, retryAfter); ok {
				completed++
			}
		})
	}
	w.send(w.instance(), crasher, "t0")
	for range callers {
		requests.Go(func() { w.resend(crasher, 100) })
	}
	requests.Wait()
	return completed, longestRetryAfter
}

// Guards against a third crash, and against innocents that never finish or are blocked.
func TestResendsCrashAtMostTwoTargets(t *testing.T) {
	for _, callers := range []int{1, 5, 25} {
		synctest.Test(t, func(t *testing.T) {
			is, w := is.New(t), newSimulation(1, 5)
			defer w.stop()
			completed, longestRetryAfter := w.sendAndResend(50, callers)
			is.Equal(w.crashes, 2)
			is.Equal(completed, int32(50))
			is.True(longestRetryAfter < time.Second) // a block would last 10 minutes
			refused := w.tasks["i3"].Check(t.Context(), crasher)
			is.Equal(refused.Execution, refusal.NotRun)
			is.True(refused.RetryAfter > 5*time.Minute)
		})
	}
}

// removeMember removes an instance from the views of the others, one after the other.
func (w *simulation) removeMember(name string) {
	remaining := slices.DeleteFunc(slices.Clone(w.members), func(m string) bool { return m == name })
	for member, task := range w.tasks {
		time.Sleep(time.Duration(w.draw(900)) * time.Millisecond)
		task.SetMembers(member, remaining)
	}
	w.mu.Lock()
	w.members = remaining
	w.mu.Unlock()
}

// Guards against a third crash under random timing and a coordinator that leaves.
func TestFleetBoundUnderRandomTiming(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed, delay := rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(1, 140).Draw(rt, "delay")
		harmless, callers := rapid.IntRange(0, 12).Draw(rt, "innocents"), rapid.IntRange(1, 8).Draw(rt, "callers")
		coordinatorLeaves := rapid.Bool().Draw(rt, "coordinator leaves")
		var crashes int
		var completed int32
		var longestRetryAfter time.Duration
		synctest.Test(t, func(*testing.T) {
			w := newSimulation(seed, delay)
			defer w.stop()
			var all sync.WaitGroup
			if coordinatorLeaves {
				all.Go(func() { w.removeMember(CoordinatorOf(crasher, w.members)) })
			}
			completed, longestRetryAfter = w.sendAndResend(harmless, callers)
			all.Wait()
			crashes = w.crashes
		})
		if crashes > 2 || int(completed) != harmless || longestRetryAfter > time.Second {
			rt.Fatalf("%d crashes, %d of %d innocents completed, refused for %v", crashes, completed, harmless, longestRetryAfter)
		}
	})
}

// Guards against a suspect that runs without its coordinator's permission.
func TestSilentCoordinatorRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newSimulation(1, 5)
		defer w.stop()
		w.send("i0", crasher, "t0")
		w.unresponsive.Store(CoordinatorOf(crasher, w.members))
		for range 20 {
			_, refused := w.send(w.instance(), crasher, "t1")
			is.Equal(refused.Kind, refusal.SuspectedCrash)
			is.Equal(refused.Execution, refusal.NotRun)
			is.True(refused.RetryAfter <= 500*time.Millisecond)
			time.Sleep(refused.RetryAfter)
		}
		is.Equal(w.crashes, 1)
		w.unresponsive.Store("")
		time.Sleep(30 * time.Second)
		w.resend(crasher, 100)
		is.Equal(w.crashes, 2)
	})
}

// Guards against an instance that missed all notices and is not brought up to
// date by the exchange with a peer.
func TestExchangeReplacesLostNotices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newSimulation(1, 5)
		defer w.stop()
		w.unresponsive.Store("i4")
		w.send("i0", crasher, "t0")
		w.send("i4", crasher, "t1") // runs without a trial: the second strike
		w.unresponsive.Store("")
		notices, err := w.tasks["i0"].Notices(t.Context())
		is.NoErr(err)
		is.NoErr(w.tasks["i4"].Merge(t.Context(), notices...))
		for name := range w.tasks {
			w.resend(crasher, 10)
			is.True(w.tasks[name].Check(t.Context(), crasher) != nil) // blocked at name
		}
		is.Equal(w.crashes, 2)
	})
}
