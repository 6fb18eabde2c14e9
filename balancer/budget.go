package balancer

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/tables"
)

const (
	// safetyFactor divides the budget once more. It leaves room for as many
	// unknown instances as known ones, and for requests that callers send to
	// two instances.
	safetyFactor = 2
	// instancesRetention is how long a larger number of instances still counts
	// after a drop.
	instancesRetention = 10 * time.Minute
	// maxBudgetStep is the longest time step that adds to the budget.
	maxBudgetStep = 250 * time.Millisecond
	// maxTokens is the capacity of the token bucket, in probes.
	maxTokens = 4.0
)

// ProbeStats counts the decisions of the probe budget.
type ProbeStats struct {
	Granted uint64 // probes granted, including idle ones
	Idle    uint64 // probes granted without a token; see idleProbes
	Refused uint64 // calls of Probes that found an overdue target but no token
}

// probeBudget limits the probes of this instance. Both limits of the pool
// configuration apply at the same time: requests earn tokens for probes, and
// the probes of one target keep a minimum interval.
type probeBudget struct {
	measure    tables.Measure
	clock      time.Duration // sum of the time steps not longer than maxBudgetStep
	instances  int           // current number; 0 means unknown
	pastCounts []pastCount   // larger former numbers, largest first
	tokens     float64
	stats      ProbeStats
}

// pastCount is a former, larger number of instances.
type pastCount struct {
	instances int
	droppedAt time.Duration // on the budget's clock
}

func (u *probeBudget) setMeasure(m tables.Measure) {
	u.measure = m
	u.tokens = min(u.tokens, m.PerRequest()*maxTokens)
}

// advance moves the budget's clock forward. A step longer than maxBudgetStep is
// a pause of the process: it neither counts towards probe intervals nor
// shortens the retention of past counts.
func (u *probeBudget) advance(step time.Duration) {
	if step > 0 && step <= maxBudgetStep {
		u.clock += step
	}
}

func (u *probeBudget) clearTokens() { u.tokens = 0 }

// setInstances sets the number of instances that may be alive; 0 means unknown.
func (u *probeBudget) setInstances(n int) {
	if n < u.instances {
		for len(u.pastCounts) > 0 && u.pastCounts[len(u.pastCounts)-1].instances <= u.instances {
			u.pastCounts = u.pastCounts[:len(u.pastCounts)-1]
		}
		u.pastCounts = append(u.pastCounts, pastCount{u.instances, u.clock})
	}
	u.instances = n
}

// divisor returns the number by which fleet-wide rates are divided, or 0 while
// the number of instances is unknown.
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

// earn adds the tokens of one request. Each request enters the fleet through
// one instance, so they are not divided by the number of instances.
func (u *probeBudget) earn() {
	if u.divisor() > 0 {
		u.tokens = min(u.tokens+u.measure.PerRequest()/safetyFactor, maxTokens)
	}
}

// minInterval returns the minimum interval between two probes of one target by
// this instance. ok is false if no probe is allowed.
func (u *probeBudget) minInterval() (interval time.Duration, ok bool) {
	return rateInterval(u.divisor(), u.measure.PerTargetPerSecond())
}

// minIdleInterval returns the minimum interval between two idle probes of one
// target by the member that probes it. All live members agree on that member,
// but any instance that may be alive and is not among them may probe the same
// target, so the rate is divided by the number of possible probers.
func (u *probeBudget) minIdleInterval(members int) (interval time.Duration, ok bool) {
	if u.divisor() == 0 {
		return 0, false
	}
	probers := max(1, u.divisor()/safetyFactor-float64(max(1, members))+1)
	return rateInterval(safetyFactor*probers, u.measure.IdlePerTargetPerSecond())
}

// rateInterval returns the interval of a rate per second that is divided by
// divisor. ok is false if the rate is zero or the divisor unknown.
func rateInterval(divisor, rate float64) (interval time.Duration, ok bool) {
	if divisor == 0 || rate <= 0 {
		return 0, false
	}
	seconds := min(divisor/rate, instancesRetention.Seconds()*1000)
	return time.Duration(seconds * float64(time.Second)), true
}

// countIdle counts a granted idle probe.
func (u *probeBudget) countIdle() {
	u.stats.Granted++
	u.stats.Idle++
}

// take spends the token of one probe. It returns false if there is none.
func (u *probeBudget) take() bool {
	if u.tokens < 1 {
		return false
	}
	u.tokens--
	u.stats.Granted++
	return true
}
