package soak

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// evidence is what was recorded during a run, indexed by request for the checks.
type evidence struct {
	*recorder
	arrivalsByID map[string][]*arrival
}

func (rec *recorder) evidence() *evidence {
	e := &evidence{recorder: rec, arrivalsByID: make(map[string][]*arrival)}
	for _, r := range rec.arrivals {
		e.arrivalsByID[r.id] = append(e.arrivalsByID[r.id], r)
	}
	return e
}

// instances returns the instance that each request was sent to, by its identifier.
func (e *evidence) instances() map[string]string {
	instances := make(map[string]string, len(e.requests))
	for _, req := range e.requests {
		instances[req.id] = req.instance
	}
	return instances
}

// executions returns the arrivals of a request that a target did not reject.
func (e *evidence) executions(id string) []*arrival {
	return slices.DeleteFunc(slices.Clone(e.arrivalsByID[id]), func(r *arrival) bool { return r.rejected })
}

// invariant is a property that the records of callers and targets must satisfy.
type invariant struct {
	name string
	// timeBound invariants include a time limit, which a loaded machine may
	// exceed without a fault in the program under test.
	timeBound bool
	// check returns a description of each violation.
	check func(e *evidence) []string
}

// invariants are the documented guarantees that a soak run can check.
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
	{"a request that crashes targets is held back", true, (*evidence).sendsAfterCrashes},
	{"targets that say that they leave get no more requests", true, (*evidence).sendsToLeavingTargets},
	{"targets that ask for a pause get one", true, (*evidence).sendsInPauses},
	{"a target's limit is kept", true, (*evidence).sendsOverLimits},
	{"targets that leave get no more requests", true, (*evidence).executionsAfterDrain},
	{"cold targets get no more requests than they tolerate", true, (*evidence).sendsToColdTargets},
	{"evacuated failure domains get no more requests", true, (*evidence).sendsToEvacuatedDomains},
	{"a configuration is in force in time", true, (*evidence).outdatedRoutes},
}

func (e *evidence) wrongResponses() (violations []string) {
	for _, req := range e.requests {
		switch {
		case req.status == 0:
		case req.failure != "":
			violations = append(violations, fmt.Sprintf("%s: %s", req.id, req.failure))
		case req.status < 300 && (!req.signed || req.responseBody != responseFor(req.id) || len(e.executions(req.id)) == 0):
			violations = append(violations, fmt.Sprintf("%s by %s: status %d, signed %t, %d bytes, %d runs", req.id, req.instance, req.status,
				req.signed, len(req.responseBody), len(e.executions(req.id))))
		}
	}
	return violations
}

func (e *evidence) alteredFailures() (violations []string) {
	for _, req := range e.requests {
		if req.status >= 300 && req.signed && !slices.ContainsFunc(e.executions(req.id), func(r *arrival) bool { return r.status == req.status }) {
			violations = append(violations, fmt.Sprintf("%s by %s: status %d", req.id, req.instance, req.status))
		}
	}
	return violations
}

func (e *evidence) unsentArrivals() (violations []string) {
	requests := make(map[string]*request, len(e.requests))
	for _, req := range e.requests {
		requests[req.id] = req
	}
	for _, r := range e.recorder.arrivals {
		if r.rejected && isHealthPath(r.path) {
			continue // a probe of a target that is gone, which did not run
		}
		if req := requests[r.id]; req == nil || req.method != r.method || req.path != r.path || req.body != r.body {
			violations = append(violations, fmt.Sprintf("%s %s %s at %s", r.id, r.method, r.path, r.target))
		}
	}
	return violations
}

func isHealthPath(path string) bool {
	return path == healthPaths[services[0]] || path == healthPaths[services[1]]
}

func (e *evidence) duplicateExecutions() (violations []string) {
	for _, req := range e.requests {
		if ran := e.executions(req.id); !req.idempotent && len(ran) > 1 {
			violations = append(violations, fmt.Sprintf("%s by %s: %d runs, at %s and %s", req.id, req.instance, len(ran), ran[0].target,
				ran[1].target))
		}
	}
	return violations
}

func (e *evidence) falseRefusals() (violations []string) {
	saysNotRun := []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusServiceUnavailable}
	for _, req := range e.requests {
		if ran := e.executions(req.id); !req.idempotent && slices.Contains(saysNotRun, req.status) && len(ran) > 0 {
			violations = append(violations, fmt.Sprintf("%s by %s: status %d, ran at %s", req.id, req.instance, req.status, ran[0].target))
		}
	}
	return violations
}

func (e *evidence) misroutedExecutions() (violations []string) {
	for _, req := range e.requests {
		for _, r := range e.executions(req.id) {
			if !slices.ContainsFunc(e.configs, func(c storedConfig) bool { return slices.Contains(c.services[req.route], r.service) }) {
				violations = append(violations, fmt.Sprintf("%s of route %s ran at %s of %s", req.id, req.route, r.target, r.service))
			}
		}
	}
	return violations
}

// firstFault returns the start of the first event that was not planned work,
// or the maximum duration if there was none.
func (e *evidence) firstFault() time.Duration {
	first := time.Duration(1<<63 - 1)
	for _, d := range e.faultWindows {
		if !d.planned {
			first = min(first, d.from)
		}
	}
	return first
}

func (e *evidence) abortedRequests() (violations []string) {
	first := e.firstFault()
	for _, req := range e.requests {
		ran := len(e.executions(req.id)) > 0
		if req.endedAt > 0 && req.endedAt < first && ran && (req.status == 0 || req.status == http.StatusBadGateway) {
			violations = append(violations, fmt.Sprintf("%s by %s at %v: status %d, %s", req.id, req.instance, req.sentAt, req.status, req.failure))
		}
	}
	return violations
}

