package owner

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// ErrStopped is returned for a message to a loop that has ended. Whether the
// message was handled before the end is then unknown.
var ErrStopped = errors.New("task has stopped")

// queueLength is the number of messages that wait without blocking their sender.
const queueLength = 256

// Loop handles messages one at a time in the goroutine that calls Run.
type Loop struct {
	now      func() time.Duration
	messages chan func(now time.Duration)
	done     chan struct{}
}

// New returns a loop. now returns the time since the instance's start.
func New(now func() time.Duration) *Loop {
	return &Loop{now: now, messages: make(chan func(time.Duration), queueLength), done: make(chan struct{})}
}

// Run handles messages until the context ends, and calls tick at each
// interval. It may be called once.
func (l *Loop) Run(ctx context.Context, interval time.Duration, tick func(now time.Duration)) {
	defer close(l.done)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case event := <-l.messages:
			event(l.now())
		case <-ticker.C:
			tick(l.now())
		case <-ctx.Done():
			return
		}
	}
}

// Done is closed when Run has returned.
func (l *Loop) Done() <-chan struct{} { return l.done }

// Post queues a message without waiting for its handling. The message is
// dropped when the loop has ended.
func (l *Loop) Post(message func(now time.Duration)) {
	select {
	case l.messages <- message:
	case <-l.done:
	}
}

// Call sends a message and waits for its result. The context bounds the wait
// for a place in the queue only: once queued, the message takes effect, so the
// result is always awaited. An error means that no result is known.
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
	case result := <-reply: // handled just before the end
		return result, nil
	default:
		return zero, ErrStopped
	}
}
