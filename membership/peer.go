package membership

import "time"

// Liveness is the state of a peer according to the time since its last heartbeat.
type Liveness uint8

// Liveness values.
const (
	Alive     Liveness = iota
	Suspected          // no heartbeat for SuspectAfter
	Dead               // no heartbeat for DeadAfter
)

// String returns the name in lower case.
func (l Liveness) String() string { return [...]string{"alive", "suspected", "dead"}[l] }

// Peer is the known state of one instance.
type Peer struct {
	ID string
	// Incarnation is zero until a message from or about the peer was received.
	Incarnation   Incarnation
	FailureDomain string
	PeerAddress   string
	CallerAddress string
	AdminAddress  string
	Liveness      Liveness
	// SinceContact is the time between the last evidence that the peer runs and
	// the making of the view.
	SinceContact time.Duration
	// Leaving is set if the peer announced that it leaves or the platform's list
	// has it as leaving.
	Leaving bool
	// Load is the number of callers' requests in flight that the peer last reported.
	Load int
	// Version and Digest identify the configuration that the peer last announced.
	Version uint64
	Digest  string
}
