package balancer

import (
	"math/rand/v2"
	"time"

	"github.com/dogwoodroute/dogwoodroute/tables"
)

// Options configure a Balancer.
type Options struct {
	// Pool is the initial configuration of the pool.
	Pool tables.Pool
	// Rand is the source of all random choices. Required.
	Rand *rand.Rand
	// FailureDomain is the failure domain of this instance. Default empty: no
	// target is preferred for its failure domain.
	FailureDomain string
	// SlowStart is the time in which a cold, new or returning target ramps up
	// to its full weight. Default 10 s.
	SlowStart time.Duration
	// MaxReportAge is the greatest age at which a load sample is used. Default
	// 250 ms.
	MaxReportAge time.Duration
	// SubsetSize is the number of targets above which an instance uses only a
	// subset of the pool, and the mean size of that subset. Default 64.
	SubsetSize int
}

// Defaults of Options.
const (
	defaultSlowStart    = 10 * time.Second
	defaultMaxReportAge = 250 * time.Millisecond
	defaultSubsetSize   = 64
)

// Balancer holds the state of the targets of one pool in one instance. It is
// not safe for concurrent use.
type Balancer struct {
	options       Options
	rand          *rand.Rand
	now           time.Duration
	fleet         Fleet
	targets       map[int]*target // by index
	allTargets    []*target       // in the order of the configuration
	subset        []*target       // targets used by this instance
	outsideSubset []*target       // targets outside the subset
	coverage      int             // number of members that use each target
	nextIndex     int
	draining      map[string]struct{} // addresses passed to SetDraining
	averages      poolAverages
	budget        probeBudget
	longOnly      bool // the pool has no short requests to reserve slots for

	cachedMaxWeight      float64
	cachedMaxWeightUntil time.Duration // end of validity of cachedMaxWeight
}

// New returns a Balancer for the pool. Its targets start at full weight: a
// newly started instance knows of no target that is colder than the others.
func New(o Options) *Balancer {
	if o.SlowStart == 0 {
		o.SlowStart = defaultSlowStart
	}
	if o.MaxReportAge == 0 {
		o.MaxReportAge = defaultMaxReportAge
	}
	if o.SubsetSize == 0 {
		o.SubsetSize = defaultSubsetSize
	}
	b := &Balancer{options: o, rand: o.Rand, targets: make(map[int]*target), draining: make(map[string]struct{})}
	b.SetPool(0, o.Pool)
	for _, t := range b.allTargets {
		t.rampStart = -o.SlowStart
	}
	return b
}

// SetPool replaces the configuration of the pool. A target whose name and
// address are unchanged keeps its index and state. Indexes are never reused:
// calls with the index of a removed target are ignored, even if the target is
// added again later.
func (b *Balancer) SetPool(now time.Duration, p tables.Pool) {
	b.advance(now)
	type key struct{ name, address string }
	known := make(map[key]*target, len(b.allTargets))
	for _, t := range b.allTargets {
		known[key{t.name, t.address}] = t
	}
	b.allTargets = make([]*target, 0, len(p.Targets))
	b.targets = make(map[int]*target, len(p.Targets))
	for i := range p.Targets {
		entry := &p.Targets[i]
		t := known[key{entry.Name, entry.Address}]
		if t == nil {
			t = b.newTarget(entry)
		}
		b.applyEntry(t, entry)
		b.allTargets = append(b.allTargets, t)
		b.targets[t.index] = t
	}
	b.budget.setMeasure(p.Measure)
	b.longOnly = p.LongOnly
	b.recompute()
}

// recompute updates the state that depends on both the pool and the fleet.
func (b *Balancer) recompute() {
	b.chooseSubset()
	b.assignLongSlots()
	b.enforceEjectionLimit()
	b.cachedMaxWeightUntil = 0
}

// advance moves the balancer's time forward. It never moves back.
func (b *Balancer) advance(now time.Duration) {
	b.budget.advance(now - b.now)
	b.now = max(b.now, now)
}

// Resume reports that the process was paused until now. It discards all load
// samples and the probe budget; the pause itself adds nothing to the budget.
func (b *Balancer) Resume(now time.Duration) {
	b.now = max(b.now, now)
	b.budget.clearTokens()
	for _, t := range b.allTargets {
		t.load = loadSample{}
		t.probedAt = b.budget.clock
	}
}

// Serving returns the number of targets that may receive requests from this
// instance.
func (b *Balancer) Serving() int {
	n := 0
	for _, t := range b.inUse() {
		if t.available(b.now) {
			n++
		}
	}
	return n
}

// inUse returns the targets that Pick considers: the subset of this instance,
// or the other targets while none in the subset may receive requests.
func (b *Balancer) inUse() []*target {
	for _, t := range b.subset {
		if t.available(b.now) {
			return b.subset
		}
	}
	return b.outsideSubset
}

// Slots returns the total number of slots of the targets counted by Serving.
func (b *Balancer) Slots() int {
	n := 0
	for _, t := range b.inUse() {
		if t.available(b.now) {
			n += t.usableSlots()
		}
	}
	return n
}
