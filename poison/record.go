package poison

import "time"

// record is one suspicion, block or clearing. Times are on the clock of
// this instance.
type record struct {
	id            uint64
	state         State
	crashedTarget uint64
	expiresAt     time.Duration // end of the suspicion or block
}

// maxLifetime returns the longest validity of a record of a state.
func (o Options) maxLifetime(s State) time.Duration {
	switch s {
	case StateSuspect:
		return o.Suspicion
	case StateBlocked:
		return o.BlockTime
	default:
		// A clearing outlives every copy of what it clears.
		return 2*o.BlockTime + o.Suspicion
	}
}

// forgetAt returns when a record is no longer needed.
func (o Options) forgetAt(r record) time.Duration {
	switch {
	case r.state == StateBlocked:
		return r.expiresAt + o.BlockTime // then still a suspect
	case r.state == StateSuspect && r.crashedTarget != 0:
		return r.expiresAt + max(0, o.BlockTime-o.Suspicion) // the strike counts for as long as a block
	default:
		return r.expiresAt
	}
}
