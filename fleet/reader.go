package fleet

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/internal/backoff"
)

const (
	// watchWait bounds one waiting watch. It also bounds how long a connection
	// that went silent is trusted; every watch is a priced call.
	watchWait = 1500 * time.Millisecond
	// watchGrace is how much later than watchWait an answer may come. The store's
	// usual answer takes 4 ms, a slow one some hundred.
	watchGrace = 900 * time.Millisecond
	// batchInterval is the least time between two answers with changes, so that
	// changes in quick succession cost one call. The first one is not delayed.
	batchInterval = 150 * time.Millisecond
	// firstWatchDelay is the time from the listing at the start of the process to the
	// first watch. By then an instance that others read for has heard of them and
	// makes no further call, also when the whole fleet has restarted.
	firstWatchDelay = 600 * time.Millisecond
	// listTimeout bounds a full listing.
	listTimeout = 3 * time.Second
	// firstBackoff and maxBackoff bound the time between failed calls, so that
	// the store's return is seen within half a second.
	firstBackoff = 40 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
	// outageAfter is how long without an answer counts as an outage, in which
	// entries of living targets may expire.
	outageAfter = watchWait + watchGrace
)

// readResult is what the reader tells the task after each call.
type readResult struct {
	listing Listing
	full    bool
	// afterOutage is true while removals may come from an outage of the store.
	afterOutage bool
	err         error
}

// reader calls the store until its context ends. It runs in its own goroutine.
type reader struct {
	source         Source
	now            func() time.Duration
	revision       uint64
	deliver        func(readResult)
	answered       time.Duration // last successful call
	failed         bool
	answeredBefore bool          // a call was answered
	lapsedUntil    time.Duration // removals count as lapsed until then
}

func (r *reader) run(ctx context.Context) {
	retryDelays := backoff.Backoff{Min: firstBackoff, Max: maxBackoff}
	listing := r.revision == 0
	for ctx.Err() == nil {
		result := r.callStore(ctx)
		if ctx.Err() != nil {
			return
		}
		r.deliver(result)
		if result.err == nil {
			retryDelays.Reset()
			switch {
			case listing:
				backoff.Sleep(ctx, firstWatchDelay)
			case len(result.listing.Records) > 0:
				backoff.Sleep(ctx, batchInterval)
			}
			listing = false
			continue
		}
		r.source.Reset()
		backoff.Sleep(ctx, retryDelays.Next())
	}
}

// callStore makes one call.
func (r *reader) callStore(ctx context.Context) readResult {
	var result readResult
	if r.revision == 0 {
		callContext, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		result.full = true
		result.listing, result.err = r.source.List(callContext)
	} else {
		call, cancel := context.WithTimeout(ctx, watchWait+watchGrace)
		defer cancel()
		wait := watchWait
		if !r.answeredBefore {
			wait = 0 // shows at once whether the store answers this instance
		}
		result.listing, result.err = r.source.Watch(call, r.revision, wait)
	}
	if errors.Is(result.err, ErrHistoryGone) {
		r.revision = 0
		return r.callStore(ctx)
	}
	if result.err != nil {
		r.failed = true
		return result
	}
	now := r.now()
	if r.failed && now-r.answered > outageAfter {
		r.lapsedUntil = now + outageAfter
	}
	r.answered, r.failed, r.answeredBefore = now, false, true
	r.revision = result.listing.Revision
	result.afterOutage = now < r.lapsedUntil
	return result
}
