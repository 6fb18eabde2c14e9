package dispatch

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/admission"
	"github.com/dogwoodroute/dogwoodroute/balancer"
	"github.com/dogwoodroute/dogwoodroute/internal/intrusive"
	"github.com/dogwoodroute/dogwoodroute/retry"
	"github.com/dogwoodroute/dogwoodroute/tables"
)

// request is a request that was not answered yet. Its attempts may outlive it.
type request struct {
	Request
	item      admission.Item
	retryFrom time.Duration // when it began to wait to be sent again
	attempts  [tables.MaxMaxAttempts]attempt
	sent      int // attempts sent
	live      int // attempts whose outcome is open
	notRun    int // attempts proven not to have run
	open      intrusive.Element[request]
}

// attempt is one send of a request.
type attempt struct {
	request *request
	id      AttemptID
	index   int
	target  string
	sent    time.Duration
	outcome balancer.Outcome // of its answer; valid when answered
	hedge   bool
	// held: it counts in the window.
	held bool
	// settled: its outcome is decided, and its events no longer change the request.
	settled  bool
	answered bool
	// free: its answer reported that no request waits at the target.
	free bool
	// hasRoom: its answer reported at most half of the queue at which targets shed.
	hasRoom bool
}

func newRequest(r Request) *request {
	r.MaxAttempts = min(max(1, r.MaxAttempts), tables.MaxMaxAttempts)
	lane := admission.LaneShort
	if r.Class == tables.ClassLong {
		lane = admission.LaneLong
	}
	return &request{Request: r, item: admission.Item{ID: uint64(r.ID), Rank: r.Priority.Rank(),
		Lane: lane, Deadline: r.Deadline}}
}

func (r *request) facts(now time.Duration) retry.RequestState {
	return retry.RequestState{Idempotent: r.Idempotent, Hedge: r.Hedge, Attempt: r.Attempt, MaxAttempts: r.MaxAttempts,
		Sent: r.sent, NotRun: r.notRun, Remaining: r.Deadline - now}
}
