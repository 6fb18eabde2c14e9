package fleet

import (
	"net/netip"

	"github.com/dogwoodroute/dogwoodroute/records"
)

// broadcast is the broadcast that an exchange carries, in addition to the members
// and the position that every exchange contains. The zero value stands for a plain
// exchange.
type broadcast struct {
	// sendChanges is true if the exchange contains the changes after changesAfter, which
	// the peer probably lacks.
	sendChanges  bool
	changesAfter records.Position
	// relay are the instances to which the peer forwards the broadcast.
	relay []netip.Addr
	// suspects are members that this instance does not reach, which the peer is asked to
	// confirm as down.
	suspects []netip.Addr
}

// merge adds another broadcast for the same peer.
func (b *broadcast) merge(other broadcast) {
	if other.sendChanges {
		if !b.sendChanges || other.changesAfter.Compare(b.changesAfter) < 0 {
			b.changesAfter = other.changesAfter
		}
		b.sendChanges = true
	}
	b.relay = append(b.relay, other.relay...)
	b.suspects = append(b.suspects, other.suspects...)
}
