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
	// watchSlack is how much later than watchWait an answer may come. The store's
	// usual answer takes 4 ms, a slow one some hundred.
	watchSlack = 900 * time.Millisecond
	// gatherFor is the least time between two answers with changes, so that
	// changes in quick succession cost one call. The first one is not delayed.
	gatherFor = 150 * time.Millisecond
	// introduction is the time from the listing at the start of the process to the
	// first watch. By then an instance that others read for has heard of them and
	// makes no further call, also when the whole fleet has restarted.
	introduction = 600 * time.Millisecond
	// listTimeout bounds a full listing.
	listTimeout = 3 * time.Second
	// firstBackoff and maxBackoff bound the time between failed calls, so that
	// the store's return is seen within half a second.
	firstBackoff = 40 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
	// outageAfter is how long without an answer counts as an outage, in which
	// entries of living targets may expire.
	outageAfter = watchWait + watchSlack
)

// readReport is what the reader tells the task after each call.
type readReport struct {
	listing Listing
	full    bool
	// afterOutage is true while removals may come from an outage of the store.
	afterOutage bool
	err         error
}

// reader calls the store until its context ends. It runs in its own goroutine.
type reader struct {
	source   Source
	now      func() time.Duration
	revision uint64
	deliver  func(readReport)
	answered time.Duration // last successful call
	failed   bool
	started  bool          // a call was answered
	lapses   time.Duration // removals count as lapsed until then
}

func (r *reader) run(ctx context.Context) {
	pauses := backoff.Backoff{Min: firstBackoff, Max: maxBackoff}
	cold := r.revision == 0
	for ctx.Err() == nil {
		report := r.step(ctx)
		if ctx.Err() != nil {
			return
		}
		r.deliver(report)
		if report.err == nil {
			pauses.Reset()
			switch {
			case cold:
				backoff.Sleep(ctx, introduction)
			case len(report.listing.Records) > 0:
				backoff.Sleep(ctx, gatherFor)
			}
			cold = false
			continue
		}
		r.source.Reset()
		backoff.Sleep(ctx, pauses.Next())
	}
}

// step makes one call.
func (r *reader) step(ctx context.Context) readReport {
	var report readReport
	if r.revision == 0 {
		call, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		report.full = true
		report.listing, report.err = r.source.List(call)
	} else {
		call, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
		defer cancel()
		wait := watchWait
		if !r.started {
			wait = 0 // shows at once whether the store answers this instance
		}
		report.listing, report.err = r.source.Watch(call, r.revision, wait)
	}
	if errors.Is(report.err, ErrHistoryGone) {
		r.revision = 0
		return r.step(ctx)
	}
	if report.err != nil {
		r.failed = true
		return report
	}
	now := r.now()
	if r.failed && now-r.answered > outageAfter {
		r.lapses = now + outageAfter
	}
	r.answered, r.failed, r.started = now, false, true
	r.revision = report.listing.Revision
	report.afterOutage = now < r.lapses
	return report
}
