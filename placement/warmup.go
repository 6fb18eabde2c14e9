package placement

import (
	"math"
	"time"

	"github.com/dogwoodroute/dogwoodroute/catalog"
)

const (
	// warmValidity is the age up to which an answer counts that says that a target is warm.
	// A target becomes cold at any moment; requests are sent on answers of a few
	// milliseconds, or on predictions from answers of the last second.
	warmValidity = time.Second
	// coldValidity bounds the age of an answer that says that a target is cold, so that one
	// that names a wrong time is asked again.
	coldValidity = 5 * time.Second
	// settleTime is how long a new owner of a cold target waits, so that the previous one
	// has learned of the change.
	settleTime = time.Second
	// boundPerView is the part of the bound that the owners of one view of the membership
	// use. While views differ two sets of owners send.
	boundPerView = 0.5
	// ownedInterval is the time between two looks at which targets this instance owns, and
	// ownedRecheck the time after which it probes those outside of its subset again: new
	// entries and entries that came back are probed at once, and each probe of a target that
	// is rarely used may cost a connection.
	ownedInterval = 2 * time.Second
	ownedRecheck  = 10 * time.Second
	// coldSlowdown is the time that work takes on a cold target, as a multiple of the time
	// when it is warm.
	coldSlowdown = 2.0
)

// WarmupBounds bound the requests that a target may get in any second while it is cold,
// from all instances together: Overage times the rate that its service tolerates, plus
// Allowance.
type WarmupBounds struct{ Overage, Allowance float64 }

// terms returns how the requests of a cold target are divided if its service tolerates
// perSecond. The buckets hold one request, and rate and buckets of all owners together stay
// inside boundPerView.
func (b WarmupBounds) terms(perSecond float64) shareTerms {
	usable := boundPerView * (max(1, b.Overage)*perSecond + b.Allowance)
	owners := max(1, min(ownersOf(perSecond), int(usable/2)))
	rate := min(perSecond, max(usable-float64(owners), usable/2))
	return shareTerms{perSecond: rate, owners: owners, settle: settleTime}
}

// warmupState is what the last answer to a probe says of a target.
type warmupState int

const (
	stateUnknown warmupState = iota // no answer since the target may have become cold
	stateCold
	stateWarm
)

// warmup is the warm-up of a target as this instance knows it, and its share of the requests
// that the target gets meanwhile.
type warmup struct {
	share // terms.perSecond is 0 if the service sets no limit
	state warmupState
	// until is when the answer ceases to count, and mayBeColdSince when the target may last have
	// become cold without telling.
	until, mayBeColdSince time.Duration
	// owned is whether this instance is an owner, as of ownedAt, which is 0 before the first
	// look. It is kept also while the target is warm.
	owned   bool
	ownedAt time.Duration
}

// limited reports whether the service limits the requests of cold targets.
func (w *warmup) limited() bool { return w.terms.perSecond > 0 }

// current returns what is known of the target now.
func (w *warmup) current(now time.Duration) warmupState {
	if now >= w.until {
		return stateUnknown
	}
	return w.state
}

// answered records an answer to a probe that was sent at the time sent: how much longer the
// target is cold, 0 if it is warm. It reports whether the target changed between warm and
// cold; the first answer that says that it is warm is no change.
func (w *warmup) answered(now, sent, left time.Duration) (changed bool) {
	before := w.state
	switch {
	case left > 0: // ends answers to probes that were sent earlier and arrive later
		w.state, w.until, w.mayBeColdSince = stateCold, now+min(left, coldValidity), max(w.mayBeColdSince, sent)
	case sent < w.mayBeColdSince:
		return false
	default:
		w.state, w.until = stateWarm, sent+warmValidity
	}
	return w.limited() && w.state != before && (w.state == stateCold || before == stateCold)
}

// mayHaveBecomeCold ends the validity of the answers so far.
func (w *warmup) mayHaveBecomeCold(now time.Duration) { w.until, w.mayBeColdSince = 0, now }

