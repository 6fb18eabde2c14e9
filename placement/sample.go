package placement

import (
	"slices"
	"time"

	"github.com/dogwoodroute/dogwoodroute/catalog"
)

const (
	// localSample and farSample are how many targets of the own failure domain,
	// and then of the others, are asked for their load.
	// A choice in the own domain costs no bytes between domains, so more are asked there.
	localSample  = 4
	remoteSample = 3
	// subsetSize is the number of answering targets of the own failure domain, and of
	// the others, among which this instance chooses. It bounds the connections of
	// large services, and leaves enough choice.
	subsetSize = 16
	// cachedSample is how many targets are compared by what is known of them when
	// no probe may be sent.
	cachedSample = 2
	// maxCachedAge is how old a report may be to count then.
	maxCachedAge = time.Second
)

// Sample returns the targets to ask for their load: those of the own failure
// domain, or of the others when far is set. Targets that did not answer lately
// are asked only when no others are left. Fewer are returned when the budget of
// probes is used up.
func (p *Placer) Sample(now time.Duration, r *Request, remote bool) []*catalog.Target {
	n := localSample
	if remote {
		n = remoteSample
	}
	list := p.eligible(now, r, func(t *target) bool { return (t.FailureDomain != p.domain) == remote })
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
	reports := make([]Report, 0, cachedSample)
	for _, t := range list[:min(cachedSample, len(list))] {
		report := t.lastReport
		if report.Target == nil || now-report.At > maxCachedAge {
			report = Report{Target: t.Target, Load: Load{Slots: t.Slots, Slowness: 1}, At: now - maxCachedAge}
		}
		reports = append(reports, report)
	}
	return reports
}

// eligible returns targets of the service that the request may go to, in random
// order: the first ones in this instance's own order, so that they stay the
// same. Those that did not answer lately are left out while there are others.
func (p *Placer) eligible(now time.Duration, r *Request, match func(*target) bool) []*target {
	responsive := make([]*target, 0, subsetSize)
	var suspended []*target
	for _, t := range p.services[r.Service] {
		if len(responsive) == subsetSize {
			break
		}
		switch {
		case !match(t) || slices.Contains(r.Tried, t.Incarnation()):
		case now < t.suspendedUntil:
			suspended = append(suspended, t)
		default:
			responsive = append(responsive, t)
		}
	}
	if len(responsive) == 0 {
		responsive = suspended
	}
	p.random.Shuffle(len(responsive), func(i, j int) { responsive[i], responsive[j] = responsive[j], responsive[i] })
	return responsive
}

// Reported notes a load report that came with an answer.
func (p *Placer) Reported(r Report) {
	if t := p.targets[r.Target.Incarnation()]; t != nil && r.At >= t.lastReport.At {
		t.lastReport = r
	}
}
