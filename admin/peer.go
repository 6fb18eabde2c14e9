package admin

// PeerState is the state of a peer as seen by this instance.
type PeerState string

// States of a peer.
const (
	PeerAlive     PeerState = "alive"
	PeerSuspected PeerState = "suspected" // no contact for longer than usual
	PeerLost      PeerState = "lost"      // no contact for a long time; may be alive in another part of a partitioned network
	PeerLeaving   PeerState = "leaving"
)

// Peer is another instance as seen by this instance.
type Peer struct {
	ID          string    `json:"id"`
	Incarnation string    `json:"incarnation"`
	State       PeerState `json:"state"`
	// LastContactMillis is the time since the last evidence that the peer runs, a
	// message or its entry in the list of instances, in milliseconds.
	LastContactMillis int64 `json:"last_heard_ms"`
	// Version and Digest identify the configuration that the peer reported last.
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
}
