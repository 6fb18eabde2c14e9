package quarantine

import (
	"math"
	"time"

	"github.com/dogwoodroute/dogwoodroute/poison"
)

const (
	// CrashLimit is the number of failed targets from which a request is blocked. Two
	// targets in a row that are down right after the same request are rarely a
	// coincidence, and each crash also ends all other requests on the target.
	CrashLimit = 2
	// resourceMargin is added to a limit for all requests for one resource together: those with
	// other queries may be harmless, and get the chance to complete.
	resourceMargin = 1
	// IsolatedCrashLimit replaces CrashLimit at an instance without contact with others,
	// which does not get their reports: each such instance would crash as many.
	IsolatedCrashLimit = 1
	// Retention is how long after its last failure a request is tracked and, if it
	// reached CrashLimit, blocked. Until then all its failures count: a request that
	// comes back every few minutes crashes one target each time.
	Retention = 5 * time.Minute
	// simultaneousHold replaces Retention while all failures of a request are closer together
	// than this and none is known to have followed another one: targets that were lost
	// together are back within seconds, and a request that many callers send was in
	// progress on several of them.
	simultaneousHold = 10 * time.Second
	// maxRequests bounds the memory of the tracker: when a failure domain fails,
	// each request in progress there gets a failure report.
	maxRequests = 4096
)

// beforeAll is before the time of every report. Reports of other instances may have
// times before the start of this process, which are negative.
const beforeAll = time.Duration(math.MinInt64)

// Tracker collects failure reports by request. One goroutine owns it.
type Tracker struct {
	records map[poison.Fingerprint]*requestRecord
}

// requestRecord holds the failures of one request since its last completed run. Without
// failures it keeps the time of that run, since earlier failures may be reported later.
type requestRecord struct {
	failures    map[uint64]failure // last failure by target
	lastFailure time.Duration
	completedAt time.Duration
}

// failure is the end of a run after which its target was down.
type failure struct {
	at           time.Duration
	afterFailure bool
}

// hold returns how long after its last failure the request is blocked.
func (r *requestRecord) hold() time.Duration {
	if len(r.failures) <= 1 {
		return Retention
	}
	for _, f := range r.failures {
		if f.afterFailure || r.lastFailure-f.at >= simultaneousHold {
			return Retention
		}
	}
	return simultaneousHold
}

// lastEvent returns the time of the last failure or completed run.
func (r *requestRecord) lastEvent() time.Duration { return max(r.lastFailure, r.completedAt) }

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{records: make(map[poison.Fingerprint]*requestRecord)} }

// Add adds a failure report and returns the number of targets with a failure of
// the request since its last completed run. When the tracker is full, the request
// with the oldest last report is dropped.
func (t *Tracker) Add(report FailureReport) int {
	if report.Resource != (poison.Fingerprint{}) {
		t.addTo(report.Resource, report)
	}
	return t.addTo(report.Request, report)
}

func (t *Tracker) addTo(key poison.Fingerprint, report FailureReport) int {
	r := t.records[key]
	if r == nil {
		if len(t.records) >= maxRequests {
			t.dropOldest()
		}
		r = &requestRecord{failures: make(map[uint64]failure), lastFailure: beforeAll, completedAt: beforeAll}
		t.records[key] = r
	}
	if report.Completed {
		r.completedAt = max(r.completedAt, report.At)
	} else {
		if last, known := r.failures[report.Target]; !known || report.At > last.at {
			r.failures[report.Target] = failure{at: report.At, afterFailure: report.AfterFailure}
		}
		r.lastFailure = max(r.lastFailure, report.At)
	}
	for target, f := range r.failures {
		if f.at <= r.completedAt {
			delete(r.failures, target)
		}
	}
	return len(r.failures)
}

// FailedTargets returns the number of targets with a failure of a request, or of others for
// the same resource, since the last completed run.
func (t *Tracker) FailedTargets(request Identity) int {
	return max(t.failedTargets(request.Content), t.failedTargets(request.Resource))
}

func (t *Tracker) failedTargets(key poison.Fingerprint) int {
	if r := t.records[key]; r != nil {
		return len(r.failures)
	}
	return 0
}

// Blames reports whether a target failed under a request, or under others for the same
// resource, since the last completed run.
func (t *Tracker) Blames(request Identity, target uint64) bool {
	for _, key := range []poison.Fingerprint{request.Content, request.Resource} {
		if r := t.records[key]; r != nil {
			if _, failed := r.failures[target]; failed {
				return true
			}
		}
	}
	return false
}

// BlockedFor returns how long a request is still blocked that is held back from limit
// failed targets on, or from one more with those of other requests for the same resource.
// It returns 0 if the request is not blocked.
func (t *Tracker) BlockedFor(now time.Duration, request Identity, limit int) time.Duration {
	return max(t.blockedFor(now, request.Content, limit), t.blockedFor(now, request.Resource, limit+resourceMargin))
}

func (t *Tracker) blockedFor(now time.Duration, key poison.Fingerprint, limit int) time.Duration {
	if r := t.records[key]; r != nil && len(r.failures) >= limit {
		return max(0, r.lastFailure+r.hold()-now)
	}
	return 0
}

// Expire drops the requests whose last report is older than the retention time, and
// returns the number of requests that are still tracked.
func (t *Tracker) Expire(now time.Duration) int {
	for request, r := range t.records {
		if now-r.lastEvent() >= Retention {
			delete(t.records, request)
		}
	}
	return len(t.records)
}

func (t *Tracker) dropOldest() {
	var oldest poison.Fingerprint
	oldestAt := time.Duration(math.MaxInt64)
	for request, r := range t.records {
		if at := r.lastEvent(); at < oldestAt {
			oldest, oldestAt = request, at
		}
	}
	delete(t.records, oldest)
}
