package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/dogwoodroute/dogwoodroute/placement"
)

// maxRejections bounds the sends that targets rejected, beyond the attempts of
// the route.
const maxRejections = 2

// finishedAttempt is the end of one attempt.
type finishedAttempt struct {
	attempt *attempt
	attemptEnd
}

// forwarder is a request while it is sent to targets. The goroutine of run owns it.
type forwarder struct {
	*exchange
	ctx context.Context
	// finished receives attempts that ended, chosen the targets of new ones.
	finished         chan finishedAttempt
	selected         chan selection
	active           int
	selecting        bool
	lastHedgePlanned bool // the last hedge has been planned
	hedgeTimer       *time.Timer
	// targetFailure is the best final answer so far.
	targetFailure *response
}

// forward sends the request to targets until there is a final answer.
func (x *exchange) forward(ctx context.Context) *response {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends the attempts that lost
	limit := x.request.Route.MaxAttempts + maxRejections + 1
	r := &forwarder{exchange: x, ctx: ctx, finished: make(chan finishedAttempt, limit), selected: make(chan selection, limit),
		hedgeTimer: time.NewTimer(time.Hour)}
	defer r.hedgeTimer.Stop()
	defer r.abandon()
	r.startSelection(firstSend)
	for {
		select {
		case s := <-r.selected:
			r.selecting, r.lastReports = false, s.reports
			switch {
			case s.refusal == nil:
				r.start(s.reservation)
			case r.active == 0:
				return r.finalAnswer(s.refusal)
			default:
				r.planLastHedge()
			}
		case f := <-r.finished:
			r.active--
			if final := r.recordEnd(f); final != nil {
				return final
			}
			if f.outcome == attemptTimedOut || ctx.Err() != nil {
				return r.expired()
			}
			if r.mayRetry() && !r.isBlocked() {
				r.startSelection(retrying)
			} else if r.active == 0 && !r.selecting {
				return r.finalAnswer(nil)
			}
		case <-r.hedgeTimer.C:
			if x.request.Route.Idempotent && r.mayRetry() {
				r.startSelection(hedging)
			}
		case <-ctx.Done():
			return r.expired()
		}
	}
}

// startSelection looks for a target in a goroutine of its own.
func (r *forwarder) startSelection(p purpose) {
	r.selecting = true
	request := r.request // the copy keeps Tried as it is now
	if r.countAttempts(func(a *attempt) bool { return a.outcome != attemptNotSent }) == 0 {
		p = firstSend // no target has got it yet
	}
	go func() { r.selected <- r.selectTarget(r.ctx, &request, p) }()
}

// abandon gives back the target that a search under way may still find.
func (r *forwarder) abandon() {
	if !r.selecting {
		return
	}
	go func() {
		if s := <-r.selected; s.refusal == nil {
			r.gateway.scheduler.recordEnd(s.reservation, r.request.Route, placement.Outcome{}, placement.Load{})
		}
	}()
}

// start sends the request to a target.
func (r *forwarder) start(g reservation) {
	a := &attempt{reservation: g, number: len(r.attempts) + 1}
	r.attempts = append(r.attempts, a)
	r.request.Tried = append(r.request.Tried, g.Target.Incarnation())
	r.active++
	r.hedgeTimer.Reset(g.HedgeAfter)
	message := r.outgoingRequest(a)
	go func() {
		e := r.send(r.ctx, message)
		r.gateway.scheduler.recordEnd(g, r.request.Route, e.placementResult(g), e.load)
		r.finished <- finishedAttempt{attempt: a, attemptEnd: e}
	}()
}

// lastHedgeShare is the share of the time left, after a hedge found no target, at
// which the request is hedged once more, so that it is not lost with a target
// that hangs. Asking more often would take the repeats that rejected requests need.
const lastHedgeShare = 0.4

// planLastHedge plans the last hedge of the request.
func (r *forwarder) planLastHedge() {
	if r.lastHedgePlanned {
		return
	}
	r.lastHedgePlanned = true
	left := r.deadline - r.gateway.options.Now()
	r.hedgeTimer.Reset(time.Duration(lastHedgeShare * float64(left)))
}

// recordEnd looks at an attempt that ended and returns the answer if it is final.
func (r *forwarder) recordEnd(f finishedAttempt) *response {
	a := f.attempt
	a.attemptEnd, a.finished = f.attemptEnd, true
	r.gateway.options.Metrics.Attempt(string(a.outcome))
	switch a.outcome {
	case attemptServed:
		r.completed(a.Target)
		return a.response
	case attemptBroken:
		r.checkCrash(a.Target)
	}
	if a.response != nil && r.targetFailure == nil {
		r.targetFailure = a.response
	}
	return nil
}

// countAttempts counts the attempts that are over, or under way, and fulfil a condition.
func (r *forwarder) countAttempts(is func(*attempt) bool) int {
	n := 0
	for _, a := range r.attempts {
		if is(a) {
			n++
		}
	}
	return n
}

// mayRetry reports whether the request may go to one more target.
func (r *forwarder) mayRetry() bool {
	if r.selecting || r.ctx.Err() != nil {
		return false
	}
	running := r.countAttempts(func(a *attempt) bool { return !a.outcome.didNotRun() })
	if !r.request.Route.Idempotent && running > 0 {
		return false
	}
	return running < r.request.Route.MaxAttempts && len(r.attempts) < r.request.Route.MaxAttempts+maxRejections
}

// isBlocked reports whether the request took down several targets, the last of
// them perhaps through another instance.
func (r *forwarder) isBlocked() bool {
	left, err := r.blockedFor(r.ctx)
	return err != nil || left > 0
}

// finalAnswer returns the answer when no further attempt is made.
func (r *forwarder) finalAnswer(refused *response) *response {
	mayRun := r.countAttempts(func(a *attempt) bool { return !a.outcome.didNotRun() }) > 0
	switch {
	case r.targetFailure != nil && mayRun:
		return r.targetFailure
	case mayRun:
		return newFailure(http.StatusBadGateway, outcomeBroken)
	case refused != nil:
		return refused
	default:
		_, retryAfter, err := r.gateway.scheduler.waitLimits(context.WithoutCancel(r.ctx), &r.request)
		if err != nil {
			retryAfter = defaultRetryAfter
		}
		return newRefusal(outcomeNoRoom, retryAfter)
	}
}

// expired returns the answer when the time is over or the caller has gone.
func (r *forwarder) expired() *response {
	if r.caller.Context().Err() != nil {
		return nil
	}
	if r.countAttempts(func(a *attempt) bool { return !a.outcome.didNotRun() }) > 0 {
		return newFailure(http.StatusGatewayTimeout, outcomeTimeout)
	}
	return newRefusal(outcomeLate, defaultRetryAfter)
}
