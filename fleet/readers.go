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
	// minSilence and silencePerDoubling give how long an instance waits for news
	// of a reader before it reads for itself: each doubling of the fleet takes
	// news about one more round of exchanges.
	minSilence         = 400 * time.Millisecond
	silencePerDoubling = 190 * time.Millisecond
	// takeoverStep keeps instances apart that miss the same reader.
	takeoverStep = 120 * time.Millisecond
	// startDelay and startSpread give peers time to answer before an instance
	// that knows nothing reads the store. Peers answer within some milliseconds;
	// when the whole fleet restarts, every instance has callers that wait.
	startDelay  = 25 * time.Millisecond
	startSpread = 30 * time.Millisecond
	// otherDelay is added for instances that are no seed: the seeds read first and
	// tell the others, so that a restart of the fleet costs few calls. It is short,
	// since the seeds may be the last to start while callers wait everywhere.
	otherDelay = 25 * time.Millisecond
	// firstStartDelay and firstOtherDelay are the same for the first start of the
	// fleet, when there are no callers yet.
	firstStartDelay = 350 * time.Millisecond
	firstOtherDelay = 1200 * time.Millisecond
)

// startDelay returns how long an instance that knows nothing waits for peers
// before it reads the store.
func (o *Options) startDelay() time.Duration {
	delay, other := startDelay, otherDelay
	if o.FirstStart {
		delay, other = firstStartDelay, firstOtherDelay
	}
	delay += rand.N(startSpread)
	if !slices.Contains(o.Seeds, o.IP) {
		delay += other
	}
	return delay
}

// candidate is a member that may read the store.
type candidate struct {
	member *Member
	self   bool
	place  uint64
	round  int // of its failure domain
}

// candidates returns self and the live peers in the order in which they are to
// read: first the ones that the store answers, the first of each failure domain
// before the second ones.
func (r *roster) candidates(now time.Duration) []candidate {
	var list []candidate
	if !r.self.State.Has(Leaving) {
		list = append(list, candidate{member: &r.self, self: true, place: r.place})
	}
	for _, p := range r.peers {
		if r.live(now, p) && !p.State.Has(Leaving) {
			list = append(list, candidate{member: &p.Member, place: p.place})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(a.place, b.place) })
	seen := make(map[int]int)
	for i := range list {
		c := &list[i]
		if c.member.State.Has(StoreFailed) {
			c.round = len(list)
			continue
		}
		c.round = seen[c.member.Domain]
		seen[c.member.Domain]++
	}
	slices.SortStableFunc(list, func(a, b candidate) int { return cmp.Compare(a.round, b.round) })
	return list
}

// behind reports whether enough members of the own failure domain come before
// this instance, which is cheaper to tell than its rank.
func (r *roster) behind(now time.Duration) bool {
	before := 0
	for _, p := range r.peers {
		if p.Domain == r.self.Domain && p.place < r.place && !p.State.Has(StoreFailed) && !p.State.Has(Leaving) && r.live(now, p) {
			before++
		}
	}
	return before >= wantedReaders
}

// shouldRead decides whether this instance reads the store now. silence is how
// long no reader with recent answers was heard.
func (r *roster) shouldRead(now, silence time.Duration) bool {
	if silence <= r.patience() && r.behind(now) {
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
	return silence > r.patience()+time.Duration(rank)*takeoverStep
}

// patience is how long the news of a reader may take to arrive.
func (r *roster) patience() time.Duration {
	return minSilence + time.Duration(bits.Len(uint(len(r.peers))))*silencePerDoubling
}

// heardReader returns when a reader with recent answers was last heard.
func (r *roster) heardReader() time.Duration {
	latest := time.Duration(-1)
	for _, p := range r.peers {
		if p.State.Has(Reading) && !p.State.Has(Down) && p.failures == 0 {
			latest = max(latest, p.heard)
		}
	}
	return latest
}
