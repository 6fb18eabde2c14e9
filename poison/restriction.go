package poison

import (
	"cmp"
	"slices"
	"time"
)

// Restriction says how a request may run.
type Restriction uint8

// Standings.
const (
	Unrestricted Restriction = iota // like any other request
	TrialOnly                       // only under a lease
	Blocked                         // not at all
)

// crashesToBlock is the number of targets that must have broken with only one
// fingerprint in flight to block it without a trial.
const crashesToBlock = 2

// restriction derives how a fingerprint may run from its records. until is the end
// of a block.
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

// attributedCrash is a target that broke, and the time at which that is forgotten.
type attributedCrash struct {
	target   uint64
	forgetAt time.Duration
}

// attributedCrashesEnd returns the time from which fewer strikes are left than a
// block takes. Zero: there were never enough.
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
