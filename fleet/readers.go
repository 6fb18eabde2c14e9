package fleet

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// wantedReaders watch the store at a time. Two keep the changes coming when
	// one of them is killed; more would cost calls.
	wantedReaders = 2
	// minReaderTimeout and silencePerDoubling give how long an instance waits for news
	// of a reader before it reads for itself: each doubling of the fleet takes
	// news about one more round of exchanges.
	minReaderTimeout         = 400 * time.Millisecond
	readerTimeoutPerDoubling = 190 * time.Millisecond
	// takeoverStep keeps instances apart that miss the same reader.
	takeoverStep = 120 * time.Millisecond
	// startDelay and startSpread give peers time to answer before an instance
	// that knows nothing reads the store. Peers answer within some milliseconds;
	// when the whole fleet restarts, every instance has callers that wait.
	startDelay  = 25 * time.Millisecond
	startJitter = 30 * time.Millisecond
	// nonSeedDelay is added for instances that are no seed: the seeds read first and
	// tell the others, so that a restart of the fleet costs few calls. It is short,
	// since the seeds may be the last to start while callers wait everywhere.
	nonSeedDelay = 25 * time.Millisecond
	// firstStartDelay and firstOtherDelay are the same for the first start of the
	// fleet, when there are no callers yet.
	firstStartDelay        = 350 * time.Millisecond
	firstStartNonSeedDelay = 1200 * time.Millisecond
)

// startDelay returns how long an instance that knows nothing waits for peers
// before it reads the store.
func (o *Options) startDelay() time.Duration {
	delay, nonSeed := startDelay, nonSeedDelay
	if o.FirstStart {
		delay, nonSeed = firstStartDelay, firstStartNonSeedDelay
	}
	delay += rand.N(startJitter)
	if !slices.Contains(o.Seeds, o.IP) {
		delay += nonSeed
	}
	return delay
}

// candidate is a member that may read the store.
type candidate struct {
	member     *Member
	self       bool
	readOrder  uint64
	domainRank int // of its failure domain
}

// candidates returns self and the live peers in the order in which they are to
// read: first the ones that the store answers, the first of each failure domain
// before the second ones.
func (r *roster) candidates(now time.Duration) []candidate {
	var list []candidate
	if !r.self.State.Has(Leaving) {
		list = append(list, candidate{member: &r.self, self: true, readOrder: r.readOrder})
	}
	for _, p := range r.peers {
		if r.live(now, p) && !p.State.Has(Leaving) {
			list = append(list, candidate{member: &p.Member, readOrder: p.readOrder})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(a.readOrder, b.readOrder) })
	seen := make(map[int]int)
	for i := range list {
		c := &list[i]
		if c.member.State.Has(StoreFailed) {
			c.domainRank = len(list)
			continue
		}
		c.domainRank = seen[c.member.Domain]
		seen[c.member.Domain]++
	}
	slices.SortStableFunc(list, func(a, b candidate) int { return cmp.Compare(a.domainRank, b.domainRank) })
	return list
}

// enoughReadersAhead reports whether enough members of the own failure domain come before
// this instance, which is cheaper to tell than its rank.
func (r *roster) enoughReadersAhead(now time.Duration) bool {
	ahead := 0
	for _, p := range r.peers {
		if p.Domain == r.self.Domain && p.readOrder < r.readOrder && !p.State.Has(StoreFailed) && !p.State.Has(Leaving) && r.live(now, p) {
			ahead++
		}
	}
	return ahead >= wantedReaders
}

// shouldRead decides whether this instance reads the store now. silence is how
// long no reader with recent answers was heard.
func (r *roster) shouldRead(now, silence time.Duration) bool {
	if silence <= r.readerTimeout() && r.enoughReadersAhead(now) {
		return false
	}
	list := r.candidates(now)
	rank := slices.IndexFunc(list, func(c candidate) bool { return c.self })
	if rank < 0 {
		return false
	}
	if rank < wantedReaders {
		return true
	}
	if r.self.State.Has(StoreFailed) {
		return false // the first ones go on trying; calls are priced and limited
	}
	return silence > r.readerTimeout()+time.Duration(rank)*takeoverStep
}

// readerTimeout is how long the news of a reader may take to arrive.
func (r *roster) readerTimeout() time.Duration {
	return minReaderTimeout + time.Duration(bits.Len(uint(len(r.peers))))*readerTimeoutPerDoubling
}

// lastReaderHeartbeat returns when a reader with recent answers was last heard.
func (r *roster) lastReaderHeartbeat() time.Duration {
	latest := time.Duration(-1)
	for _, p := range r.peers {
		if p.State.Has(Reading) && !p.State.Has(Down) && p.failures == 0 {
			latest = max(latest, p.lastSeen)
		}
	}
	return latest
}
