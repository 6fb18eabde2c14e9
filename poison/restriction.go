package poison

import (
	"cmp"
	"slices"
	"time"
)

// Restriction states how a request may run. A greater value is stricter.
type Restriction uint8

// Values of Restriction.
const (
	Unrestricted Restriction = iota // like any other request
	TrialOnly                       // only as a trial, under leases
	Blocked                         // not at all
)

// crashesToBlock is the number of crashes of different targets that must be
// attributed to a fingerprint to block it without a trial.
const crashesToBlock = 2

// restriction returns the restriction that follows from the records of a
// fingerprint. blockedUntil is the end of the block, or zero if it is not blocked.
func (o Options) restriction(now time.Duration, records []record) (restriction Restriction, blockedUntil time.Duration) {
	for _, r := range records {
		switch {
		case r.state == StateCleared || o.forgetAt(r) <= now:
		case r.state == StateBlocked && now < r.expiresAt:
			restriction, blockedUntil = Blocked, max(blockedUntil, r.expiresAt)
		case r.state == StateBlocked || now < r.expiresAt:
			restriction = max(restriction, TrialOnly)
		}
	}
	if end := o.attributedCrashesEnd(records); now < end {
		restriction, blockedUntil = Blocked, max(blockedUntil, end)
	}
	return restriction, blockedUntil
}

// attributedCrash is a target that broke a connection while only one fingerprint
// was in flight there, and the time until which this counts.
type attributedCrash struct {
	target   uint64
	forgetAt time.Duration
}

// attributedCrashesEnd returns the time from which fewer than crashesToBlock
// attributed crashes count, or zero if the records have too few of them.
func (o Options) attributedCrashesEnd(records []record) time.Duration {
	var crashes []attributedCrash
	for _, r := range records {
		if r.crashedTarget == 0 || r.state == StateCleared {
			continue
		}
		at := slices.IndexFunc(crashes, func(s attributedCrash) bool { return s.target == r.crashedTarget })
		if at < 0 {
			crashes = append(crashes, attributedCrash{r.crashedTarget, o.forgetAt(r)})
		} else {
			crashes[at].forgetAt = max(crashes[at].forgetAt, o.forgetAt(r))
		}
	}
	if len(crashes) < crashesToBlock {
		return 0
	}
	slices.SortFunc(crashes, func(a, b attributedCrash) int { return cmp.Compare(b.forgetAt, a.forgetAt) })
	return crashes[crashesToBlock-1].forgetAt
}
