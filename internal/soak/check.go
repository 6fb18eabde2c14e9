package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// book is a ledger after the run, by request.
type book struct {
	*ledger
	runs map[string][]*run // by the id of the request
}

func (l *ledger) book() *book {
	b := &book{ledger: l, runs: make(map[string][]*run)}
	for _, r := range l.runs {
		b.runs[r.id] = append(b.runs[r.id], r)
	}
	return b
}

// ran returns the arrivals of a request that a target did not reject.
func (b *book) ran(id string) []*run {
	return slices.DeleteFunc(slices.Clone(b.runs[id]), func(r *run) bool { return r.rejected })
}

// promise is a check of what callers and targets saw.
type promise struct {
	name string
	// timed promises state a time, which a machine with other work may miss.
	timed bool
	check func(b *book) []string
}

// promises are those of the users' pages that this run can see broken.
var promises = []promise{
	{"every success is the target's whole answer to that request", false, (*book).foreignAnswers},
	{"a target's failure is passed on as it was", false, (*book).changedFailures},
	{"targets get only what callers sent", false, (*book).unaskedRuns},
	{"a request that may run once runs once", false, (*book).repeatedRuns},
	{"a refusal says truly that the request has not run", false, (*book).falseRefusals},
	{"a request runs at a service of its route", false, (*book).strayRuns},
	{"planned work cuts no request", false, (*book).cutRequests},
	{"routes that every configuration has are known", false, (*book).unknownRoutes},
	{"repeats stay within the budget", true, (*book).repeatsOverBudget},
	{"the deadline that is passed on is what is left", true, (*book).lateDeadlines},
	{"targets that leave get no more requests", true, (*book).runsAfterDrain},
	{"a configuration is in force in time", true, (*book).oldRoutes},
}

func (b *book) foreignAnswers() (broken []string) {
	for _, s := range b.sends {
		switch {
		case s.status == 0:
		case s.err != "":
			broken = append(broken, fmt.Sprintf("%s: %s", s.id, s.err))
		case s.status < 300 && (!s.signed || s.answer != answerOf(s.id) || len(b.ran(s.id)) == 0):
			broken = append(broken, fmt.Sprintf("%s by %s: status %d, signed %t, %d bytes, %d runs", s.id, s.instance, s.status,
				s.signed, len(s.answer), len(b.ran(s.id))))
		}
	}
	return broken
}

func (b *book) changedFailures() (broken []string) {
	for _, s := range b.sends {
		if s.status >= 300 && s.signed && !slices.ContainsFunc(b.ran(s.id), func(r *run) bool { return r.status == s.status }) {
			broken = append(broken, fmt.Sprintf("%s by %s: status %d", s.id, s.instance, s.status))
		}
	}
	return broken
}

func (b *book) unaskedRuns() (broken []string) {
	sends := make(map[string]*send, len(b.sends))
	for _, s := range b.sends {
		sends[s.id] = s
	}
	for _, r := range b.ledger.runs {
		if s := sends[r.id]; s == nil || s.method != r.method || s.path != r.path || s.body != r.body {
			broken = append(broken, fmt.Sprintf("%s %s %s at %s", r.id, r.method, r.path, r.target))
		}
	}
	return broken
}

func (b *book) repeatedRuns() (broken []string) {
	for _, s := range b.sends {
		if ran := b.ran(s.id); !s.idempotent && len(ran) > 1 {
			broken = append(broken, fmt.Sprintf("%s by %s: %d runs, at %s and %s", s.id, s.instance, len(ran), ran[0].target,
				ran[1].target))
		}
	}
	return broken
}

func (b *book) falseRefusals() (broken []string) {
	saysNotRun := []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusServiceUnavailable}
	for _, s := range b.sends {
		if ran := b.ran(s.id); !s.idempotent && slices.Contains(saysNotRun, s.status) && len(ran) > 0 {
			broken = append(broken, fmt.Sprintf("%s by %s: status %d, ran at %s", s.id, s.instance, s.status, ran[0].target))
		}
	}
	return broken
}

func (b *book) strayRuns() (broken []string) {
	for _, s := range b.sends {
		for _, r := range b.ran(s.id) {
			if !slices.ContainsFunc(b.configs, func(c configured) bool { return slices.Contains(c.services[s.route], r.service) }) {
				broken = append(broken, fmt.Sprintf("%s of route %s ran at %s of %s", s.id, s.route, r.target, r.service))
			}
		}
	}
	return broken
}

