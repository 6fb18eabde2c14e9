package fleet

import (
	"net/netip"
	"slices"
	"time"
)

// SetSeeds replaces the seeds and contacts those that are not known as live. The settings
// may name running instances only after a while: without it, instances that start while
// their seeds are down would never find each other.
func (t *Task) SetSeeds(seeds []netip.Addr) {
	t.loop.Post(func(now time.Duration) {
		others := t.othersOf(seeds)
		if slices.Equal(others, t.seeds) {
			return
		}
		t.seeds, t.seedsSince = others, now
		t.options.Log.Info("seeds changed", "seeds", len(others), "known", len(t.roster.peers)+1)
		for _, ip := range others {
			if p := t.roster.peers[ip]; p == nil || !t.roster.live(now, p) {
				t.contact(now, ip, broadcast{})
			}
		}
		t.publishSnapshot(now)
	})
}

// othersOf returns the seeds without this instance.
func (t *Task) othersOf(seeds []netip.Addr) []netip.Addr {
	return slices.DeleteFunc(slices.Clone(seeds), func(ip netip.Addr) bool { return ip == t.options.IP })
}
