package placement

import (
	"slices"
	"time"

	"github.com/dogwoodroute/dogwoodroute/catalog"
)

const (
	// localSample and remoteSample are the numbers of targets probed in the
	// instance's own failure domain and, after that, in the others. More are probed
	// locally, since a local choice causes no traffic between failure domains.
	localSample  = 4
	remoteSample = 3
	// subsetSize is the number of responsive targets of a service among which this
	// instance chooses, for local and for remote targets each. It bounds the
	// connections to large services and still leaves enough choice.
	subsetSize = 16
	// cachedSample is the number of targets compared by their cached reports when
	// no probe may be sent.
	cachedSample = 2
	// maxCachedAge is the age up to which a cached report is used.
	maxCachedAge = time.Second
)

// Sample returns random targets to probe for a request, from the instance's own
// failure domain or, when remote is set, from the others. Suspended targets are
// included only when there are no others. It returns fewer targets, or none, when
// the probe budget is used up.
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

// CachedReports returns the latest reports of a few random targets, for a choice
// without probes. A target without a recent report counts as idle.
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

// eligible returns, in random order, targets of the service that match and that
// the request was not sent to yet. They are the first ones in this instance's own
// order of targets, so that the subset stays stable. Suspended targets are
// returned only when there are no others.
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

// Reported caches a load report that came with a target's response, unless a later
// one is known.
func (p *Placer) Reported(r Report) {
	if t := p.targets[r.Target.Incarnation()]; t != nil && r.At >= t.lastReport.At {
		t.lastReport = r
	}
}
