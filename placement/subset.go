package placement

import "time"

const (
	// minSubset is the least number of responsive targets of a service among which an
	// instance chooses, for local and for remote targets each. It is a sample of targets
	// to probe.
	minSubset = localSample
	// smallSubset is the least number for the targets of a small service, or of a service in
	// a large fleet, if the traffic of the instance suffices. It leaves enough choice.
	smallSubset = 8
	// subsetsPerTarget is the mean number of instances that have a target in their
	// subset. With less the load of targets would be uneven, and some would get none.
	subsetsPerTarget = 8
	// spillSubsetsPerTarget is the mean number for targets in other failure domains while
	// the instance's own has some: they get only what the own ones cannot take.
	spillSubsetsPerTarget = 4
	// probeHalfLife is the half-life of the count of probes that determines the size of a
	// subset. It covers the waves of the load.
	probeHalfLife = 5 * time.Second
	// reuseInterval is the mean time between two probes of a target above which the subset
	// is made smaller. With about half the idle timeout of the connections, they are rarely
	// closed as idle.
	reuseInterval = 4 * time.Second
)

// subsetKey identifies the targets of a service in the instance's own failure domain or in
// the others.
type subsetKey struct {
	service string
	remote  bool
}

// probesPerReuse is the part of the steady count of probes that arrive in reuseInterval.
const probesPerReuse = 0.6931 * float64(reuseInterval) / float64(probeHalfLife) // ln 2

// probed returns the count of probes. The first count lets the subset have its full size:
// when a fleet starts, small subsets would load targets unevenly.
func (p *Placer) probed(now time.Duration, key subsetKey) *decayingCount {
	c := p.probeCounts[key]
	if c == nil {
		c = &decayingCount{halfLife: probeHalfLife, at: now}
		if !key.remote || !p.hasLocal[key.service] {
			c.count = float64(p.fullSubset(key)) / probesPerReuse
		}
		p.probeCounts[key] = c
	}
	return c
}

// fullSubset returns the number of targets among which this instance chooses if it has
// much traffic.
func (p *Placer) fullSubset(key subsetKey) int {
	targets, perTarget := len(p.services[key.service]), subsetsPerTarget
	if key.remote && p.hasLocal[key.service] {
		perTarget = spillSubsetsPerTarget
	}
	perInstance := (perTarget*targets + p.instances - 1) / p.instances
	return min(targets, max(smallSubset, perInstance))
}

// subsetSize returns the number of targets among which this instance chooses. A subset that
// is large for the traffic of the instance costs a new connection for most probes.
func (p *Placer) subsetSize(now time.Duration, key subsetKey) int {
	used := int(p.probed(now, key).recent(now) * probesPerReuse)
	return min(p.fullSubset(key), max(minSubset, used))
}