// firstFault returns when the first event began that was not planned work.
func (b *book) firstFault() time.Duration {
	first := time.Duration(1<<63 - 1)
	for _, d := range b.disturbances {
		if !d.planned {
			first = min(first, d.from)
		}
	}
	return first
}

func (b *book) cutRequests() (broken []string) {
	first := b.firstFault()
	for _, s := range b.sends {
		ran := len(b.ran(s.id)) > 0
		if s.ended > 0 && s.ended < first && ran && (s.status == 0 || s.status == http.StatusBadGateway) {
			broken = append(broken, fmt.Sprintf("%s by %s at %v: status %d, %s", s.id, s.instance, s.sent, s.status, s.err))
		}
	}
	return broken
}

func (b *book) unknownRoutes() (broken []string) {
	for _, s := range b.sends {
		if s.status == http.StatusNotFound && s.route != extraRoute {
			broken = append(broken, fmt.Sprintf("%s by %s at %v: 404", s.id, s.instance, s.sent))
		}
	}
	return broken
}

// repeatsOverBudget counts arrivals beyond the first of each request in each
// sliding window. The requests of the window, of the one before it or of the
// one half a window before it count, whichever are most.
func (b *book) repeatsOverBudget() (broken []string) {
	repeats, requests := make(map[string][]time.Duration), make(map[string][]time.Duration)
	for _, arrivals := range b.runs {
		for _, r := range arrivals[1:] {
			repeats[r.service] = append(repeats[r.service], r.at)
		}
	}
	for _, s := range b.sends {
		for _, service := range b.inForce(s.sent, s.sent)[s.route] {
			requests[service] = append(requests[service], s.sent)
		}
	}
	for service, times := range repeats {
		slices.Sort(times)
		slices.Sort(requests[service])
		for i, from := range times {
			n := within(times[i:], from, from+retryWindow)
			most := 0
			for _, earlier := range []time.Duration{0, retryWindow / 2, retryWindow} {
				most = max(most, within(requests[service], from-earlier, from-earlier+retryWindow))
			}
			if float64(n) > retryRatio*float64(most)+retryAllowance {
				return []string{fmt.Sprintf("service %s from %v: %d repeats, %d requests", service, from, n, most)}
			}
		}
	}
	return nil
}

func within(times []time.Duration, from, to time.Duration) (n int) {
	for _, t := range times {
		if t >= from && t < to {
			n++
		}
	}
	return n
}

// deadlineSlack is by how much a deadline that is passed on may exceed what is left.
const deadlineSlack = 500 * time.Millisecond

func (b *book) lateDeadlines() (broken []string) {
	for _, s := range b.sends {
		for _, r := range b.runs[s.id] {
			if r.left < 0 || r.at+r.left > s.sent+s.patience+deadlineSlack && b.calm(s.sent, r.at) {
				broken = append(broken, fmt.Sprintf("%s by %s: %v left at %v, sent at %v", s.id, s.instance, r.left, r.at, s.sent))
			}
		}
	}
	return broken
}

// calm reports whether no fault was under way in a span or shortly before.
func (b *book) calm(from, to time.Duration) bool {
	return !slices.ContainsFunc(b.disturbances, func(d disturbance) bool {
		return !d.planned && d.from <= to && d.to+calmAfter >= from
	})
}

func (b *book) runsAfterDrain() (broken []string) {
	for _, d := range b.departures {
		for _, r := range b.ledger.runs {
			if r.target == d.target && !r.rejected && r.at > d.at+drainLimit && b.calm(d.at, r.at) {
				broken = append(broken, fmt.Sprintf("%s at %s, %v after it left", r.id, r.target, r.at-d.at))
			}
		}
	}
	return broken
}

// inForce returns the services of each route in the configurations that may be
// in force within a span.
func (b *book) inForce(from, to time.Duration) map[string][]string {
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

func (b *book) oldRoutes() (broken []string) {
	for _, s := range b.sends {
		if s.ended == 0 || !b.calm(s.sent, s.ended) {
			continue
		}
		for _, r := range b.ran(s.id) {
			if !slices.Contains(b.inForce(s.sent, s.ended)[s.route], r.service) {
				broken = append(broken, fmt.Sprintf("%s by %s at %v: ran at %s", s.id, s.instance, s.sent, r.service))
			}
		}
	}
	return broken
}
