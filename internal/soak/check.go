package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// evidence is a ledger after the run, by request.
type evidence struct {
	*recorder
	arrivalsByID map[string][]*arrival // by the id of the request
}

func (l *recorder) evidence() *evidence {
	b := &evidence{recorder: l, arrivalsByID: make(map[string][]*arrival)}
	for _, r := range l.arrivals {
		b.arrivalsByID[r.id] = append(b.arrivalsByID[r.id], r)
	}
	return b
}

// executions returns the arrivals of a request that a target did not reject.
func (b *evidence) executions(id string) []*arrival {
	return slices.DeleteFunc(slices.Clone(b.arrivalsByID[id]), func(r *arrival) bool { return r.rejected })
}

// invariant is a check of what callers and targets saw.
type invariant struct {
	name string
	// timeBound promises state a time, which a machine with other work may miss.
	timeBound bool
	check func(b *evidence) []string
}

// invariants are those of the users' pages that this run can see broken.
var invariants = []invariant{
	{"every success is the target's whole answer to that request", false, (*evidence).wrongResponses},
	{"a target's failure is passed on as it was", false, (*evidence).alteredFailures},
	{"targets get only what callers sent", false, (*evidence).unsentArrivals},
	{"a request that may run once runs once", false, (*evidence).duplicateExecutions},
	{"a refusal says truly that the request has not run", false, (*evidence).falseRefusals},
	{"a request runs at a service of its route", false, (*evidence).misroutedExecutions},
	{"planned work cuts no request", false, (*evidence).abortedRequests},
	{"routes that every configuration has are known", false, (*evidence).unknownRoutes},
	{"repeats stay within the budget", true, (*evidence).retriesOverBudget},
	{"the deadline that is passed on is what is left", true, (*evidence).exceededDeadlines},
	{"targets that leave get no more requests", true, (*evidence).executionsAfterDrain},
	{"a configuration is in force in time", true, (*evidence).outdatedRoutes},
}

func (b *evidence) wrongResponses() (broken []string) {
	for _, s := range b.requests {
		switch {
		case s.status == 0:
		case s.failure != "":
			broken = append(broken, fmt.Sprintf("%s: %s", s.id, s.failure))
		case s.status < 300 && (!s.signed || s.responseBody != responseFor(s.id) || len(b.executions(s.id)) == 0):
			broken = append(broken, fmt.Sprintf("%s by %s: status %d, signed %t, %d bytes, %d runs", s.id, s.instance, s.status,
				s.signed, len(s.responseBody), len(b.executions(s.id))))
		}
	}
	return broken
}

func (b *evidence) alteredFailures() (broken []string) {
	for _, s := range b.requests {
		if s.status >= 300 && s.signed && !slices.ContainsFunc(b.executions(s.id), func(r *arrival) bool { return r.status == s.status }) {
			broken = append(broken, fmt.Sprintf("%s by %s: status %d", s.id, s.instance, s.status))
		}
	}
	return broken
}

func (b *evidence) unsentArrivals() (broken []string) {
	sends := make(map[string]*request, len(b.requests))
	for _, s := range b.requests {
		sends[s.id] = s
	}
	for _, r := range b.recorder.arrivals {
		if s := sends[r.id]; s == nil || s.method != r.method || s.path != r.path || s.body != r.body {
			broken = append(broken, fmt.Sprintf("%s %s %s at %s", r.id, r.method, r.path, r.target))
		}
	}
	return broken
}

func (b *evidence) duplicateExecutions() (broken []string) {
	for _, s := range b.requests {
		if ran := b.executions(s.id); !s.idempotent && len(ran) > 1 {
			broken = append(broken, fmt.Sprintf("%s by %s: %d runs, at %s and %s", s.id, s.instance, len(ran), ran[0].target,
				ran[1].target))
		}
	}
	return broken
}

func (b *evidence) falseRefusals() (broken []string) {
	saysNotRun := []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusServiceUnavailable}
	for _, s := range b.requests {
		if ran := b.executions(s.id); !s.idempotent && slices.Contains(saysNotRun, s.status) && len(ran) > 0 {
			broken = append(broken, fmt.Sprintf("%s by %s: status %d, ran at %s", s.id, s.instance, s.status, ran[0].target))
		}
	}
	return broken
}

func (b *evidence) misroutedExecutions() (broken []string) {
	for _, s := range b.requests {
		for _, r := range b.executions(s.id) {
			if !slices.ContainsFunc(b.configs, func(c storedConfig) bool { return slices.Contains(c.services[s.route], r.service) }) {
				broken = append(broken, fmt.Sprintf("%s of route %s ran at %s of %s", s.id, s.route, r.target, r.service))
			}
		}
	}
	return broken
}

// firstFault returns when the first event began that was not planned work.
func (b *evidence) firstFault() time.Duration {
	first := time.Duration(1<<63 - 1)
	for _, d := range b.faultWindows {
		if !d.planned {
			first = min(first, d.from)
		}
	}
	return first
}

