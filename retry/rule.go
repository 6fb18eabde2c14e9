package retry

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/tables"
)

// RequestState is the state of a request on which the rules for retries and hedges
// depend.
type RequestState struct {
	Idempotent bool
	// Hedge is true when a second attempt may be sent while a slow one is running.
	Hedge bool
	// Attempt is the attempt number given by the caller, 1 for its first attempt.
	Attempt int
	// MaxAttempts limits the attempts that may have run. With 1 the request is sent
	// only once. Above 1, attempts that are proven not to have run do not count, but
	// there are at most tables.MaxAttemptsLimit attempts in total.
	MaxAttempts int
	// Sent is the number of attempts so far.
	Sent int
	// NotRun is the number of attempts that are proven not to have run.
	NotRun int
	// Remaining is the time left until the deadline.
	Remaining time.Duration
}

// MayHaveRun reports whether a target may have run the request.
func (s RequestState) MayHaveRun() bool { return s.NotRun < s.Sent }

// MayRetry reports whether a request whose last attempt failed may be sent
// again. lastNotRun is true when that attempt is proven not to have run.
func (s RequestState) MayRetry(lastNotRun bool) bool {
	switch {
	case s.Remaining <= 0 || s.Sent-s.NotRun >= s.MaxAttempts || s.Sent >= tables.MaxAttemptsLimit:
		return false
	case s.MaxAttempts == 1:
		return false
	case !s.Idempotent && s.MayHaveRun():
		return false
	case s.Attempt > 1: // the caller retries itself; allow one attempt at another target if nothing ran
		return lastNotRun && s.Sent == 1
	default:
		return s.Idempotent || lastNotRun
	}
}

// MayHedge reports whether a second attempt may be sent while the first is running.
func (s RequestState) MayHedge() bool {
	return s.Hedge && s.Idempotent && s.Attempt <= 1 && s.Sent == 1 && s.Sent < s.MaxAttempts && s.Remaining > 0
}
