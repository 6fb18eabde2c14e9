package balancer

import (
	"math"
	"time"
)

// TargetStatus is the observable state of a target, for the administration API.
type TargetStatus struct {
	Index                        int
	Name, Address, FailureDomain string
	// InSubset is true if the target belongs to the subset used by this
	// instance.
	InSubset bool
	// Slots is the number of usable slots, the smaller of the configured and
	// the reported number.
	Slots int
	// InFlight is the number of requests of this instance in flight, and
	// LongInFlight is the number of those of class long.
	InFlight, LongInFlight int
	// LongSlots is the number of long slots assigned to this instance.
	LongSlots int
	// Load is the expected number of requests of all instances at the target.
	Load float64
	// LatencyFactor is the ratio of the target's latency to that of the pool.
	LatencyFactor float64
	// ErrorRate is the share of recent requests that failed.
	ErrorRate float64
	// Trust is the weight of the target's reports, from 0 to 1.
	Trust float64
	// Weight is the slow-start weight, from 0 to 1.
	Weight float64
	// RampLeft is the time until the slow start ends.
	RampLeft time.Duration
	// DrainTable, DrainListed and DrainReported tell whether the target is
	// draining according to the configuration, to the platform's list or peers,
	// and to its own report.
	DrainTable, DrainListed, DrainReported bool
	// EjectedFor is the time until the ejection ends, 0 if the target is not
	// ejected.
	EjectedFor time.Duration
	// ReportAge is the time since the last report.
	ReportAge time.Duration
}

// Status returns a copy of the state of all targets, in the order of the
// configuration.
func (b *Balancer) Status(now time.Duration) []TargetStatus {
	b.advance(now)
	list := make([]TargetStatus, 0, len(b.allTargets))
	subset := make(map[int]struct{}, len(b.subset))
	for _, t := range b.subset {
		subset[t.index] = struct{}{}
	}
	for _, t := range b.allTargets {
		_, inSubset := subset[t.index]
		list = append(list, b.statusOf(t, inSubset))
	}
	return list
}

func (b *Balancer) statusOf(t *target, inSubset bool) TargetStatus {
	logRatio := t.slowness.logRatio * decay((b.now-t.slowness.updatedAt).Seconds()/slownessDecaySeconds)
	return TargetStatus{
		Index: t.index, Name: t.name, Address: t.address, FailureDomain: t.failureDomain, InSubset: inSubset,
		Slots: t.usableSlots(), InFlight: t.inFlight(), LongInFlight: t.longInFlight, LongSlots: t.assignedLongSlots,
		Load:          b.expectedInFlight(t, b.averages.departureRate()),
		LatencyFactor: math.Exp(logRatio), ErrorRate: t.health.errorRate(b.now),
		Trust: t.trust.weight(), Weight: b.rampWeight(t), RampLeft: b.rampLeft(t),
		DrainTable: t.drainSignals.inTable, DrainListed: t.drainSignals.listed, DrainReported: t.drainSignals.reported,
		EjectedFor: max(0, t.health.ejectedUntil-b.now), ReportAge: b.now - t.reportedAt,
	}
}
