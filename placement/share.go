package placement

import (
	"math"
	"time"

	"github.com/dogwoodroute/dogwoodroute/catalog"
)

// shareInterval is the time between two looks at who the owners are.
const shareInterval = 250 * time.Millisecond

// ShareFunc reports whether this instance is among the n instances that share a limited
// target, and how many there are if the fleet is smaller. All instances agree on them.
type ShareFunc func(t *catalog.Target, n int) (mine bool, of int)

// shareTerms are the terms on which a rate of requests to a target is divided among a few
// instances, its owners; the others send nothing.
type shareTerms struct {
	perSecond float64 // of all owners together
	owners    int
	// bucketTime is the least size of an owner's bucket, in seconds of its rate. The bucket
	// holds one request at least.
	bucketTime float64
	// settle is how long an instance that becomes an owner gets no tokens.
	settle time.Duration
}

// share is this instance's part of a rate: a token bucket. The zero value is empty.
type share struct {
	terms      shareTerms
	mine       bool
	owners     int           // 0 before the first look
	sharedAt   time.Duration // when mine and owners were determined
	fillsFrom  time.Duration // no tokens before
	tokens     float64
	refilledAt time.Duration
}

// has reports whether there is a token for a request now.
func (s *share) has(now time.Duration, t *catalog.Target, owns ShareFunc) bool {
	s.refill(now, t, owns)
	return s.mine && s.tokens >= 1
}

// refill adds the tokens since the last call. An instance that is no owner has none, also
// when it becomes one.
func (s *share) refill(now time.Duration, t *catalog.Target, owns ShareFunc) {
	if s.owners == 0 || now-s.sharedAt >= shareInterval {
		wasOwner := s.mine || s.owners == 0
		s.mine, s.owners = owns(t, s.terms.owners)
		s.sharedAt = now
		if s.mine && !wasOwner && s.terms.settle > 0 {
			s.fillsFrom = now + s.terms.settle
		}
	}
	if !s.mine {
		s.tokens, s.refilledAt = 0, now
		return
	}
	if from := max(s.refilledAt, s.fillsFrom); now > from {
		s.tokens = min(max(1, s.terms.bucketTime*s.rate()), s.tokens+s.rate()*(now-from).Seconds())
	}
	s.refilledAt = now
}

// empty takes all tokens and lets the bucket fill from now on.
func (s *share) empty(now time.Duration) { s.tokens, s.refilledAt = 0, now }

// rate returns the requests a second of one owner.
func (s *share) rate() float64 { return s.terms.perSecond / float64(max(1, s.owners)) }

// take uses the token of a request that is sent.
func (s *share) take() { s.tokens = max(0, s.tokens-1) }

// wait returns the time until there is a token. It is the largest Duration if this
// instance is no owner. It follows a call of has that returned false.
func (s *share) wait() time.Duration {
	if seconds := (1 - s.tokens) / s.rate(); s.mine && seconds < math.MaxInt32 {
		return time.Duration(seconds * float64(time.Second))
	}
	return math.MaxInt64
}
