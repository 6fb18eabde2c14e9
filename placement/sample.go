package placement

import (
	"cmp"
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
	// maxSharedAge is the age up to which the report of a target serves other requests
	// than the one that it was probed for. The speed of a target changes within some
	// ten milliseconds.
	maxSharedAge = 10 * time.Millisecond
)

// Sample returns random targets to probe for a request, from the instance's own
// failure domain or, when remote is set, from the others, and the reports of those
// that need no probe since theirs is fresh. Suspended targets are included only when
// there are no others. It returns fewer targets, or none, when the probe budget is
// used up. A request that waits for room leaves a part of the budget to requests
// that have just arrived.
func (p *Placer) Sample(now time.Duration, r *Request, remote, waiting bool) ([]*catalog.Target, []Report) {
	if !remote && !p.hasLocal[r.Service] {
		return nil, nil
	}
	n := localSample
	if remote {
		n = remoteSample
	}
	var fresh []Report
	var unknown []*target
	matches := func(t *target) bool { return (t.FailureDomain != p.domain) == remote }
	key := subsetKey{r.Service, remote}
	for _, t := range p.eligible(now, r, p.subsetSize(now, key), matches) {
		if last := t.lastReport; last.Target != nil && now-last.At <= maxSharedAge {
			fresh = append(fresh, last)
		} else {
			unknown = append(unknown, t)
		}
	}
	slices.SortStableFunc(unknown, func(a, b *target) int { return cmp.Compare(a.exchanges(now), b.exchanges(now)) })
	reserve := 0.0
	if waiting {
		reserve = waitingReserve
	}
	n = p.probes.take(now, max(0, min(n-len(fresh), len(unknown))), reserve)
	p.probed(now, key).add(now, n)
	sample := make([]*catalog.Target, 0, n)
	for _, t := range unknown[:n] {
		t.probeSent = now
		sample = append(sample, t.Target)
	}
	return sample, fresh
}

// PredictedReports returns the probable load of the targets of the service, for a
// choice without probes.
func (p *Placer) PredictedReports(now time.Duration, r *Request) []Report {
	mean := p.workOf(r.Route).mean
	list := p.eligible(now, r, p.fullSubset(subsetKey{service: r.Service}), func(*target) bool { return true })
	reports := make([]Report, 0, len(list))
	for _, t := range list {
		reports = append(reports, p.predict(now, t, mean))
	}
	return reports
}

// eligible returns, in random order, targets of the service that match and that
// the request was not sent to yet, at most size. They are the first ones in this instance's own
// order of targets, so that the subset stays stable. Suspended targets are
// returned only when there are no others. Those that want no request now are left out,
// unless a probe is due that tells whether they still do not.
func (p *Placer) eligible(now time.Duration, r *Request, size int, match func(*target) bool) []*target {
	fits := func(t *target) bool {
		return match(t) && p.mayHandle(r.Route, t) && !slices.Contains(r.Tried, t.Incarnation())
	}
	responsive := make([]*target, 0, size)
	var suspended []*target
	cold := 0
	for _, t := range p.services[r.Service] {
		if len(responsive)+cold >= size && len(responsive) >= min(size, localSample) {
			break // a subset of cold targets only would leave no choice
		}
		switch {
		case !fits(t):
		case !t.available(now, p) && !t.awaitsWarmupAnswer(now, p) && !t.recheckDue(now):
			if t.warmup.cold(now) {
				cold++ // it keeps its place: others would cost a connection for a few seconds
			}
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
	if t := p.coldCandidate(now, r.Service, fits); t != nil {
		responsive = slices.Insert(slices.DeleteFunc(responsive, func(other *target) bool { return other == t }), 0, t)
	}
	return responsive
}

// Reported caches a load report of a target, unless a later one is known.
func (p *Placer) Reported(r Report) {
	if t := p.targets[r.Target.Incarnation()]; t != nil && r.At >= t.lastReport.At {
		t.lastReport = r
		p.load(t.Service).observe(r)
		p.observeRoom(t, r)
	}
}