// cold reports whether a request now is sent to a target that is cold or may be.
func (w *warmup) cold(now time.Duration) bool { return w.limited() && w.current(now) != stateWarm }

// available reports whether the target may get a request of this instance. settled is false
// while this instance may not know the others.
func (w *warmup) available(now time.Duration, t *catalog.Target, owns ShareFunc, settled bool) bool {
	if !w.cold(now) {
		return true
	}
	if !settled {
		w.empty(now)
		return false
	}
	if w.owners == 0 {
		w.empty(now)
	}
	return w.has(now, t, owns)
}

// wait returns the time until the target may get a request. It follows a call of available
// that returned false.
func (w *warmup) wait(now time.Duration) time.Duration {
	if w.current(now) == stateUnknown {
		return 0 // the answer to a probe may say that it is warm
	}
	return min(w.share.wait(), w.until-now)
}

// awaitsWarmupAnswer reports whether the target wants requests of this instance, and only the answer to
// a probe is missing that says that it is warm.
func (t *target) awaitsWarmupAnswer(now time.Duration, p *Placer) bool {
	return t.warmup.limited() && t.warmup.current(now) == stateUnknown && !t.leaving.now && now >= t.pausedUntil &&
		t.limit.available(now, t.Target, p.share)
}

// ownedTargets are the targets of a service whose requests this instance shares while they
// are cold, as of at.
type ownedTargets struct {
	list []*target
	at   time.Duration
}

// SetWarmup sets the bounds for cold targets and the services. Before the call no service
// limits the requests of cold targets.
func (p *Placer) SetWarmup(bounds WarmupBounds, services map[string]catalog.Service) {
	p.warmupTerms = make(map[string]shareTerms)
	for name, s := range services {
		// Without a path for probes no target could ever say that it is warm.
		if s.WarmupRate > 0 && !math.IsInf(s.WarmupRate, 1) && s.HealthPath != "" {
			p.warmupTerms[name] = bounds.terms(s.WarmupRate)
		}
	}
	for name, list := range p.services {
		for _, t := range list {
			t.warmup.terms = p.warmupTerms[name]
		}
	}
	clear(p.owned)
}

// SetSettled sets the function that reports whether this instance knows the others so well
// that it may use its shares of cold targets. Before the call it does.
func (p *Placer) SetSettled(settled func(now time.Duration) bool) { p.settled = settled }

// WarmupAnswered records an answer to a probe that was sent at the time sent: how much longer
// the target is cold, 0 if it is warm. It reports whether the target became cold or warm.
func (p *Placer) WarmupAnswered(now, sent time.Duration, id catalog.Incarnation, left time.Duration) (changed bool) {
	t := p.target(id)
	return t != nil && t.warmup.answered(now, sent, left)
}

// coldCandidate returns one of the targets that this instance is to warm up, or nil: it
// owns the target, has a token or does not know whether the target is cold, and match
// returns true.
func (p *Placer) coldCandidate(now time.Duration, service string, match func(*target) bool) *target {
	if p.warmupTerms[service].perSecond == 0 {
		return nil
	}
	o := p.owned[service]
	if o == nil || now-o.at >= ownedInterval {
		o = &ownedTargets{at: now}
		for _, t := range p.services[service] {
			if w := &t.warmup; w.ownedAt == 0 || now-w.ownedAt >= ownedInterval {
				w.owned, _ = p.share(t.Target, w.terms.owners)
				w.ownedAt = now
			}
			if t.warmup.owned {
				o.list = append(o.list, t)
			}
		}
		p.owned[service] = o
	}
	begin := 0
	if len(o.list) > 0 {
		begin = p.random.IntN(len(o.list))
	}
	for i := range o.list {
		t := o.list[(begin+i)%len(o.list)]
		if now < t.suspendedUntil || !match(t) {
			continue
		}
		recheck := t.awaitsWarmupAnswer(now, p) && (t.warmup.until == 0 || now-t.warmup.until >= ownedRecheck)
		if recheck || t.warmup.current(now) == stateCold && t.available(now, p) {
			return t
		}
	}
	return nil
}
