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
	Unrestricted        Restriction = iota // like any other request
	TrialOnly                 // only under a lease
	Blocked                     // not at all
)

// strikesToBlock is the number of targets that must have broken with only one
// fingerprint in flight to block it without a trial.
const strikesToBlock = 2

// standing derives how a fingerprint may run from its records. until is the end
// of a block.
func (o Options) standing(now time.Duration, records []record) (s Restriction, until time.Duration) {
	for _, r := range records {
		switch {
		case r.state == StateCleared || o.forget(r) <= now:
		case r.state == StateBlocked && now < r.expires:
			s, until = Blocked, max(until, r.expires)
		case r.state == StateBlocked || now < r.expires:
			s = max(s, TrialOnly)
		}
	}
	if end := o.strikesEnd(records); now < end {
		s, until = Blocked, max(until, end)
	}
	return s, until
}

// strike is a target that broke, and the time at which that is forgotten.
type strike struct {
	target uint64
	end    time.Duration
}

// strikesEnd returns the time from which fewer strikes are left than a
// block takes. Zero: there were never enough.
func (o Options) strikesEnd(records []record) time.Duration {
	var strikes []strike
	for _, r := range records {
		if r.strike == 0 || r.state == StateCleared {
			continue
		}
		at := slices.IndexFunc(strikes, func(s strike) bool { return s.target == r.strike })
		if at < 0 {
			strikes = append(strikes, strike{r.strike, o.forget(r)})
		} else {
			strikes[at].end = max(strikes[at].end, o.forget(r))
		}
	}
	if len(strikes) < strikesToBlock {
		return 0
	}
	slices.SortFunc(strikes, func(a, b strike) int { return cmp.Compare(b.end, a.end) })
	return strikes[strikesToBlock-1].end
}
