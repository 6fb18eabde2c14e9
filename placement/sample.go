package placement

import (
	"slices"
	"time"

	"github.com/dogwoodroute/dogwoodroute/catalog"
)

const (
	// nearSample and farSample are how many targets of the own failure domain,
	// and then of the others, are asked for their load.
	// A choice in the own domain costs no bytes between domains, so more are asked there.
	nearSample = 4
	farSample  = 3
	// subset is the number of answering targets of the own failure domain, and of
	// the others, among which this instance chooses. It bounds the connections of
	// large services, and leaves enough choice.
	subset = 16
	// blindSample is how many targets are compared by what is known of them when
	// no probe may be sent.
	blindSample = 2
	// blindAge is how old a report may be to count then.
	blindAge = time.Second
)

// Sample returns the targets to ask for their load: those of the own failure
// domain, or of the others when far is set. Targets that did not answer lately
// are asked only when no others are left. Fewer are returned when the budget of
// probes is used up.
func (p *Placer) Sample(now time.Duration, r *Request, far bool) []*catalog.Target {
	n := nearSample
	if far {
		n = farSample
	}
	list := p.eligible(now, r, func(t *target) bool { return (t.FailureDomain != p.domain) == far })
	n = p.probes.take(now, min(n, len(list)))
	sample := make([]*catalog.Target, 0, n)
	for _, t := range list[:n] {
		sample = append(sample, t.Target)
	}
	return sample
}

// CachedReports returns what is known of a few targets, for a choice without probes.
func (p *Placer) CachedReports(now time.Duration, r *Request) []Report {
	list := p.eligible(now, r, func(*target) bool { return true })
	reports := make([]Report, 0, blindSample)
	for _, t := range list[:min(blindSample, len(list))] {
		report := t.last
		if report.Target == nil || now-report.At > blindAge {
			report = Report{Target: t.Target, Load: Load{Slots: t.Slots, Slowness: 1}, At: now - blindAge}
		}
		reports = append(reports, report)
	}
	return reports
}

// eligible returns targets of the service that the request may go to, in random
// order: the first ones in this instance's own order, so that they stay the
// same. Those that did not answer lately are left out while there are others.
func (p *Placer) eligible(now time.Duration, r *Request, wanted func(*target) bool) []*target {
	good := make([]*target, 0, subset)
	var doubtful []*target
	for _, t := range p.services[r.Service] {
		if len(good) == subset {
			break
		}
		switch {
		case !wanted(t) || slices.Contains(r.Tried, t.Incarnation()):
		case now < t.suspended:
			doubtful = append(doubtful, t)
		default:
			good = append(good, t)
		}
	}
	if len(good) == 0 {
		good = doubtful
	}
	p.random.Shuffle(len(good), func(i, j int) { good[i], good[j] = good[j], good[i] })
	return good
}

// Reported notes a load report that came with an answer.
func (p *Placer) Reported(r Report) {
	if t := p.targets[r.Target.Incarnation()]; t != nil && r.At >= t.last.At {
		t.last = r
	}
}
