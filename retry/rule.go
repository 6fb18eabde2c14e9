package retry

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/tables"
)

// RequestState are what the rules need to know of a request.
type RequestState struct {
	Idempotent bool
	// Hedge allows a second attempt beside a slow one.
	Hedge bool
	// Attempt is the number that the caller gave, 1 for its first.
	Attempt int
	// MaxAttempts bounds the sends that may have run. With 1 there is only one
	// send; above 1, sends that are proven not to have run do not count, up to
	// tables.MaxMaxAttempts sends in all.
	MaxAttempts int
	// Sent counts the sends so far.
	Sent int
	// NotRun counts the sends that are proven not to have run.
	NotRun int
	// Remaining is the time left until the deadline.
	Remaining time.Duration
}

// MayHaveRun reports whether any send may have run the request.
func (s RequestState) MayHaveRun() bool { return s.NotRun < s.Sent }

// MayResend reports whether a request whose last attempt failed may be sent
// again. lastNotRun says that this attempt is proven not to have run.
func (s RequestState) MayResend(lastNotRun bool) bool {
	switch {
	case s.Remaining <= 0 || s.Sent-s.NotRun >= s.MaxAttempts || s.Sent >= tables.MaxMaxAttempts:
		return false
	case s.MaxAttempts == 1:
		return false
	case !s.Idempotent && s.MayHaveRun():
		return false
	case s.Attempt > 1: // the caller repeats it already; only a move is allowed, once
		return lastNotRun && s.Sent == 1
	default:
		return s.Idempotent || lastNotRun
	}
}

// MayHedge reports whether a second attempt may be sent beside the first.
func (s RequestState) MayHedge() bool {
	return s.Hedge && s.Idempotent && s.Attempt <= 1 && s.Sent == 1 && s.Sent < s.MaxAttempts && s.Remaining > 0
}
