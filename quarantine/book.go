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
	// memory is how long a strike counts, and a request stays blocked after its
	// last one.
	memory = 5 * time.Minute
	// maxRequests bounds the requests that are remembered: a domain that fails
	// gives each request in progress there a strike.
	maxRequests = 4096
)

// Tracker remembers strikes. One goroutine owns it.
type Tracker struct {
	requests map[poison.Fingerprint]*record
}

// record is what is known of one request.
type record struct {
	strikes   map[uint64]time.Duration // last one by target
	last      time.Duration
	completed time.Duration
}

// NewTracker returns an empty book.
func NewTracker() *Tracker { return &Tracker{requests: make(map[poison.Fingerprint]*record)} }

// Add notes a strike and returns the number of targets that count against the
// request now.
func (b *Tracker) Add(s FailureReport) int {
	r := b.requests[s.Request]
	if r == nil {
		if s.Completed {
			return 0
		}
		if len(b.requests) >= maxRequests {
			b.dropOldest()
		}
		r = &record{strikes: make(map[uint64]time.Duration)}
		b.requests[s.Request] = r
	}
	if s.Completed {
		r.completed = max(r.completed, s.At)
	} else {
		r.strikes[s.Target] = max(r.strikes[s.Target], s.At)
		r.last = max(r.last, s.At)
	}
	for target, at := range r.strikes {
		if at <= r.completed {
			delete(r.strikes, target)
		}
	}
	return len(r.strikes)
}

// FailedTargets returns the number of targets that count against a request.
func (b *Tracker) FailedTargets(request poison.Fingerprint) int {
	if r := b.requests[request]; r != nil {
		return len(r.strikes)
	}
	return 0
}

// BlockedFor returns how long a request is still blocked; 0: it is not.
func (b *Tracker) BlockedFor(now time.Duration, request poison.Fingerprint) time.Duration {
	if r := b.requests[request]; r != nil && len(r.strikes) >= crashLimit {
		return max(0, r.last+memory-now)
	}
	return 0
}

// Expire forgets what counts no longer and returns the number of requests that
// are remembered.
func (b *Tracker) Expire(now time.Duration) int {
	for request, r := range b.requests {
		if now-r.last >= memory {
			delete(b.requests, request)
		}
	}
	return len(b.requests)
}

func (b *Tracker) dropOldest() {
	var oldest poison.Fingerprint
	at := time.Duration(-1)
	for request, r := range b.requests {
		if at < 0 || r.last < at {
			oldest, at = request, r.last
		}
	}
	delete(b.requests, oldest)
}
