package poison

import "time"

// Notice tells peers of one record.
type Notice struct {
	Fingerprint Fingerprint
	// ID identifies the record within the fingerprint: a random number, made
	// by the instance that raised the suspicion or block.
	ID    uint64
	State State
	// CrashedTarget identifies the target that broke with only this fingerprint in
	// flight. Zero: none.
	CrashedTarget uint64
	// Expires is the time left, negative once expired. It is relative because
	// instances share no clock.
	Expires time.Duration
}
