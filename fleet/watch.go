package fleet

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/internal/contain"
	"github.com/dogwoodroute/dogwoodroute/records"
)

// errWatchSilent says that a watch has not returned changes that the store has.
var errWatchSilent = errors.New("watch is silent although the store has changes")

// answer is the result of a call that runs in its own goroutine.
type answer[T any] struct {
	value T
	err   error
}

// callAsync makes a call in its own goroutine. The channel receives its result. The call must
// end with its context.
func callAsync[T any](onPanic contain.Handler, call func() (T, error)) <-chan answer[T] {
	result := make(chan answer[T], 1)
	go func() {
		var a answer[T]
		if err := contain.Run("call of the store", onPanic, func() { a.value, a.err = call() }); err != nil {
			a.err = err
		}
		result <- a
	}()
	return result
}

// watch watches the store from r.position. A watch that is overdue may be broken without a
// sign of it, so the reader then asks for the position of the store. The first answer
// of the two counts: at the same position it is as good as a watch without changes, and at a
// later one the error is errWatchSilent. A watch that need not wait is not checked.
func (r *reader) watch(ctx context.Context, wait time.Duration) (Listing, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	after, start := r.position, r.now()
	watched := callAsync(r.onPanic, func() (Listing, error) { return r.source.Watch(ctx, after.Revision, wait) })
	if wait == 0 {
		a := <-watched
		return a.value, a.err
	}
	overdue := time.NewTimer(wait + min(max(minOverdue, 2*r.delay), maxOverdue))
	defer overdue.Stop()
	select {
	case a := <-watched:
		if a.err == nil && len(a.value.Records) == 0 {
			r.delay = max(0, r.now()-start-wait)
		}
		return a.value, a.err
	case <-overdue.C:
	}
	checkStart := r.now()
	checked := callAsync(r.onPanic, func() (records.Position, error) { return r.source.Position(ctx) })
	select {
	case a := <-watched:
		if a.err == nil {
			r.delay = maxOverdue // no call is saved by less: the store is slow
		}
		return a.value, a.err
	case a := <-checked:
		r.delay = r.now() - checkStart
		switch position := a.value.WithDefaultEra(after.Era); {
		case a.err != nil:
			return Listing{}, errors.Wrap(a.err, "read position of the store after a watch that is overdue")
		case position.Compare(after) > 0:
			return Listing{}, errWatchSilent
		default:
			return Listing{Position: records.Position{Era: position.Era, Revision: after.Revision}}, nil
		}
	}
}
