package fleet

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodroute/dogwoodroute/records"
)

// Member is the state of an instance, as the instance itself or others report it.
type Member struct {
	IP netip.Addr
	// Incarnation is a random number that the process draws at its start.
	Incarnation uint32
	// Heartbeat increases while the process runs. The state with the later heartbeat
	// replaces the earlier one. It may wrap around.
	Heartbeat uint32
	// Domain is the index of the failure domain in Options.Domains.
	Domain int
	// Capacity is the processor time that the instance may use, in thousandths of a core.
	// 0 means that it is unknown.
	Capacity uint32
	State    MemberState
}

// MemberState is a set of flags.
type MemberState uint32

// Flags of a member.
const (
	// Leaving is set once the instance has begun to shut down.
	Leaving MemberState = 1 << iota
	// Ready is set while the instance can serve callers.
	Ready
	// Reading is set while the instance watches the store and has recent answers
	// from it.
	Reading
	// StoreFailed is set for a while after the store failed to answer the instance.
	StoreFailed
	// Down is set by others when the member does not answer them. A member that runs
	// refutes it with a later heartbeat.
	Down
	// Suspected is set only in messages, by an instance of another failure domain that does
	// not reach the member: the receiver is asked to confirm that it is down.
	Suspected
	// CutOff is set while no target answers the instance. Others serve its callers.
	CutOff
)

// Has reports whether at least one of the given flags is set.
func (s MemberState) Has(flag MemberState) bool { return s&flag != 0 }

// newer reports whether m is a later state of the same instance than old.
func (m *Member) newer(old *Member) bool {
	if m.Incarnation != old.Incarnation {
		// Incarnations are not ordered. A state of an earlier incarnation that is
		// forwarded late is replaced by the next exchange with the member itself.
		return true
	}
	return int32(m.Heartbeat-old.Heartbeat) > 0
}

// readOrderHash returns the key by which candidates for reading the store are sorted,
// in ascending order. It spreads the choice over the addresses.
func (m *Member) readOrderHash() uint64 {
	ip := m.IP.As4()
	return xxhash.Sum64(ip[:])
}

// peer is what this instance knows about another one. Its times are on the clock of
// this process.
type peer struct {
	Member
	// lastSeen is when a new state of the member last arrived, from it or from others.
	lastSeen time.Duration
	// failures counts the exchanges with the member that failed in a row.
	failures int
	// aliveUntil is the time until which reports that the member is down are ignored,
	// since there was direct contact.
	aliveUntil time.Duration
	// probeNotBefore is the earliest time of the next probe of the member.
	probeNotBefore time.Duration
	// storeFailedSeen is when the last state with StoreFailed arrived, 0 if none did.
	storeFailedSeen time.Duration
	// suspectedUntil is the time until which the report of another failure domain counts that
	// the member does not answer there.
	suspectedUntil time.Duration
	// position is the position of its records that the member last reported.
	position records.Position
	// implausibleDemand is set while figures of the member on demand are implausible.
	implausibleDemand bool
	// readOrder is the cached readOrderHash of the member.
	readOrder uint64
	// transmissions counts how often the last change of the member was sent to peers.
	transmissions int
	// reports compares the failure reports of the peer with those of this instance.
	reports reportSync
	// openQuestions counts the witnesses that are being asked whether the member is down.
	openQuestions int
	// previousIncarnation is the incarnation before the current one.
	previousIncarnation uint32
}
