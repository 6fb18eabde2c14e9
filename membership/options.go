package membership

import (
	"math/rand/v2"
	"time"
)

// Times of the protocol. Each instance starts 6 exchanges a second; shorter
// intervals would exceed the traffic budget of 22 KB/s at 20 instances.
const (
	DefaultInterval = 500 * time.Millisecond
	SuspectAfter    = 3 * time.Second
	DeadAfter       = 10 * time.Second
	// ForgetAfter is how long shares of fleet-wide budgets stay divided by an
	// instance that may only be out of contact.
	ForgetAfter = 10 * time.Minute
	// PauseGap is the time between ticks above which the process was paused.
	PauseGap = time.Second
	// DrainingTTL is how long a target counts as draining after it was seen so.
	DrainingTTL = 30 * time.Second
	// exchangeExpiry ends the wait for a partner whose answer was never reported.
	exchangeExpiry = 5 * time.Second
)

// Bounds of what is held and sent.
const (
	fanout              = 3  // partners of a round
	memberEntries       = 8  // member entries in one message
	drainingEntries     = 16 // draining targets in one message
	noticeEntries       = 4  // notices in one message
	fullNoticeEntries   = 256
	maxMembers          = 1024
	maxDraining         = 1024
	maxPastIncarnations = 4 // remembered earlier incarnations of one member
	maxFieldBytes       = 256
)

// MembersOptions configure Members.
type MembersOptions struct {
	// Self describes this instance. ID, Incarnation and PeerAddress are required.
	Self Peer
	// Rand is the source of all random choices. Required.
	Rand *rand.Rand
	// Load returns the callers' requests in flight at this instance. Default none.
	Load func() int
	// Interval is the time between rounds of exchanges, before jitter of a
	// tenth. Default 500 ms.
	Interval time.Duration
}