func (b *evidence) abortedRequests() (broken []string) {
	first := b.firstFault()
	for _, s := range b.requests {
		ran := len(b.executions(s.id)) > 0
		if s.endedAt > 0 && s.endedAt < first && ran && (s.status == 0 || s.status == http.StatusBadGateway) {
			broken = append(broken, fmt.Sprintf("%s by %s at %v: status %d, %s", s.id, s.instance, s.sentAt, s.status, s.failure))
		}
	}
	return broken
}

func (b *evidence) unknownRoutes() (broken []string) {
	for _, s := range b.requests {
		if s.status == http.StatusNotFound && s.route != extraRoute {
			broken = append(broken, fmt.Sprintf("%s by %s at %v: 404", s.id, s.instance, s.sentAt))
		}
	}
	return broken
}

// retriesOverBudget counts arrivals beyond the first of each request in each
// sliding window. The requests of the window, of the one before it or of the
// one half a window before it count, whichever are most.
func (b *evidence) retriesOverBudget() (broken []string) {
	repeats, requests := make(map[string][]time.Duration), make(map[string][]time.Duration)
	for _, arrivals := range b.arrivalsByID {
		for _, r := range arrivals[1:] {
			repeats[r.service] = append(repeats[r.service], r.arrivedAt)
		}
	}
	for _, s := range b.requests {
		for _, service := range b.inForce(s.sentAt, s.sentAt)[s.route] {
			requests[service] = append(requests[service], s.sentAt)
		}
	}
	for service, times := range repeats {
		slices.Sort(times)
		slices.Sort(requests[service])
		for i, from := range times {
			n := countWithin(times[i:], from, from+retryWindow)
			most := 0
			for _, earlier := range []time.Duration{0, retryWindow / 2, retryWindow} {
				most = max(most, countWithin(requests[service], from-earlier, from-earlier+retryWindow))
			}
			if float64(n) > retryRatio*float64(most)+retryAllowance {
				return []string{fmt.Sprintf("service %s from %v: %d repeats, %d requests", service, from, n, most)}
			}
		}
	}
	return nil
}

func countWithin(times []time.Duration, from, to time.Duration) (n int) {
	for _, t := range times {
		if t >= from && t < to {
			n++
		}
	}
	return n
}

// deadlineSlack is by how much a deadline that is passed on may exceed what is left.
const deadlineSlack = 500 * time.Millisecond

func (b *evidence) exceededDeadlines() (broken []string) {
	for _, s := range b.requests {
		for _, r := range b.arrivalsByID[s.id] {
			if r.remaining < 0 || r.arrivedAt+r.remaining > s.sentAt+s.timeout+deadlineSlack && b.faultFree(s.sentAt, r.arrivedAt) {
				broken = append(broken, fmt.Sprintf("%s by %s: %v left at %v, sent at %v", s.id, s.instance, r.remaining, r.arrivedAt, s.sentAt))
			}
		}
	}
	return broken
}

// faultFree reports whether no fault was under way in a span or shortly before.
func (b *evidence) faultFree(from, to time.Duration) bool {
	return !slices.ContainsFunc(b.faultWindows, func(d faultWindow) bool {
		return !d.planned && d.from <= to && d.to+recoveryTime >= from
	})
}

func (b *evidence) executionsAfterDrain() (broken []string) {
	for _, d := range b.departures {
		for _, r := range b.recorder.arrivals {
			if r.target == d.target && !r.rejected && r.arrivedAt > d.at+drainLimit && b.faultFree(d.at, r.arrivedAt) {
				broken = append(broken, fmt.Sprintf("%s at %s, %v after it left", r.id, r.target, r.arrivedAt-d.at))
			}
		}
	}
	return broken
}

// inForce returns the services of each route in the configurations that may be
// in force within a span.
func (b *evidence) inForce(from, to time.Duration) map[string][]string {
	services := make(map[string][]string)
	for i, c := range b.configs {
		if c.at > to || i+1 < len(b.configs) && b.configs[i+1].at+configLimit < from {
			continue
		}
		for route, names := range c.services {
			for _, name := range names {
				if !slices.Contains(services[route], name) {
					services[route] = append(services[route], name)
				}
			}
		}
	}
	return services
}

func (b *evidence) outdatedRoutes() (broken []string) {
	for _, s := range b.requests {
		if s.endedAt == 0 || !b.faultFree(s.sentAt, s.endedAt) {
			continue
		}
		for _, r := range b.executions(s.id) {
			if !slices.Contains(b.inForce(s.sentAt, s.endedAt)[s.route], r.service) {
				broken = append(broken, fmt.Sprintf("%s by %s at %v: ran at %s", s.id, s.instance, s.sentAt, r.service))
			}
		}
	}
	return broken
}
