package membership

import (
	"math/rand/v2"
	"time"
)

// Times of the protocol.
const (
	// DefaultInterval is the default time between rounds. With it, each instance
	// starts 6 exchanges per second. Shorter intervals would exceed the traffic
	// budget of 22 KB/s at 20 instances.
	DefaultInterval = 500 * time.Millisecond
	// SuspectAfter is the silence after which a peer is suspected to be dead.
	SuspectAfter = 3 * time.Second
	// DeadAfter is the silence after which a peer is considered dead.
	DeadAfter = 10 * time.Second
	// ForgetAfter is how long an instance without contact that left or was removed
	// from the list still counts as possibly alive: it may only be partitioned
	// and still use its share of the fleet-wide budgets.
	ForgetAfter = 10 * time.Minute
	// PauseGap is the time between ticks, messages and lists above which the
	// process counts as paused.
	PauseGap = time.Second
	// DrainingTTL is how long a target counts as draining after it was last seen
	// draining.
	DrainingTTL = 30 * time.Second
	// exchangeExpiry is the time after which a peer may be selected again although
	// the end of the last exchange was not reported.
	exchangeExpiry = 5 * time.Second
)

// Bounds of the state and the messages.
const (
	fanout              = 3   // peers contacted in one round or push
	memberEntries       = 8   // member entries in one message
	drainingEntries     = 16  // draining targets in one message
	noticeEntries       = 4   // notices in one message
	fullNoticeEntries   = 256 // notices in one full message
	maxMembers          = 1024
	maxDraining         = 1024
	maxPastIncarnations = 4 // for each member
	maxFieldBytes       = 256
)

// MembersOptions configure Members.
type MembersOptions struct {
	// Self describes this instance. ID, Incarnation and PeerAddress are required.
	Self Peer
	// Rand is the source of all random choices. Required.
	Rand *rand.Rand
	// Load returns the number of callers' requests in flight at this instance.
	// Default: always 0.
	Load func() int
	// Interval is the time between rounds of exchanges; jitter changes it by up
	// to 10%. Default: DefaultInterval.
	Interval time.Duration
}
