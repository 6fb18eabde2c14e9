package placement

import (
	"math"
	"math/rand/v2"
	"time"
)

// adviceRecheck is the time after which a target that wants no request of this instance is
// probed again, since that may have changed.
const adviceRecheck = time.Second

// maxAdvisedPause bounds the pause for which a target asks, so that one that names a wrong
// figure gets requests again.
const maxAdvisedPause = time.Hour

// Advice is what a target says in a response about the requests that it wants.
type Advice struct {
	// Leaving is true when the target will stop soon and wants no new requests.
	Leaving bool
	// PerSecond is the number of requests a second that the target takes from all
	// instances together; it is meaningful only if Limited is true.
	PerSecond float64
	Limited   bool
	// RetryAfter is how long the target wants no requests from this instance. 0: it does
	// not say so.
	RetryAfter time.Duration
}

// Exchange is the exchange whose response contains the advice.
type Exchange struct {
	SentAt time.Duration
	// Probe is true for a probe. Some targets give advice in responses to other requests
	// only.
	Probe bool
}

// said is whether a target gives one kind of advice now.
type said struct {
	now bool
	// since is when it began to do so, inProbes whether it has done so in a response to a
	// probe.
	since    time.Duration
	inProbes bool
}

// update updates s with a response that contains the advice or not. One that does not
// ends the advice only if it would contain it otherwise: it must not be older than the
// first one that did.
func (s *said) update(now time.Duration, contains bool, e Exchange) {
	switch {
	case contains && !s.now:
		*s = said{now: true, since: now, inProbes: e.Probe}
	case contains:
		s.inProbes = s.inProbes || e.Probe
	case e.SentAt > s.since && (!e.Probe || s.inProbes):
		s.now = false
	}
}

// advised records what the target says in the response of an exchange.
func (t *target) advised(now time.Duration, a Advice, e Exchange, random *rand.Rand) {
	t.advisedAt = now
	t.leaving.update(now, a.Leaving, e)
	t.pausedUntil = max(t.pausedUntil, now+min(a.RetryAfter, maxAdvisedPause))
	t.limit.advised(now, a, e, random)
}

// available reports whether the target wants a request of this instance now.
func (t *target) available(now time.Duration, p *Placer) bool {
	return !t.leaving.now && now >= t.pausedUntil && t.limit.available(now, t.Target, p.share) &&
		t.warmup.available(now, t.Target, p.share, p.settled(now))
}

// unavailableFor returns the time until the target wants a request, as far as is known,
// otherwise the largest Duration. It follows a call of available that returned false.
func (t *target) unavailableFor(now time.Duration, p *Placer) time.Duration {
	switch {
	case t.leaving.now:
		return math.MaxInt64
	case now < t.pausedUntil:
		return t.pausedUntil - now
	case !t.limit.available(now, t.Target, p.share):
		return t.limit.wait()
	default:
		return t.warmup.wait(now)
	}
}

// recheckDue reports whether the target is to be probed although it wants no request,
// and counts that as done. While it asked for a pause it gets no probes either.
func (t *target) recheckDue(now time.Duration) bool {
	if now < t.pausedUntil || now-t.advisedAt < adviceRecheck {
		return false
	}
	t.advisedAt = now
	return true
}
