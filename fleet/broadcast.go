package fleet

import "net/netip"

// broadcast is the part that an exchange has in telling the fleet of a change,
// besides the members and the revision that every exchange tells. The zero value
// is a plain exchange.
type broadcast struct {
	// sendChanges is set when the peer is told of sendChanges, which it is likely not to
	// have after the revision in after.
	sendChanges  bool
	changesAfter uint64
	// relay are the instances that the peer tells in turn.
	relay []netip.Addr
}

// merge merges another one for the same peer.
func (b *broadcast) merge(other broadcast) {
	if other.sendChanges {
		if !b.sendChanges || other.changesAfter < b.changesAfter {
			b.changesAfter = other.changesAfter
		}
		b.sendChanges = true
	}
	b.relay = append(b.relay, other.relay...)
}
