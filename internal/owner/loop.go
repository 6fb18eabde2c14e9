package owner

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/internal/contain"
)

// ErrStopped is returned by Call if the loop ended before a result was available.
// It is then unknown whether the message was handled.
var ErrStopped = errors.New("task has stopped")

// queueLength is the number of queued messages above which senders block.
const queueLength = 256

// Loop calls messages, which are functions, one at a time in the goroutine that
// calls Run.
type Loop struct {
	now      func() time.Duration
	onPanic  contain.Handler
	messages chan func(now time.Duration)
	done     chan struct{}
}

// New returns a loop. now returns the time since the instance's start; its value is
// passed to messages and ticks.
func New(now func() time.Duration) *Loop {
	return &Loop{now: now, messages: make(chan func(time.Duration), queueLength), done: make(chan struct{})}
}

// OnPanic sets the handler of panics in messages and ticks, which then end the message or
// the tick only. It must be called before Run. Without it they end the process.
func (l *Loop) OnPanic(handle contain.Handler) { l.onPanic = handle }

// Run handles messages and calls tick at each interval, until the context ends.
// Messages that are still queued then are dropped. Run must be called only once.
func (l *Loop) Run(ctx context.Context, interval time.Duration, tick func(now time.Duration)) {
	defer close(l.done)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case handle := <-l.messages:
			_ = contain.Run("message to a task", l.onPanic, func() { handle(l.now()) }) // reported by the handler
		case <-ticker.C:
			_ = contain.Run("tick of a task", l.onPanic, func() { tick(l.now()) })
		case <-ctx.Done():
			return
		}
	}
}

// Done returns a channel that is closed when Run has returned.
func (l *Loop) Done() <-chan struct{} { return l.done }

// Post queues a message and does not wait until it is handled. It blocks while the
// queue is full. The message is dropped if the loop has ended.
func (l *Loop) Post(message func(now time.Duration)) {
	select {
	case l.messages <- message:
	case <-l.done:
	}
}

// Call queues a message, waits until the loop has handled it and returns its result.
// The context limits only the wait while the queue is full: a queued message takes
// effect, so Call waits for its result even when the context ends. Call returns
// ErrStopped if the loop has ended, and contain.ErrPanic if the message ended with a
// panic. It must not be called from the loop's goroutine.
func Call[T any](ctx context.Context, l *Loop, handle func(now time.Duration) T) (T, error) {
	reply := make(chan T, 1)
	var zero T
	select {
	case l.messages <- func(now time.Duration) { defer close(reply); reply <- handle(now) }:
	case <-ctx.Done():
		return zero, errors.Wrap(ctx.Err(), "queue message to task")
	case <-l.done:
		return zero, ErrStopped
	}
	received := func(result T, ok bool) (T, error) {
		if !ok {
			return zero, errors.Wrap(contain.ErrPanic, "message to task")
		}
		return result, nil
	}
	select {
	case result, ok := <-reply:
		return received(result, ok)
	case <-l.done:
	}
	select {
	case result, ok := <-reply: // handled just before the loop ended
		return received(result, ok)
	default:
		return zero, ErrStopped
	}
}
