package admin

// PeerState is what this instance believes of a peer.
type PeerState string

// States of a peer.
const (
	PeerAlive     PeerState = "alive"
	PeerSuspected PeerState = "suspected" // silent for longer than usual
	PeerLost      PeerState = "lost"      // silent for long; may still be alive in a partition
	PeerLeaving   PeerState = "leaving"
)

// Peer is another instance.
type Peer struct {
	ID          string    `json:"id"`
	Incarnation string    `json:"incarnation"`
	State       PeerState `json:"state"`
	// LastContactMillis is the time since the last message, in milliseconds; -1
	// when there was none.
	LastContactMillis int64 `json:"last_heard_ms"`
	// Version and Digest are the configuration that the peer reported last.
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
}
