package replay

import (
	"math/rand/v2"

	"github.com/dogwoodroute/dogwoodroute/balancer"
	"github.com/dogwoodroute/dogwoodroute/refusal"
)

// baseline implements the policies that use no load reports: each request is
// sent on arrival to a target chosen from the state of its own instance. It
// does not retry; a shed request counts as refused.
type baseline struct {
	run        *run
	policy     Policy
	rand       *rand.Rand
	lastTarget []int   // last target of round robin, by instance
	inFlight   [][]int // by instance and target
	pending    int     // requests without an outcome
}

func newBaseline(r *run, p Policy) *baseline {
	b := &baseline{run: r, policy: p, rand: rand.New(rand.NewPCG(r.trace.Seed, 1)),
		lastTarget: make([]int, len(r.trace.Domains))}
	for i := range r.trace.Domains {
		b.inFlight = append(b.inFlight, make([]int, len(r.targets)))
		b.lastTarget[i] = b.rand.IntN(len(r.targets))
	}
	return b
}

func (b *baseline) unfinished() int { return b.pending }

func (b *baseline) arrive(a *Arrival) {
	index := b.choose(a.Instance)
	b.inFlight[a.Instance][index]++
	b.pending++
	b.run.send(a, index, false, func(outcome balancer.Outcome, _ balancer.Report) {
		b.inFlight[a.Instance][index]--
		b.pending--
		if outcome == balancer.OutcomeShed {
			b.run.recordRefusal(a, refusal.Overload)
			return
		}
		b.run.recordResponse(a, outcome)
	})
}

func (b *baseline) choose(instance int) int {
	n := len(b.run.targets)
	switch b.policy {
	case RoundRobin:
		b.lastTarget[instance] = (b.lastTarget[instance] + 1) % n
		return b.lastTarget[instance]
	case LeastLocal:
		return b.leastInFlight(instance, n)
	case TwoLocal:
		return b.leastInFlight(instance, min(2, n))
	default:
		return b.rand.IntN(n)
	}
}

// leastInFlight returns the target with the fewest requests in flight from an
// instance, among sampleSize targets drawn at random.
func (b *baseline) leastInFlight(instance, sampleSize int) int {
	best := -1
	for _, index := range b.rand.Perm(len(b.run.targets))[:sampleSize] {
		if best < 0 || b.inFlight[instance][index] < b.inFlight[instance][best] {
			best = index
		}
	}
	return best
}
