package owner

import (
	"context"
	"time"

	"github.com/go-faster/errors"
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
	messages chan func(now time.Duration)
	done     chan struct{}
}

// New returns a loop. now returns the time since the instance's start; its value is
// passed to messages and ticks.
func New(now func() time.Duration) *Loop {
	return &Loop{now: now, messages: make(chan func(time.Duration), queueLength), done: make(chan struct{})}
}

// Run handles messages and calls tick at each interval, until the context ends.
// Messages that are still queued then are dropped. Run must be called only once.
func (l *Loop) Run(ctx context.Context, interval time.Duration, tick func(now time.Duration)) {
	defer close(l.done)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case handle := <-l.messages:
			handle(l.now())
		case <-ticker.C:
			tick(l.now())
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
// ErrStopped if the loop has ended. It must not be called from the loop's goroutine.
func Call[T any](ctx context.Context, l *Loop, handle func(now time.Duration) T) (T, error) {
	reply := make(chan T, 1)
	var zero T
	select {
	case l.messages <- func(now time.Duration) { reply <- handle(now) }:
	case <-ctx.Done():
		return zero, errors.Wrap(ctx.Err(), "queue message to task")
	case <-l.done:
		return zero, ErrStopped
	}
	select {
	case result := <-reply:
		return result, nil
	case <-l.done:
	}
	select {
	case result := <-reply: // handled just before the loop ended
		return result, nil
	default:
		return zero, ErrStopped
	}
}
