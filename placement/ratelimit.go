package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/dogwoodroute/dogwoodroute/catalog"
)

// A target may name the requests a second that it takes from all instances together.
// The limit is divided among a few instances, its owners; the others send nothing.
// Each owner has a token bucket of one request, or of bucketTime if its share is larger.
// So in a time t the target gets at most limit*t requests, and bucketTime's worth or one for
// each owner. Were all instances owners, the buckets alone would exceed a low limit.
const (
	// baseOwners and ownersPerRate determine the number of owners of a limit: baseOwners,
	// and ownersPerRate for each request a second. Together they exceed the limit by
	// baseOwners requests and ownersPerRate seconds' worth at most.
	baseOwners    = 3
	ownersPerRate = 2.0
	// bucketTime is the size of a bucket in seconds of the owner's share. Requests do not
	// come evenly, and with less a share would hardly be used.
	bucketTime = 1.0
	// minLimitRetention and maxLimitRetention bound the time without a response after which
	// a limit is forgotten, if the target does not name it in responses to probes. The time
	// is random, so that the instances do not try the target all at once.
	minLimitRetention = 30 * time.Second
	maxLimitRetention = 90 * time.Second
)

// ownersOf returns the number of owners for a rate in requests a second.
func ownersOf(perSecond float64) int {
	return baseOwners + int(min(ownersPerRate*perSecond, math.MaxInt32))
}

// rateLimit is this instance's share of the requests a second that a target takes. The
// zero value is no limit.
type rateLimit struct {
	share
	named said
	// forgetAt is when a limit ends that is not named again before.
	forgetAt time.Duration
}

// advised updates the limit with a response of the target.
func (l *rateLimit) advised(now time.Duration, a Advice, e Exchange, random *rand.Rand) {
	if l.owners == 0 {
		l.tokens = random.Float64() // the owners learn of the limit at about the same time
	}
	if !l.named.now {
		l.refilledAt = now
	}
	l.named.update(now, a.Limited, e)
	if a.Limited {
		l.terms = shareTerms{perSecond: a.PerSecond, owners: ownersOf(a.PerSecond), bucketTime: bucketTime}
		l.forgetAt = now + minLimitRetention + time.Duration(random.Int64N(int64(maxLimitRetention-minLimitRetention)))
	}
}

// available reports whether the limit allows a request now.
func (l *rateLimit) available(now time.Duration, t *catalog.Target, owns ShareFunc) bool {
	return !l.named.now || now >= l.forgetAt || l.has(now, t, owns)
}

// take uses the token of a request that is sent.
func (l *rateLimit) take() {
	if l.named.now {
		l.share.take()
	}
}
