package quarantine

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/poison"
)

const (
	// crashLimit is the number of targets that a request may take down before it
	// is blocked. A request that is sent up to three times may meet two targets
	// that crash for another reason.
	crashLimit = 3
	// retention is how long a strike counts, and a request stays blocked after its
	// last one.
	retention = 5 * time.Minute
	// maxRequests bounds the requests that are remembered: a domain that fails
	// gives each request in progress there a strike.
	maxRequests = 4096
)

// Tracker remembers strikes. One goroutine owns it.
type Tracker struct {
	records map[poison.Fingerprint]*requestRecord
}

// requestRecord is what is known of one request.
type requestRecord struct {
	failures    map[uint64]time.Duration // last one by target
	lastFailure time.Duration
	completedAt time.Duration
}

// NewTracker returns an empty book.
func NewTracker() *Tracker { return &Tracker{records: make(map[poison.Fingerprint]*requestRecord)} }

// Add notes a strike and returns the number of targets that count against the
// request now.
func (t *Tracker) Add(report FailureReport) int {
	r := t.records[report.Request]
	if r == nil {
		if report.Completed {
			return 0
		}
		if len(t.records) >= maxRequests {
			t.dropOldest()
		}
		r = &requestRecord{failures: make(map[uint64]time.Duration)}
		t.records[report.Request] = r
	}
	if report.Completed {
		r.completedAt = max(r.completedAt, report.At)
	} else {
		r.failures[report.Target] = max(r.failures[report.Target], report.At)
		r.lastFailure = max(r.lastFailure, report.At)
	}
	for target, at := range r.failures {
		if at <= r.completedAt {
			delete(r.failures, target)
		}
	}
	return len(r.failures)
}

// FailedTargets returns the number of targets that count against a request.
func (t *Tracker) FailedTargets(request poison.Fingerprint) int {
	if r := t.records[request]; r != nil {
		return len(r.failures)
	}
	return 0
}

// BlockedFor returns how long a request is still blocked; 0: it is not.
func (t *Tracker) BlockedFor(now time.Duration, request poison.Fingerprint) time.Duration {
	if r := t.records[request]; r != nil && len(r.failures) >= crashLimit {
		return max(0, r.lastFailure+retention-now)
	}
	return 0
}

// Expire forgets what counts no longer and returns the number of requests that
// are remembered.
func (t *Tracker) Expire(now time.Duration) int {
	for request, r := range t.records {
		if now-r.lastFailure >= retention {
			delete(t.records, request)
		}
	}
	return len(t.records)
}

func (t *Tracker) dropOldest() {
	var oldest poison.Fingerprint
	oldestAt := time.Duration(-1)
	for request, r := range t.records {
		if oldestAt < 0 || r.lastFailure < oldestAt {
			oldest, oldestAt = request, r.lastFailure
		}
	}
	delete(t.records, oldest)
}
