package poison

import "time"

// record is a suspicion, block or clearing of a fingerprint. Times are since the
// start of this instance.
type record struct {
	id            uint64
	state         State
	crashedTarget uint64
	expiresAt     time.Duration // end of the suspicion or block
}

// maxLifetime returns the time after which a record in a state expires at the
// latest.
func (o Options) maxLifetime(s State) time.Duration {
	switch s {
	case StateSuspect:
		return o.Suspicion
	case StateBlocked:
		return o.BlockTime
	default:
		// A clearing must outlive all copies of the record that it clears.
		return 2*o.BlockTime + o.Suspicion
	}
}

// forgetAt returns the time from which a record is no longer needed, which may be
// after it expires.
func (o Options) forgetAt(r record) time.Duration {
	switch {
	case r.state == StateBlocked:
		return r.expiresAt + o.BlockTime // it stays a suspect after the block
	case r.state == StateSuspect && r.crashedTarget != 0:
		return r.expiresAt + max(0, o.BlockTime-o.Suspicion) // the attributed crash counts for as long as a block
	default:
		return r.expiresAt
	}
}
