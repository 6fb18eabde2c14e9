package fleet

import (
	"cmp"
	"math/bits"
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
	startDelay  = 50 * time.Millisecond
	startSpread = 60 * time.Millisecond
	// firstStartDelay is the same for the first start of the fleet, when there
	// are no callers yet.
	firstStartDelay = 350 * time.Millisecond
)

// candidate is a member that may read the store.
type candidate struct {
	member *Member
	self   bool
}

// candidates returns self and the live peers in the order in which they are to
// read: first the ones that the store answers, the first of each failure domain
// before the second ones.
func (r *roster) candidates(now time.Duration) []candidate {
	var list []candidate
	if !r.self.State.Has(Leaving) {
		list = append(list, candidate{member: &r.self, self: true})
	}
	for _, p := range r.livePeers(now) {
		if !p.State.Has(Leaving) {
			list = append(list, candidate{member: &p.Member})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(a.member.order(), b.member.order()) })
	seen := make(map[int]int)
	place := make(map[*Member]int, len(list))
	for _, c := range list {
		if c.member.State.Has(StoreFailed) {
			place[c.member] = len(list)
			continue
		}
		place[c.member] = seen[c.member.Domain]
		seen[c.member.Domain]++
	}
	slices.SortStableFunc(list, func(a, b candidate) int { return cmp.Compare(place[a.member], place[b.member]) })
	return list
}

// shouldRead decides whether this instance reads the store now. silence is how
// long no reader with recent answers was heard.
func (r *roster) shouldRead(now, silence time.Duration) bool {
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
		if p.State.Has(Reading) && p.failures == 0 {
			latest = max(latest, p.heard)
		}
	}
	return latest
}
