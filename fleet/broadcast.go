package fleet

import "net/netip"

// broadcast is the broadcast that an exchange carries, in addition to the members
// and the revision that every exchange contains. The zero value stands for a plain
// exchange.
type broadcast struct {
	// sendChanges is true if the exchange contains the changes after revision
	// changesAfter, which the peer probably lacks.
	sendChanges  bool
	changesAfter uint64
	// relay are the instances to which the peer forwards the broadcast.
	relay []netip.Addr
}

// merge adds another broadcast for the same peer.
func (b *broadcast) merge(other broadcast) {
	if other.sendChanges {
		if !b.sendChanges || other.changesAfter < b.changesAfter {
			b.changesAfter = other.changesAfter
		}
		b.sendChanges = true
	}
	b.relay = append(b.relay, other.relay...)
}
