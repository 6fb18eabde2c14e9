package poison

import "time"

// Notice is the message about one record that instances send to each other.
type Notice struct {
	Fingerprint Fingerprint
	// ID identifies the record among those of the fingerprint. It is a random
	// number chosen by the instance that found the suspicion or block.
	ID    uint64
	State State
	// CrashedTarget is the hash of the target that broke a connection while only
	// this fingerprint was in flight there, or zero if there is none.
	CrashedTarget uint64
	// Expires is the time left until the record expires, negative after that. It
	// is relative because the instances have no common clock.
	Expires time.Duration
}
