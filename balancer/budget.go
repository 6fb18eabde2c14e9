package balancer

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/tables"
)

const (
	// safetyFactor divides the budget once more. It leaves room for as many
	// instances again that are not known yet, and for requests that callers
	// send to two instances.
	safetyFactor = 2
	// instancesRetention is how long a larger number of instances still counts.
	instancesRetention = 10 * time.Minute
	// maxBudgetStep is the longest step of time that earns budget.
	maxBudgetStep = 250 * time.Millisecond
	// maxTokens bounds the probes that requests have earned.
	maxTokens = 4.0
)

// ProbeStats counts the decisions of the probe budget.
type ProbeStats struct {
	Granted uint64 // probes granted, idle ones included
	Idle    uint64 // idle probes granted
	Refused uint64 // calls of Probes that found a target overdue and no budget for it
}

// probeBudget bounds the probes of this instance. Both bounds of the table hold at
// once: requests earn tokens, and each target has a least interval.
type probeBudget struct {
	measure    tables.Measure
	clock      time.Duration // sum of the steps that earn budget
	instances  int           // current, 0 unknown
	pastCounts []pastCount   // larger counts, largest first
	tokens     float64
	stats      ProbeStats
}

// pastCount is a number of instances that has fallen.
type pastCount struct {
	instances int
	droppedAt time.Duration // on the budget's clock
}

func (u *probeBudget) setMeasure(m tables.Measure) {
	u.measure = m
	u.tokens = min(u.tokens, m.PerRequest()*maxTokens)
}

// advance lets time pass. A longer step than maxBudgetStep is a pause and
// earns nothing; it does not shorten the memory of past counts either.
func (u *probeBudget) advance(step time.Duration) {
	if step > 0 && step <= maxBudgetStep {
		u.clock += step
	}
}

func (u *probeBudget) clearTokens() { u.tokens = 0 }

// setInstances takes the number of instances that may be alive.
func (u *probeBudget) setInstances(n int) {
	if n < u.instances {
		for len(u.pastCounts) > 0 && u.pastCounts[len(u.pastCounts)-1].instances <= u.instances {
			u.pastCounts = u.pastCounts[:len(u.pastCounts)-1]
		}
		u.pastCounts = append(u.pastCounts, pastCount{u.instances, u.clock})
	}
	u.instances = n
}

// divisor is the number by which fleet-wide rates are divided, 0 while the
// number of instances is unknown.
func (u *probeBudget) divisor() float64 {
	if u.instances == 0 {
		return 0
	}
	for len(u.pastCounts) > 0 && u.clock-u.pastCounts[0].droppedAt >= instancesRetention {
		u.pastCounts = u.pastCounts[1:]
	}
	largest := u.instances
	if len(u.pastCounts) > 0 {
		largest = max(largest, u.pastCounts[0].instances)
	}
	return safetyFactor * float64(largest)
}

// earn adds the share of one request. Each request enters through one
// instance, so this bound needs no division by the number of instances.
func (u *probeBudget) earn() {
	if u.divisor() > 0 {
		u.tokens = min(u.tokens+u.measure.PerRequest()/safetyFactor, maxTokens)
	}
}

// minInterval is the least time between two probes of one target by this
// instance. ok is false when no probe is allowed.
func (u *probeBudget) minInterval() (interval time.Duration, ok bool) {
	return rateInterval(u.divisor(), u.measure.PerTargetPerSecond())
}

// minIdleInterval is the least time between two idle probes of one target that
// this instance looks after. The live members agree on one of them for each
// target; instances that may be alive beside them may each do the same.
func (u *probeBudget) minIdleInterval(members int) (interval time.Duration, ok bool) {
	if u.divisor() == 0 {
		return 0, false
	}
	probers := max(1, u.divisor()/safetyFactor-float64(max(1, members))+1)
	return rateInterval(safetyFactor*probers, u.measure.IdlePerTargetPerSecond())
}

// rateInterval returns the interval of a rate that is divided by a number.
func rateInterval(divisor, rate float64) (interval time.Duration, ok bool) {
	if divisor == 0 || rate <= 0 {
		return 0, false
	}
	seconds := min(divisor/rate, instancesRetention.Seconds()*1000)
	return time.Duration(seconds * float64(time.Second)), true
}

// countIdle counts an idle probe.
func (u *probeBudget) countIdle() {
	u.stats.Granted++
	u.stats.Idle++
}

// take spends the tokens of one probe.
func (u *probeBudget) take() bool {
	if u.tokens < 1 {
		return false
	}
	u.tokens--
	u.stats.Granted++
	return true
}
