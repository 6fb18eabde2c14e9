package placement

import (
	"fmt"
	"slices"
	"time"

	"github.com/dogwoodroute/dogwoodroute/catalog"
)

// Explanation tells where a request would be sent now, and why.
type Explanation struct {
	// Requirement is what a target must meet for the first send.
	Requirement string
	// MeanWork is the time that requests of the route take on an idle target, as learned.
	MeanWork time.Duration
	// MaxWait is how long the request would wait for room before it is refused.
	MaxWait time.Duration
	// AdmittedShare is the share of the requests of its route that are admitted in a
	// shortage, 1 without one.
	AdmittedShare float64
	// Candidates are the targets among which this instance chooses, the best ones first.
	Candidates []Candidate
	// Targets is the number of targets of the service that accept new requests.
	Targets int
}

// Candidate is a target with the reason why it would be chosen or not.
type Candidate struct {
	Target *catalog.Target
	// Load is the last load report, or the load that is predicted from older ones if
	// Predicted is true.
	Load      Load
	Predicted bool
	// Age is the age of the last load report, negative if there is none.
	Age time.Duration
	// Expected is the expected time until the response, Cost the value by which targets are
	// compared.
	Expected, Cost time.Duration
	Chosen         bool
	// Reason says why the target is not chosen.
	Reason string
}

// Explain returns how the first send of a request would be placed now by what is known,
// without a probe. It changes nothing that a later choice depends on. A request would ask
// some of the candidates for their load first.
func (p *Placer) Explain(now time.Duration, r *Request) Explanation {
	w := p.workOf(r.Route)
	requirement := p.Requirement(now, r)
	x := Explanation{Requirement: requirement.String(), MeanWork: w.mean, MaxWait: p.MaxWait(r), AdmittedShare: p.admittedShare(now, r),
		Targets: len(p.services[r.Service])}
	above := p.hasPrecedence(now, r)
	left := map[bool]int{false: p.fullSubset(subsetKey{r.Service, false}), true: p.fullSubset(subsetKey{r.Service, true})}
	for _, t := range p.services[r.Service] {
		remote := t.FailureDomain != p.domain
		if left[remote] == 0 {
			continue // outside of the subset
		}
		left[remote]--
		x.Candidates = append(x.Candidates, p.explainTarget(now, r, t, requirement, above))
	}
	slices.SortStableFunc(x.Candidates, func(a, b Candidate) int {
		if usable := func(c Candidate) bool { return c.Reason == "" }; usable(a) != usable(b) {
			if usable(a) {
				return -1
			}
			return 1
		}
		return int(a.Cost - b.Cost)
	})
	for i := range x.Candidates {
		c := &x.Candidates[i]
		switch {
		case c.Reason != "":
		case i == 0:
			c.Chosen = true
		default:
			c.Reason = "costs more than the chosen one"
		}
	}
	return x
}

// explainTarget returns a target as a candidate, with the first reason against it.
func (p *Placer) explainTarget(now time.Duration, r *Request, t *target, requirement Requirement, above bool) Candidate {
	w := p.workOf(r.Route)
	report := t.lastReport
	fresh := report.Target != nil && now-report.At <= maxSharedAge
	c := Candidate{Target: t.Target, Age: -1, Predicted: !fresh}
	if report.Target != nil {
		c.Age = now - report.At
	}
	if !fresh {
		report = p.predict(now, t, w.mean)
	}
	e := p.estimateFor(now, r, report, t, w)
	c.Load, c.Expected, c.Cost = report.Load, e.duration, e.cost(now)
	if c.Reason = p.unwilling(now, r, t); c.Reason == "" && !e.satisfies(now, r, requirement, above) {
		c.Reason = e.unsatisfied(now, r, requirement, above)
	}
	return c
}

// unwilling returns why a target gets no request of this instance whatever its load is, ""
// if it may get one.
func (p *Placer) unwilling(now time.Duration, r *Request, t *target) string {
	switch {
	case !p.mayHandle(r.Route, t):
		return "outside the regions of the route"
	case t.leaving.now:
		return "says that it leaves"
	case now < t.pausedUntil:
		return fmt.Sprintf("asks for a pause of %v more", (t.pausedUntil - now).Round(time.Millisecond))
	case now < t.suspendedUntil:
		return "did not answer"
	case !t.limit.available(now, t.Target, p.share):
		return fmt.Sprintf("limits its requests to %g a second, and this instance has no share left", t.limit.terms.perSecond)
	case t.warmup.cold(now) && t.warmup.current(now) == stateCold:
		return "is cold, and gets requests by shares only"
	case t.warmup.cold(now):
		return "may be cold: asked first"
	default:
		return ""
	}
}

// unsatisfied returns why the target does not meet the requirement.
func (e *estimate) unsatisfied(now time.Duration, r *Request, requirement Requirement, above bool) string {
	switch {
	case now+e.duration > r.Deadline:
		return "expected after the deadline"
	case len(e.target.sendTimes) >= e.slots:
		return "this instance has a request in progress in each of its slots"
	case e.occupied > e.slots:
		return "has no free slot"
	case e.occupied > e.saturation && (!above || requirement != RequireObjective):
		return "is at its saturation point"
	default:
		return "expected after the objective"
	}
}
