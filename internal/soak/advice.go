package soak

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// advice is what a target says in a response about the requests that it wants.
type advice struct {
	leaving   bool
	perSecond float64       // 0: no limit
	pause     time.Duration // 0: none
}

// namedLimit is a limit of requests a second that a target named for a time.
type namedLimit struct {
	target    string
	perSecond float64
	from, to  time.Duration
}

const (
	// adviceDelay is the time from a response with a limit or a pause from which the
	// instance that got it must keep to it.
	adviceDelay = 500 * time.Millisecond
	// limitWindow, limitFactor and limitSlack bound the requests to a target that names a
	// limit: limitFactor times what the limit allows in limitWindow, and limitSlack.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// pausedArrivals is the number of requests that may still reach a target in a pause.
	pausedArrivals = 2
)

// route is a way from an instance to a target.
type route struct{ instance, target string }

// arrivalsByRoute returns the arrivals by instance and target, in order of time.
func (e *evidence) arrivalsByRoute() map[route][]*arrival {
	instances, byRoute := e.instances(), make(map[route][]*arrival)
	for _, r := range e.recorder.arrivals {
		key := route{instances[r.id], r.target}
		byRoute[key] = append(byRoute[key], r)
	}
	for _, list := range byRoute {
		slices.SortFunc(list, func(a, b *arrival) int { return cmp.Compare(a.arrivedAt, b.arrivedAt) })
	}
	return byRoute
}

// undisturbedBetween reports whether an instance was neither started nor got a signal
// between two times.
func (e *evidence) undisturbedBetween(instance string, from, to time.Duration) bool {
	return !slices.ContainsFunc(e.disturbances, func(d disturbance) bool {
		return d.instance == instance && d.at >= from && d.at <= to
	})
}

// sendsToLeavingTargets checks that an instance that got a response of a leaving target
// sends it no request that a caller sent later than drainLimit after it.
func (e *evidence) sendsToLeavingTargets() (violations []string) {
	sentAt := make(map[string]time.Duration)
	for _, req := range e.requests {
		sentAt[req.id] = req.sentAt
	}
	for key, list := range e.arrivalsByRoute() {
		first := slices.IndexFunc(list, func(r *arrival) bool { return r.said.leaving && r.answeredAt > 0 })
		if first < 0 {
			continue
		}
		told := list[first].answeredAt
		for _, r := range list {
			if sentAt[r.id] > told+drainLimit && e.undisturbedBetween(key.instance, told, r.arrivedAt) {
				violations = append(violations, fmt.Sprintf("%s by %s at %s, sent %v after it said that it leaves", r.id, key.instance, r.target,
					sentAt[r.id]-told))
			}
		}
	}
	return violations
}

// sendsInPauses checks that an instance that a target asked for a pause sends it no more
// than pausedArrivals requests until its end.
func (e *evidence) sendsInPauses() (violations []string) {
	for key, list := range e.arrivalsByRoute() {
		for _, asked := range list {
			if asked.said.pause == 0 || asked.answeredAt == 0 {
				continue
			}
			from, to := asked.answeredAt+adviceDelay, asked.answeredAt+asked.said.pause
			n := 0
			for _, r := range list {
				if r.arrivedAt > from && r.arrivedAt < to && e.undisturbedBetween(key.instance, asked.answeredAt, r.arrivedAt) {
					n++
				}
			}
			if n > pausedArrivals {
				violations = append(violations, fmt.Sprintf("%d requests by %s at %s in a pause of %v from %v on", n, key.instance, key.target,
					asked.said.pause, asked.answeredAt))
			}
		}
	}
	return violations
}

// sendsOverLimits checks that the instances that have passed on a response with a target's limit
// keep it together. A response that the instance did not wait for, since the hedge of its request
// was faster, says nothing to it.
func (e *evidence) sendsOverLimits() (violations []string) {
	byRoute, signers := e.arrivalsByRoute(), make(map[string]string)
	for _, req := range e.requests {
		signers[req.id] = req.signer
	}
	for _, l := range e.limits {
		var counted []time.Duration
		for key, list := range byRoute {
			told := slices.IndexFunc(list, func(r *arrival) bool {
				return r.said.perSecond > 0 && r.answeredAt >= l.from && signers[r.id] == r.target
			})
			if key.target != l.target || told < 0 {
				continue
			}
			for _, r := range list {
				if r.arrivedAt > list[told].answeredAt+adviceDelay && r.arrivedAt > l.from+recoveryTime && r.arrivedAt < l.to &&
					e.undisturbed(key.instance, r.arrivedAt) {
					counted = append(counted, r.arrivedAt)
				}
			}
		}
		slices.Sort(counted)
		allowed := limitFactor*l.perSecond*limitWindow.Seconds() + limitSlack
		for i, from := range counted {
			if n := countWithin(counted[i:], from, from+limitWindow); float64(n) > allowed {
				violations = append(violations, fmt.Sprintf("%d requests in %v from %v on at %s, limit %.1f a second, allowed %.1f", n, limitWindow,
					from, l.target, l.perSecond, allowed))
				break
			}
		}
	}
	return violations
}
