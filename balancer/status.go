package balancer

import (
	"math"
	"time"
)

// TargetStatus is what the administration API shows of a target.
type TargetStatus struct {
	Index                        int
	Name, Address, FailureDomain string
	// InSubset is false for targets outside this instance's subset.
	InSubset bool
	// Slots is the number of slots in use, the smaller of table and report.
	Slots int
	// InFlight and LongInFlight count own requests in flight, and those of class long.
	InFlight, LongInFlight int
	// LongSlots is the number of long slots assigned to this instance.
	LongSlots int
	// Load is the expected number of requests of all instances at the target.
	Load float64
	// LatencyFactor is the ratio of the target's latency to the pool's.
	LatencyFactor float64
	// ErrorRate is the share of recent requests that failed.
	ErrorRate float64
	// Trust weighs the target's reports, from 0 to 1.
	Trust float64
	// Weight is the slow-start weight, from 0 to 1.
	Weight float64
	// RampLeft is the time until the weight is 1.
	RampLeft time.Duration
	// DrainTable, DrainListed and DrainReported are the signals of draining.
	DrainTable, DrainListed, DrainReported bool
	// EjectedFor is the rest of the ejection, 0 when not ejected.
	EjectedFor time.Duration
	// ReportAge is the time since the last report.
	ReportAge time.Duration
}

// Status returns a copy of the targets' state, in the order of the table.
func (b *Balancer) Status(now time.Duration) []TargetStatus {
	b.advance(now)
	list := make([]TargetStatus, 0, len(b.allTargets))
	used := make(map[int]struct{}, len(b.subset))
	for _, t := range b.subset {
		used[t.index] = struct{}{}
	}
	for _, t := range b.allTargets {
		_, inSubset := used[t.index]
		list = append(list, b.statusOf(t, inSubset))
	}
	return list
}

func (b *Balancer) statusOf(t *target, used bool) TargetStatus {
	slow := t.slowness.logRatio * decay((b.now-t.slowness.at).Seconds()/slownessDecaySeconds)
	return TargetStatus{
		Index: t.index, Name: t.name, Address: t.address, FailureDomain: t.failureDomain, InSubset: used,
		Slots: t.usableSlots(), InFlight: t.inFlight(), LongInFlight: t.longInFlight, LongSlots: t.assignedLongSlots,
		Load:          b.expectedInFlight(t, b.averages.departureRate()),
		LatencyFactor: math.Exp(slow), ErrorRate: t.health.errorRate(b.now),
		Trust: t.trust.weight(), Weight: b.rampWeight(t), RampLeft: b.rampLeft(t),
		DrainTable: t.drainSignals.inTable, DrainListed: t.drainSignals.listed, DrainReported: t.drainSignals.reported,
		EjectedFor: max(0, t.health.ejectedUntil-b.now), ReportAge: b.now - t.reportedAt,
	}
}
