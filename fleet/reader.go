package fleet

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/internal/backoff"
	"github.com/dogwoodroute/dogwoodroute/internal/contain"
	"github.com/dogwoodroute/dogwoodroute/records"
)

const (
	// watchWait is how long the store may hold a watch that has no changes to return.
	// A shorter wait detects a broken connection sooner; a longer one saves calls,
	// each of which has a price.
	watchWait = 1500 * time.Millisecond
	// firstReaderWatchWait replaces watchWait at the first reader, so that a fleet whose
	// watches are all silent notices it within half of the shortest time that is required
	// from a change to its effect (2 s). It costs 0.6 calls a second while nothing changes.
	firstReaderWatchWait = 800 * time.Millisecond
	// minOverdue and maxOverdue bound the time after its wait at which a watch without an
	// answer is overdue: twice as long as the store took beyond the wait the last time. The
	// usual delay is 4 ms; that of a slow store, up to 400 ms, must not cost a second call
	// with each watch.
	minOverdue = 200 * time.Millisecond
	maxOverdue = 800 * time.Millisecond
	// watchGrace is how long after watchWait the answer may arrive. The store usually
	// answers in 4 ms, but may take several hundred.
	watchGrace = 900 * time.Millisecond
	// firstCallTimeout bounds a call that only asks whether the store answers. It doubles
	// with each failure, up to watchWait and watchGrace: a slow store still answers one, and
	// a call that hangs since before the store's return does not delay the next one long.
	firstCallTimeout = 600 * time.Millisecond
	// batchInterval is the pause after an answer with changes, so that the changes
	// that follow in quick succession cost one call. The first one is not delayed.
	batchInterval = 150 * time.Millisecond
	// firstWatchDelay is the time from the listing at the start of the process to the
	// first watch. Meanwhile an instance that need not be a reader learns about the
	// readers and stops reading without another call, even if the whole fleet has
	// restarted.
	firstWatchDelay = 600 * time.Millisecond
	// listTimeout bounds a full listing. It ends one that makes no end; the source bounds
	// each page.
	listTimeout = 20 * time.Second
	// firstBackoff and maxBackoff bound the time between failed calls, before jitter,
	// so that an instance notices within about half a second that the store is back.
	firstBackoff = 40 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
	// outageAfter is the time without an answer after which the store counts as
	// unavailable. During an outage entries of live targets may expire.
	outageAfter = watchWait + watchGrace
)

// maxTimeoutDoublings is enough to reach the longest timeout.
const maxTimeoutDoublings = 4

// readResult is the result of one call to the store.
type readResult struct {
	listing Listing
	full    bool
	// afterOutage is true if removals may be due to an outage of the store, in which
	// targets could not renew their entries.
	afterOutage bool
	// afterSilence is true for a listing that follows a watch that has not returned changes.
	afterSilence bool
	err          error
}

// reader lists and watches the store until its context ends, and passes the result of
// each call to deliver. It runs in its own goroutine.
type reader struct {
	source         Source
	now            func() time.Duration
	position       records.Position // of the last answer
	mustList       bool             // a watch from position would miss changes
	deliver        func(readResult)
	answered       time.Duration // when the last call succeeded, at first the start of the reader
	failed         bool          // the last call failed
	failures       int           // calls that failed since the store's last answer, also of earlier readers
	answeredBefore bool          // a call has succeeded
	onPanic        contain.Handler
	lapsedUntil    time.Duration // removals before this time count as lapsed
	delay          time.Duration // how long the store took for its last answer, without the wait of a watch
	first          atomic.Bool   // this instance is the first reader of the fleet
}

func (r *reader) run(ctx context.Context) {
	retryDelays := backoff.Backoff{Min: firstBackoff, Max: maxBackoff}
	r.mustList = r.position.Revision == 0
	starting := r.mustList
	for ctx.Err() == nil {
		var result readResult
		if err := contain.Run("call of the store", r.onPanic, func() { result = r.callStore(ctx) }); err != nil {
			result = readResult{err: err}
		}
		if ctx.Err() != nil {
			return
		}
		r.deliver(result)
		if result.err == nil {
			retryDelays.Reset()
			switch {
			case starting:
				backoff.Sleep(ctx, firstWatchDelay)
			case len(result.listing.Records) > 0:
				backoff.Sleep(ctx, batchInterval)
			}
			starting = false
			continue
		}
		r.source.Reset()
		backoff.Sleep(ctx, retryDelays.Next())
	}
}

// callStore makes one call, a watch or, if r.mustList is set, a listing. A listing follows
// at once if a watch cannot return all changes: the history is gone, the changes are too
// long, the store was restored and the revision is one of an earlier era, or the watch is
// silent although there are changes.
func (r *reader) callStore(ctx context.Context) readResult {
	result := readResult{full: r.mustList}
	if r.mustList {
		callContext, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		result.listing, result.err = r.source.List(callContext)
	} else {
		wait := watchWait
		if r.first.Load() {
			wait = firstReaderWatchWait
		}
		timeout := wait + watchGrace
		if !r.answeredBefore || r.failed {
			wait = 0 // to learn at once whether the store answers this instance, and in which era
			timeout = min(timeout, firstCallTimeout<<min(r.failures, maxTimeoutDoublings))
		}
		callContext, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		result.listing, result.err = r.watch(callContext, wait)
	}
	position := result.listing.Position.WithDefaultEra(r.position.Era)
	result.listing.Position = position
	restored := result.err == nil && position.Era > r.position.Era && r.position.Revision > 0
	switch {
	case !r.mustList && (restored || errors.Is(result.err, ErrHistoryGone) || errors.Is(result.err, ErrTooManyChanges) ||
		errors.Is(result.err, errWatchSilent)):
		silent := errors.Is(result.err, errWatchSilent)
		r.mustList = true
		result = r.callStore(ctx)
		result.afterSilence = silent
		return result
	case result.err == nil && position.Era < r.position.Era:
		result.err = errors.Errorf("answer of era %d of the store, era %d is known", position.Era, r.position.Era)
	}
	if result.err != nil {
		r.failed = true
		r.failures++
		return result
	}
	now := r.now()
	if restored || r.failed && now-r.answered > outageAfter {
		r.lapsedUntil = now + outageAfter
	}
	r.answered, r.failed, r.failures, r.answeredBefore, r.mustList = now, false, 0, true, false
	r.position = position
	result.afterOutage = now < r.lapsedUntil
	return result
}
