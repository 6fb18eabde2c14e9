package fleet

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Member is an instance's statement about itself.
type Member struct {
	IP netip.Addr
	// Incarnation is a random number made at the start of the process.
	Incarnation uint32
	// Heartbeat increases while the process runs.
	Heartbeat uint32
	// Domain is the index of the failure domain in Options.Domains.
	Domain int
	State  MemberState
}

// MemberState is a set of flags.
type MemberState uint32

// Flags of a member.
const (
	// Leaving is set once the instance was told to stop.
	Leaving MemberState = 1 << iota
	// Ready is set while the instance can serve callers.
	Ready
	// Reading is set while the instance has recent answers from the store.
	Reading
	// StoreFailed is set while the store does not answer the instance.
	StoreFailed
	// Down is what others say of a member that does not answer them. A member
	// that runs answers with a later heartbeat.
	Down
)

// Has reports whether a flag is set.
func (s MemberState) Has(flag MemberState) bool { return s&flag != 0 }

// newer reports whether m says something later than old about the same instance.
func (m *Member) newer(old *Member) bool {
	if m.Incarnation != old.Incarnation {
		// Incarnations carry no order; the relay of an earlier one may arrive
		// late, and is then replaced by the next direct contact.
		return true
	}
	return int32(m.Heartbeat-old.Heartbeat) > 0
}

// readOrderHash is the place of a member among candidates for reading the store.
func (m *Member) readOrderHash() uint64 {
	ip := m.IP.As4()
	return xxhash.Sum64(ip[:])
}

// peer is what an instance knows of another one.
type peer struct {
	Member
	// lastSeen is when the heartbeat last increased.
	lastSeen time.Duration
	// failures counts exchanges that failed since the last one that succeeded.
	failures int
	// aliveUntil is until when it runs whatever others say: it was in contact.
	aliveUntil time.Duration
	// probeNotBefore is when it may be asked again because others reach it.
	probeNotBefore time.Duration
	// revision is the revision that it last reported.
	revision uint64
	// readOrder is the member's order, kept since it is a hash.
	readOrder uint64
	// transmissions counts how often the last change of this member was passed on.
	transmissions int
	// previousIncarnation is the incarnation before the present one.
	previousIncarnation uint32
}
