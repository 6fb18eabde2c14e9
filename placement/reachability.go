package placement

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/catalog"
)

const (
	// unreachableAfter is the number of exchanges in a row, each with another target if the
	// service has as many, that must find no answer before the service counts as unreachable.
	// Targets that crash at the same time are few, and the next one that is asked answers.
	unreachableAfter = 3
	// cutOffDelay is the time for which no target of any service must answer after one
	// service became unreachable. Requests to the other services answer within it.
	cutOffDelay = 100 * time.Millisecond
	// recheckTargets is the number of targets of an unreachable service that are probed at a
	// time to find out whether it answers again: one of them may be down by itself.
	recheckTargets = 2
)

// reachability is what this instance knows about whether a service answers it: the loss of the
// path to all targets looks like targets that are full or slow otherwise.
type reachability struct {
	// answeredAt is when a target last answered, in whatever way.
	answeredAt time.Duration
	// silent holds the targets that did not answer an exchange that began later, failures
	// is the number of these exchanges.
	silent   map[catalog.Incarnation]bool
	failures int
	// unreachable is set once enough targets are silent, at lostAt, until one answers.
	unreachable bool
	lostAt      time.Duration
}

// Answered records that a target answered an exchange, in whatever way. It reports
// whether its service was unreachable until now, and for how long.
func (p *Placer) Answered(now time.Duration, id catalog.Incarnation) (regained bool, after time.Duration) {
	t := p.target(id)
	if t == nil {
		return false, 0
	}
	p.answeredAt = now
	r := p.reach(t.Service)
	r.answeredAt = now
	if r.unreachable {
		p.endSuspensions(r)
		regained, after = true, now-r.lostAt
	}
	clear(r.silent)
	r.failures, r.unreachable = 0, false
	return regained, after
}

// endSuspensions ends the suspensions of targets that began while this instance reached none:
// they followed from the lost path.
func (p *Placer) endSuspensions(r *reachability) {
	for id := range r.silent {
		if t := p.target(id); t != nil {
			t.suspendedUntil = 0
		}
	}
}

// Silent records that a target did not answer an exchange that began at sentAt, or that no
// connection to it could be made. A target that breaks off its answer is not silent. It
// reports whether its service is unreachable from now on. An exchange that began before another target answered does not count: it may have failed
// together with others, and the path to the service works.
func (p *Placer) Silent(now, sentAt time.Duration, id catalog.Incarnation) (lost bool) {
	t := p.targets[id]
	if t == nil {
		return false
	}
	r := p.reach(t.Service)
	if sentAt < r.answeredAt {
		return false
	}
	r.silent[id] = true
	r.failures++
	if r.unreachable || r.failures < unreachableAfter || p.silentTargets(r) < min(unreachableAfter, len(p.services[t.Service])) {
		return false
	}
	r.unreachable, r.lostAt = true, now
	return true
}

// silentTargets returns the number of registered targets that are silent.
func (p *Placer) silentTargets(r *reachability) int {
	n := 0
	for id := range r.silent {
		if p.targets[id] != nil {
			n++
		}
	}
	return n
}

// Unreachable reports whether no target of the service answers this instance.
func (p *Placer) Unreachable(service string) bool {
	r := p.reachabilities[service]
	return r != nil && r.unreachable && len(p.services[service]) > 0
}

// UnreachableServices returns the services of which no target answers this instance.
func (p *Placer) UnreachableServices() map[string]bool {
	list := make(map[string]bool)
	for service := range p.reachabilities {
		if p.Unreachable(service) {
			list[service] = true
		}
	}
	return list
}

// CutOff reports whether no target of any service answers this instance: one service is
// unreachable, and no target of another has answered since.
func (p *Placer) CutOff(now time.Duration) bool {
	for service, r := range p.reachabilities {
		if p.Unreachable(service) && p.answeredAt <= r.lostAt && now-r.lostAt >= cutOffDelay {
			return true
		}
	}
	return false
}

// RecheckTargets returns targets to probe while a service is unreachable: some of each such
// service, and of each one that has not answered since another became unreachable. It
// returns none if all services answer.
func (p *Placer) RecheckTargets(now time.Duration) []*catalog.Target {
	unreachable := p.UnreachableServices()
	if len(unreachable) == 0 {
		return nil
	}
	var lostAt time.Duration
	for service := range unreachable {
		lostAt = max(lostAt, p.reachabilities[service].lostAt)
	}
	var list []*catalog.Target
	for service := range p.services {
		switch {
		case unreachable[service]:
			list = append(list, p.recheckSample(now, service, recheckTargets)...)
		case p.reach(service).answeredAt <= lostAt:
			list = append(list, p.recheckSample(now, service, unreachableAfter)...)
		}
	}
	return list
}

// recheckSample returns at most n random targets of a service that accept probes now.
func (p *Placer) recheckSample(now time.Duration, service string, n int) []*catalog.Target {
	var list []*catalog.Target
	all := p.services[service]
	for _, i := range p.random.Perm(len(all)) {
		if t := all[i]; len(list) < n && now >= t.pausedUntil {
			list = append(list, t.Target)
		}
	}
	return list[:p.probes.take(now, len(list), 0)]
}

// AnsweredSince reports whether any target has answered since a time.
func (p *Placer) AnsweredSince(at time.Duration) bool { return p.answeredAt > at }

// RandomTargets returns at most n random targets of any service that match and do not ask for
// a pause.
func (p *Placer) RandomTargets(now time.Duration, n int, match func(*catalog.Target) bool) []*catalog.Target {
	var list []*catalog.Target
	for _, t := range p.targets { // maps are iterated in random order
		if len(list) < n && now >= t.pausedUntil && match(t.Target) {
			list = append(list, t.Target)
		}
	}
	return list
}

func (p *Placer) reach(service string) *reachability {
	r := p.reachabilities[service]
	if r == nil {
		r = &reachability{silent: make(map[catalog.Incarnation]bool)}
		p.reachabilities[service] = r
	}
	return r
}

// keepReachabilities removes what is known of services without targets.
func (p *Placer) keepReachabilities() {
	for service := range p.reachabilities {
		if len(p.services[service]) == 0 {
			delete(p.reachabilities, service)
		}
	}
}
