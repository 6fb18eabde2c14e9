package dispatch

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/admission"
	"github.com/dogwoodroute/dogwoodroute/balancer"
	"github.com/dogwoodroute/dogwoodroute/internal/intrusive"
	"github.com/dogwoodroute/dogwoodroute/retry"
	"github.com/dogwoodroute/dogwoodroute/tables"
)

// request is a request that was not answered yet. Its attempts may end after it.
type request struct {
	Request
	item          admission.Item
	retryQueuedAt time.Duration // when it was last queued for a retry
	attempts      [tables.MaxAttemptsLimit]attempt
	sent          int // attempts sent
	openAttempts  int // attempts whose outcome is not decided
	notRun        int // attempts known not to have run
	open          intrusive.Element[request]
}

// attempt is one attempt of a request at one target.
type attempt struct {
	request *request
	id      AttemptID
	index   int
	target  string
	sentAt  time.Duration
	outcome balancer.Outcome // of its response; valid if responded
	hedge   bool
	// inWindow is true while the attempt counts in the admission window.
	inWindow bool
	// settled is true once the outcome is decided. Further events of the attempt
	// no longer change its request.
	settled   bool
	responded bool
	// noQueue is true if the response reported that no request waits at the target.
	noQueue bool
	// hasRoom is true if the response reported a queue of at most half the length
	// that the last shed response reported.
	hasRoom bool
}

func newRequest(r Request) *request {
	r.MaxAttempts = min(max(1, r.MaxAttempts), tables.MaxAttemptsLimit)
	lane := admission.LaneShort
	if r.Class == tables.ClassLong {
		lane = admission.LaneLong
	}
	return &request{Request: r, item: admission.Item{ID: uint64(r.ID), Rank: r.Priority.Rank(),
		Lane: lane, Deadline: r.Deadline}}
}

func (r *request) retryState(now time.Duration) retry.RequestState {
	return retry.RequestState{Idempotent: r.Idempotent, Hedge: r.Hedge, Attempt: r.Attempt, MaxAttempts: r.MaxAttempts,
		Sent: r.sent, NotRun: r.notRun, Remaining: r.Deadline - now}
}
