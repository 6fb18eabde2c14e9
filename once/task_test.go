package once

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/refusal"
)

func startTask(t *testing.T, owners Owners) *Task {
	start := time.Now()
	task := NewTask(TaskOptions{Ledger: newLedger(1, Options{}), Owners: owners,
		Now: func() time.Duration { return time.Since(start) }})
	ctx, stop := context.WithCancel(context.Background())
	go task.Run(ctx)
	t.Cleanup(func() { stop(); <-task.loop.Done() })
	return task
}

// Guards against two runs started by concurrent resends, and against
// resends that do not get the recorded response.
func TestTaskParallelResendsShareOneRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, task := is.New(t), startTask(t, nil)
		ticket, err := task.Issue(t.Context(), 1)
		is.NoErr(err)
		var started, answered atomic.Int32
		var resends sync.WaitGroup
		for range maxWaiters {
			resends.Go(func() {
				d, err := task.Begin(t.Context(), ticket[0], Fingerprint{})
				if err == nil && d.State == StateStarted {
					started.Add(1)
					time.Sleep(time.Second) // duration of the run
					task.Finish(d.Serial, Result{Kind: ResultAnswered, Response: recordedResponse})
				} else if d.Response == recordedResponse {
					answered.Add(1)
				}
			})
		}
		resends.Wait()
		is.Equal(started.Load(), int32(1))
		is.Equal(answered.Load(), int32(maxWaiters-1))
	})
}

// Guards against a resend that waits longer than its context, and against one that
// stays registered as a waiter after that.
func TestTaskWaitEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, task := is.New(t), startTask(t, nil)
		ticket, _ := task.Issue(t.Context(), 1)
		_, err := task.Begin(t.Context(), ticket[0], Fingerprint{})
		is.NoErr(err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		d, err := task.Begin(ctx, ticket[0], Fingerprint{})
		is.NoErr(err)
		is.Equal(d.Refusal().Execution, refusal.MayHaveRun)
		synctest.Wait()
		is.Equal(len(task.waiters), 0)
	})
}

// unresponsiveOwner implements Owners and does not reply before the context ends.
type unresponsiveOwner struct{}

func (unresponsiveOwner) Settle(ctx context.Context, _ Incarnation, _ string) (Settlement, error) {
	<-ctx.Done()
	return Settlement{}, ctx.Err()
}

// Guards against a Resolve that waits for ever for the owner, that wrongly promises
// "not run", or that returns the response of another request.
func TestTaskResolve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		foreign := newLedger(2, Options{}).Issue(0, 1)[0]
		r := startTask(t, unresponsiveOwner{}).Resolve(t.Context(), foreign, Fingerprint{})
		is.Equal(r.Refusal.Kind, refusal.AlreadyRun)
		is.Equal(r.Refusal.Execution, refusal.MayHaveRun)
		recorded := settleReply{settlement: Settlement{State: StateAnswered, Response: recordedResponse, Fingerprint: Fingerprint{1}}}
		is.Equal(Resolve(t.Context(), recorded, foreign, Fingerprint{1}).Response, recordedResponse)
		is.Equal(Resolve(t.Context(), recorded, foreign, Fingerprint{2}).Refusal.Kind, refusal.TicketInvalid)
		voided := Resolve(t.Context(), settleReply{settlement: Settlement{State: StateVoided}}, foreign, Fingerprint{})
		is.Equal(voided.Refusal.Execution, refusal.NotRun)
		is.Equal(Resolve(t.Context(), nil, "x", Fingerprint{}).Refusal.Kind, refusal.TicketInvalid)
	})
}
