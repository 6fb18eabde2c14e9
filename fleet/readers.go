package fleet

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

const (
	// wantedReaders is the number of instances that watch the store at a time. With two,
	// changes still arrive when one of them is killed; more would cost more calls.
	wantedReaders = 2
	// minReaderTimeout and readerTimeoutPerDoubling determine how long an instance waits
	// for a heartbeat of a reader before it may read the store itself. With each doubling
	// of the fleet a heartbeat needs about one more round of exchanges.
	minReaderTimeout         = 400 * time.Millisecond
	readerTimeoutPerDoubling = 190 * time.Millisecond
	// notifiedSuccessors is the number of instances that a reader notifies when the store
	// fails it: as many as there are readers, since all may have failed, and one more, since
	// one of them may be down.
	notifiedSuccessors = wantedReaders + 1
	// maxAskingRank is the highest rank of an instance that asks silent readers before it
	// takes over. All others learn the answer from these before their turn; if all asked, the
	// readers would get an exchange of each instance of the fleet at once.
	maxAskingRank = 8
	// unprovenFor is how long after the last report that the store failed an instance other
	// readers go on in its place until it is a reader again: the time until it tries
	// again, and that of its call. It may well fail again.
	unprovenFor = storeFailedFor + watchWait + watchGrace
	// takeoverStep is the additional wait per rank, so that instances that miss the same
	// reader take over one at a time.
	takeoverStep = 120 * time.Millisecond
	// outageCallsPerSecond is the mean rate at which all instances together, but the first
	// ones, call a store that has failed them. The store may be back for some of them only,
	// so the calls come from all in turn; that they all come at once would leave a gap of
	// seconds after it.
	outageCallsPerSecond = 6.0
	// startDelay and startJitter bound the time that a starting instance, which has no
	// records, gives peers to answer before it reads the store. Peers answer within a few
	// milliseconds. A longer delay would keep callers waiting everywhere when the whole
	// fleet restarts.
	startDelay  = 25 * time.Millisecond
	startJitter = 30 * time.Millisecond
	// nonSeedDelay is added for instances that are not seeds: the seeds read first and
	// send the records to the others, so that a restart of the fleet costs few calls. It
	// is short, since the seeds may be the last to start while callers wait everywhere.
	nonSeedDelay = 25 * time.Millisecond
	// firstStartDelay and firstStartNonSeedDelay replace startDelay and nonSeedDelay at
	// the first start of the fleet, when there are no callers yet.
	firstStartDelay        = 350 * time.Millisecond
	firstStartNonSeedDelay = 1200 * time.Millisecond
)

// startDelay returns how long a starting instance waits for records from peers before
// it may read the store.
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
	domainRank int // rank in its failure domain; the last of all if the store does not answer it
}

// candidates returns this instance and the live peers, without leaving ones, in the
// order in which they become readers: the first of each failure domain, then the
// second of each, and so on; last the members that the store does not answer.
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

// successors returns the next instances that become readers, at most notifiedSuccessors.
func (r *roster) successors(now time.Duration) []netip.Addr {
	var list []netip.Addr
	for _, c := range r.candidates(now) {
		if !c.self && !c.member.State.Has(Reading) && len(list) < notifiedSuccessors {
			list = append(list, c.member.IP)
		}
	}
	return list
}

// isFirstReader reports whether this instance is the first reader.
func (r *roster) isFirstReader(now time.Duration) bool {
	list := r.candidates(now)
	return len(list) > 0 && list[0].self
}

// enoughReadersAhead reports whether at least wantedReaders members of this failure
// domain come before this instance. It is cheaper than the rank among all candidates.
func (r *roster) enoughReadersAhead(now time.Duration) bool {
	ahead := 0
	for _, p := range r.peers {
		if p.Domain == r.self.Domain && p.readOrder < r.readOrder && !p.State.Has(StoreFailed) && !p.State.Has(Leaving) && r.live(now, p) {
			ahead++
		}
	}
	return ahead >= wantedReaders
}

// unproven reports whether the store has failed a member before and has not answered it since.
func (r *roster) unproven(now time.Duration, c candidate) bool {
	p := r.peers[c.member.IP]
	return p != nil && !p.State.Has(Reading) && p.storeFailedSeen > 0 && now-p.storeFailedSeen < unprovenFor
}

// outageCallDelay returns the time until an instance that the store has failed calls it
// again, if no reader has answers.
func (r *roster) outageCallDelay() time.Duration {
	mean := float64(len(r.peers)+1) / outageCallsPerSecond
	return time.Duration(2 * rand.Float64() * mean * float64(time.Second))
}

// shouldRead reports whether this instance is to read the store now. silence is the time
// since the last heartbeat of a reader with recent answers from the store. callDue is false
// until outageCallDelay has passed since the store failed this instance.
func (r *roster) shouldRead(now, silence time.Duration, callDue bool) bool {
	if !r.self.State.Has(Reading) && silence <= r.readerTimeout() && r.enoughReadersAhead(now) {
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
	if r.self.State.Has(Reading) && slices.ContainsFunc(list[:wantedReaders], func(c candidate) bool { return r.unproven(now, c) }) {
		return true
	}
	if r.self.State.Has(StoreFailed) {
		return callDue && silence > r.readerTimeout() // only the first ones keep trying: calls have a price and share a rate limit
	}
	return callDue && silence > r.readerTimeout()+time.Duration(rank)*takeoverStep
}

// readerTimeout returns the longest time that a reader's heartbeat may take to arrive.
func (r *roster) readerTimeout() time.Duration {
	return minReaderTimeout + time.Duration(bits.Len(uint(len(r.peers))))*readerTimeoutPerDoubling
}

// lastReaderHeartbeat returns when the last heartbeat of a reader with recent answers
// from the store arrived, negative if there is no such reader.
func (r *roster) lastReaderHeartbeat() time.Duration {
	latest := time.Duration(-1)
	for _, p := range r.peers {
		if p.State.Has(Reading) && !p.State.Has(Down) && p.failures == 0 {
			latest = max(latest, p.lastSeen)
		}
	}
	return latest
}