func (e *evidence) unknownRoutes() (violations []string) {
	for _, req := range e.requests {
		if req.status == http.StatusNotFound && req.route != extraRoute {
			violations = append(violations, fmt.Sprintf("%s by %s at %v: 404", req.id, req.instance, req.sentAt))
		}
	}
	return violations
}

// retriesOverBudget checks that, for each service and in each sliding window,
// the arrivals beyond the first of each request stay within the retry budget.
// The budget is computed from the highest number of requests in the window
// itself, the window before it, and the window that begins half a window earlier.
func (e *evidence) retriesOverBudget() (violations []string) {
	retries, requests := make(map[string][]time.Duration), make(map[string][]time.Duration)
	for _, arrivals := range e.arrivalsByID {
		for _, r := range arrivals[1:] {
			retries[r.service] = append(retries[r.service], r.arrivedAt)
		}
	}
	for _, req := range e.requests {
		for _, service := range e.inForce(req.sentAt, req.sentAt)[req.route] {
			requests[service] = append(requests[service], req.sentAt)
		}
	}
	for service, times := range retries {
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

// deadlineSlack is the allowed excess of a forwarded deadline over the time that
// the request has left.
const deadlineSlack = 500 * time.Millisecond

func (e *evidence) exceededDeadlines() (violations []string) {
	for _, req := range e.requests {
		for _, r := range e.arrivalsByID[req.id] {
			if r.remaining < 0 || r.arrivedAt+r.remaining > req.sentAt+req.timeout+deadlineSlack && e.faultFree(req.sentAt, r.arrivedAt) {
				violations = append(violations, fmt.Sprintf("%s by %s: %v left at %v, sent at %v", req.id, req.instance, r.remaining, r.arrivedAt, req.sentAt))
			}
		}
	}
	return violations
}

// faultFree reports whether no fault was active between from and to or within
// recoveryTime before from. Planned work is not a fault; a stall of the machine is.
func (e *evidence) faultFree(from, to time.Duration) bool {
	active := func(d faultWindow) bool { return !d.planned && d.from <= to && d.to+recoveryTime >= from }
	return !slices.ContainsFunc(e.faultWindows, active) && !slices.ContainsFunc(e.stalls, active)
}

func (e *evidence) executionsAfterDrain() (violations []string) {
	for _, d := range e.departures {
		for _, r := range e.recorder.arrivals {
			if r.target == d.target && !r.rejected && r.arrivedAt > d.at+drainLimit && e.faultFree(d.at, r.arrivedAt) {
				violations = append(violations, fmt.Sprintf("%s at %s, %v after it left", r.id, r.target, r.arrivedAt-d.at))
			}
		}
	}
	return violations
}

const (
	// crashesAllowed is the number of targets that a request may crash before it counts
	// as one that crashes targets, and sendsAllowed the number of further sends from
	// recoveryTime after the last of these.
	crashesAllowed = 3
	sendsAllowed   = 3
)

// sendsAfterCrashes checks that requests that crash targets get to no more of them than
// allowed. Sends by instances that were disturbed within recoveryTime do not count.
func (e *evidence) sendsAfterCrashes() (violations []string) {
	arrivals, instances := make(map[string][]*arrival), e.instances()
	for _, r := range e.recorder.arrivals {
		if isCrashing(r.body) && !r.rejected {
			arrivals[r.body] = append(arrivals[r.body], r)
		}
	}
	for body, list := range arrivals {
		if len(list) <= crashesAllowed {
			continue
		}
		slices.SortFunc(list, func(a, b *arrival) int { return cmp.Compare(a.arrivedAt, b.arrivedAt) })
		blockedFrom := list[crashesAllowed-1].arrivedAt + recoveryTime
		sends := 0
		for _, r := range list[crashesAllowed:] {
			if r.arrivedAt > blockedFrom && e.undisturbed(instances[r.id], r.arrivedAt) {
				sends++
			}
		}
		if sends > sendsAllowed {
			violations = append(violations, fmt.Sprintf("%q: %d sends after %v, %d targets crashed", body, sends, blockedFrom, len(list)))
		}
	}
	return violations
}

// undisturbed reports whether an instance was neither started nor got a signal within
// recoveryTime before a time.
func (e *evidence) undisturbed(instance string, at time.Duration) bool {
	return !slices.ContainsFunc(e.disturbances, func(d disturbance) bool {
		return d.instance == instance && d.at <= at && d.at+recoveryTime >= at
	})
}

// inForce returns, for each route, the services of all configurations that may be
// in force at some time between from and to.
func (e *evidence) inForce(from, to time.Duration) map[string][]string {
	services := make(map[string][]string)
	for i, c := range e.configs {
		if c.at > to || i+1 < len(e.configs) && e.configs[i+1].at+configLimit < from {
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

func (e *evidence) outdatedRoutes() (violations []string) {
	for _, req := range e.requests {
		if req.endedAt == 0 || !e.faultFree(req.sentAt, req.endedAt) {
			continue
		}
		for _, r := range e.executions(req.id) {
			if !slices.Contains(e.inForce(req.sentAt, req.endedAt)[req.route], r.service) {
				violations = append(violations, fmt.Sprintf("%s by %s at %v: ran at %s", req.id, req.instance, req.sentAt, r.service))
			}
		}
	}
	return violations
}
