package membership

import "time"

// Liveness is what the time since a peer's last heartbeat says.
type Liveness uint8

// Liveness values.
const (
	Alive     Liveness = iota
	Suspected          // no heartbeat for SuspectAfter
	Dead               // no heartbeat for DeadAfter
)

// String returns the name.
func (l Liveness) String() string { return [...]string{"alive", "suspected", "dead"}[l] }

// Peer is what is known of one instance.
type Peer struct {
	ID string
	// Incarnation is zero until the peer or a peer's table was heard.
	Incarnation   Incarnation
	FailureDomain string
	PeerAddress   string
	CallerAddress string
	AdminAddress  string
	Liveness      Liveness
	// SinceContact is the time since the last proof of life when the view was made.
	SinceContact time.Duration
	// Leaving is set by the peer's own notice or by the platform's list.
	Leaving bool
	// Load is the number of callers' requests in flight that the peer reported last.
	Load int
	// Version and Digest are the configuration that the peer announced last.
	Version uint64
	Digest  string
}
