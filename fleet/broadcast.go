package fleet

import "net/netip"

// broadcast is the part that an exchange has in telling the fleet of a change,
// besides the members and the revision that every exchange tells. The zero value
// is a plain exchange.
type broadcast struct {
	// changes is set when the peer is told of changes, which it is likely not to
	// have after the revision in after.
	changes bool
	after   uint64
	// relay are the instances that the peer tells in turn.
	relay []netip.Addr
}

// add merges another one for the same peer.
func (b *broadcast) add(other broadcast) {
	if other.changes {
		if !b.changes || other.after < b.after {
			b.after = other.after
		}
		b.changes = true
	}
	b.relay = append(b.relay, other.relay...)
}
