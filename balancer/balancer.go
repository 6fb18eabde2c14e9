package balancer

import (
	"math/rand/v2"
	"time"

	"github.com/dogwoodroute/dogwoodroute/tables"
)

// Options configure a Balancer.
type Options struct {
	// Pool is the first version of the pool.
	Pool tables.Pool
	// Rand is the source of all random choices. Required.
	Rand *rand.Rand
	// FailureDomain is the failure domain of this instance. Default empty: no
	// target is preferred for its failure domain.
	FailureDomain string
	// SlowStart is the time in which a cold, new or returning target ramps up
	// to its full weight. Default 10 s.
	SlowStart time.Duration
	// MaxReportAge is the age at which a load result is dropped. Default 250 ms.
	MaxReportAge time.Duration
	// SubsetSize is the number of targets above which an instance uses only
	// part of the pool, and the mean size of that part. Default 64.
	SubsetSize int
}

// Defaults of Options.
const (
	defaultSlowStart    = 10 * time.Second
	defaultMaxResultAge = 250 * time.Millisecond
	defaultSubsetSize   = 64
)

// Balancer is the target state of one pool in one instance. It is not safe for
// concurrent use.
type Balancer struct {
	options       Options
	rand          *rand.Rand
	now           time.Duration
	fleet         Fleet
	targets       map[int]*target // by index
	allTargets    []*target       // in the order of the table
	subset        []*target       // the targets that this instance uses
	outsideSubset []*target       // the targets outside the subset
	coverage      int             // members that use each target
	nextIndex     int
	draining      map[string]struct{} // addresses given to SetDraining
	averages      poolAverages
	budget        probeBudget
	longOnly      bool // no short work to keep slots free for

	cachedMaxWeight      float64
	cachedMaxWeightUntil time.Duration // heaviestWeight is valid before this time
}

// New returns a balancer for the pool. Its targets start at full weight: an
// instance that starts knows of no target that is colder than the rest.
func New(o Options) *Balancer {
	if o.SlowStart == 0 {
		o.SlowStart = defaultSlowStart
	}
	if o.MaxReportAge == 0 {
		o.MaxReportAge = defaultMaxResultAge
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

// SetPool replaces the pool. A target whose name and address stay keeps its
// index and state. Indexes are never reused: calls with the index of a target
// that is gone are ignored, also when the target is added again later.
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

// recompute derives what depends on both the pool and the fleet.
func (b *Balancer) recompute() {
	b.chooseSubset()
	b.assignLongSlots()
	b.enforceEjectionLimit()
	b.cachedMaxWeightUntil = 0
}

// advance moves the balancer's time forward.
func (b *Balancer) advance(now time.Duration) {
	b.budget.advance(now - b.now)
	b.now = max(b.now, now)
}

// Resume tells that the process was paused until now. Load results are void,
// and the gap earns no budget for probes.
func (b *Balancer) Resume(now time.Duration) {
	b.now = max(b.now, now)
	b.budget.clearTokens()
	for _, t := range b.allTargets {
		t.load = loadSample{}
		t.probedAt = b.budget.clock
	}
}

// Serving returns the number of targets that may receive work from this instance.
func (b *Balancer) Serving() int {
	n := 0
	for _, t := range b.inUse() {
		if t.available(b.now) {
			n++
		}
	}
	return n
}

// inUse returns the targets that Pick looks at: the subset, or the other
// targets while nothing in the subset may receive work.
func (b *Balancer) inUse() []*target {
	for _, t := range b.subset {
		if t.available(b.now) {
			return b.subset
		}
	}
	return b.outsideSubset
}

// Slots returns the slots of the targets that Serving counts.
func (b *Balancer) Slots() int {
	n := 0
	for _, t := range b.inUse() {
		if t.available(b.now) {
			n += t.usableSlots()
		}
	}
	return n
}
