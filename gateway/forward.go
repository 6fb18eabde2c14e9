package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/contain"
	"github.com/dogwoodroute/dogwoodroute/placement"
	"github.com/dogwoodroute/dogwoodroute/quarantine"
	"github.com/dogwoodroute/dogwoodroute/relay"
)

// maxRejections is the number of sends beyond the attempts of the route that are
// allowed because targets did not run the request.
const maxRejections = 2

// finishedAttempt is an attempt with its end.
type finishedAttempt struct {
	attempt *attempt
	attemptEnd
}

// forwarder sends one request to targets, with retries and hedges. The goroutine
// that runs forward owns it.
type forwarder struct {
	*exchange
	ctx context.Context
	// finished receives attempts that ended, selected the targets for new ones.
	finished         chan finishedAttempt
	selected         chan selection
	checked          chan struct{} // receives a value after each crash check
	active           int           // attempts in progress
	checks           int           // crash checks in progress
	postponed        bool          // a retry waits for the crash checks
	selecting        bool
	lastHedgePlanned bool
	refusedByPeer    bool // an instance that got the request refused it
	hedgeTimer       *time.Timer
	// targetFailure is the first error response of a target that may be forwarded.
	// The caller gets it if no attempt succeeds.
	targetFailure *response
}

// forward sends the request to targets until there is a final response, which it
// returns. It returns nil if the caller is gone.
func (x *exchange) forward(ctx context.Context) *response {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // cancels attempts that are still in progress
	limit := x.request.Route.MaxAttempts + maxRejections + 1
	r := &forwarder{exchange: x, ctx: ctx, finished: make(chan finishedAttempt, limit), selected: make(chan selection, limit),
		checked: make(chan struct{}, limit), hedgeTimer: time.NewTimer(time.Hour)}
	defer r.hedgeTimer.Stop()
	defer r.abandon()
	final := r.run()
	r.recordRefusal(final)
	return final
}

// run sends the request until there is a final response. It returns nil if the caller is
// gone.
func (r *forwarder) run() *response {
	r.startSelection(firstSend)
	for {
		select {
		case s := <-r.selected:
			r.selecting, r.lastReports = false, s.reports
			r.releaseIfUnwanted(&s)
			expected := r.awaitResponse(&s)
			switch {
			case s.refusal == nil && s.peer.IsValid():
				r.startRelay(s.peer, expected)
			case s.refusal == nil:
				r.startAttempt(s.reservation, expected)
			case r.active == 0:
				return r.finalResponse(s.refusal)
			default:
				r.planLastHedge()
			}
		case f := <-r.finished:
			r.active--
			if final := r.recordEnd(f); final != nil {
				return final
			}
			if f.outcome == attemptTimedOut || r.ctx.Err() != nil {
				return r.expired()
			}
			if !r.retry() && r.active == 0 && !r.selecting {
				return r.finalResponse(nil)
			}
		case <-r.checked:
			r.checks--
			if r.postponed && !r.retry() && r.active == 0 && !r.selecting {
				return r.finalResponse(nil)
			}
		case <-r.hedgeTimer.C:
			if r.request.Route.Idempotent && r.mayRetry() && !r.awaitsChecks() {
				r.startSelection(hedging)
			}
		case <-r.ctx.Done():
			return r.expired()
		}
	}
}

// recordRefusal records a final refusal of a request that targets rejected and none has
// run: it found no room, although it was sent.
func (r *forwarder) recordRefusal(final *response) {
	if final == nil || final.outcome != outcomeNoRoom && final.outcome != outcomeLate || r.mayHaveRun() {
		return
	}
	if r.countAttempts(func(a *attempt) bool { return a.outcome == attemptRejected }) > 0 {
		r.gateway.scheduler.recordRefusedAfterStart(r.request, r.attempts[0].sentAt)
	}
}

// startSelection selects a target in another goroutine, which sends it to selected.
func (r *forwarder) startSelection(p purpose) {
	r.selecting = true
	request := r.request // a copy, since later attempts change Tried
	triedPeers := r.triedPeers()
	if r.countAttempts(func(a *attempt) bool { return !a.outcome.didNotArrive() }) == 0 {
		p = firstSend // no target has received it yet
	}
	go func() {
		s := selection{refusal: r.stoppedRefusal()}
		_ = contain.Run("choice of a target", r.gateway.options.OnPanic, func() { s = r.selectTarget(r.ctx, &request, p, triedPeers) })
		r.selected <- s
	}()
}

// releaseIfUnwanted replaces a selected target by a refusal if the request must not be
// sent any more: since its arrival it has been blocked, or a planned stop has begun that
// may cut its first run. It may have waited for the target, or this is a hedge.
func (r *forwarder) releaseIfUnwanted(s *selection) {
	if s.refusal != nil {
		return
	}
	blocked, err := r.blockedFor(r.ctx)
	switch {
	case err != nil:
		s.refusal = r.stoppedRefusal()
	case blocked > 0:
		s.refusal = newRefusal(outcomeSuspect, blocked)
	case r.gateway.mayOutliveStop(r.deadline) && !r.mayHaveRun():
		s.refusal = newRefusal(outcomeStopped, leavingRetryDelay)
	default:
		return
	}
	r.releaseSelected(*s)
}

// awaitResponse adds the response of a selected target to those that are awaited, and returns the
// bytes that it is expected to need. If it would find no memory, the target is replaced by a
// refusal.
func (r *forwarder) awaitResponse(s *selection) (expected int64) {
	if s.refusal != nil {
		return 0
	}
	g := r.gateway
	expected, ok := g.responseSizes.begin(r.request.Route.Name, g.memory.responseFits)
	if !ok {
		s.refusal = newRefusal(outcomeNoRoom, defaultRetryAfter)
		r.releaseSelected(*s)
	}
	return expected
}

// releaseSelected gives up a selected target or instance to which the request was not sent.
func (r *forwarder) releaseSelected(s selection) {
	if s.peer.IsValid() {
		r.gateway.scheduler.relayEnded(r.request.Service, s.peer, relay.Abandoned)
		return
	}
	r.gateway.targetBodies.release(s.Target.Incarnation(), r.bodyBytes)
	r.gateway.scheduler.recordEnd(s.reservation, r.request.Route, placement.Outcome{}, placement.Load{})
}

// abandon releases the target that a selection in progress may still reserve.
func (r *forwarder) abandon() {
	if !r.selecting {
		return
	}
	go func() {
		if s := <-r.selected; s.refusal == nil {
			r.releaseSelected(s)
		}
	}()
}

// startAttempt sends the request to a reserved target in another goroutine. expected is the
// result of awaitResponse.
func (r *forwarder) startAttempt(res reservation, expected int64) {
	afterFailure := r.failedTargets > 0 || r.countAttempts(func(a *attempt) bool { return a.outcome == attemptBroken }) > 0
	a := &attempt{reservation: res, number: len(r.attempts) + 1, maxRuns: 1, afterFailure: afterFailure}
	r.attempts = append(r.attempts, a)
	r.request.Tried = append(r.request.Tried, res.Target.Incarnation())
	r.active++
	r.hedgeTimer.Reset(res.HedgeAfter)
	outgoing := r.outgoingRequest(a)
	r.runAttempt(a, expected, func(arrived func()) attemptEnd { return r.send(r.ctx, outgoing, arrived) }, func(e attemptEnd) {
		r.gateway.targetBodies.release(res.Target.Incarnation(), r.bodyBytes)
		if e.advised {
			r.gateway.scheduler.recordAdvice(res.Target.Incarnation(), res.sentAt, e.advice)
		}
		r.gateway.scheduler.recordEnd(res, r.request.Route, e.placementOutcome(res), e.load)
	})
}

// runAttempt carries out an attempt in another goroutine, records its end and sends it to
// finished. arrived, which send calls, ends the wait for the bytes of awaitResponse.
func (r *forwarder) runAttempt(a *attempt, expected int64, send func(arrived func()) attemptEnd, record func(attemptEnd)) {
	arrived := sync.OnceFunc(func() { r.gateway.responseSizes.end(expected) })
	go func() {
		defer arrived()
		var e attemptEnd
		if err := contain.Run("attempt", r.gateway.options.OnPanic, func() { e = send(arrived) }); err != nil {
			e = attemptEnd{outcome: attemptBroken, err: err, endedAt: r.gateway.options.Now()}
		}
		record(e)
		r.finished <- finishedAttempt{attempt: a, attemptEnd: e}
	}()
}

// lastHedgeShare is the part of the remaining time after which a request is hedged
// once more if a hedge found no target. Without it the request would fail if its
// target hangs. More frequent hedges would use up the retry budget that rejected
// requests need.
const lastHedgeShare = 0.4

// planLastHedge sets the timer for the last hedge of the request, once.
func (r *forwarder) planLastHedge() {
	if r.lastHedgePlanned {
		return
	}
	r.lastHedgePlanned = true
	remaining := r.deadline - r.gateway.options.Now()
	r.hedgeTimer.Reset(time.Duration(lastHedgeShare * float64(remaining)))
}

// recordEnd records the end of an attempt and returns its response if the target
// served the request, otherwise nil.
func (r *forwarder) recordEnd(f finishedAttempt) *response {
	a := f.attempt
	a.attemptEnd, a.finished = f.attemptEnd, true
	r.gateway.options.Metrics.Attempt(string(a.outcome))
	if a.response != nil && !a.peer.IsValid() {
		a.response.target = a.Target.Incarnation()
	}
	switch a.outcome {
	case attemptServed:
		r.gateway.responseSizes.observe(r.request.Route.Name, a.response.body.Len())
		r.completed(a.Target)
		return a.response
	case attemptRelayed:
		return a.response
	case attemptRefused:
		if r.active == 0 && !r.mayHaveRun() {
			return a.response
		}
		r.refusedByPeer = true
		return nil
	case attemptBroken:
		if a.peer.IsValid() {
			return nil // that instance checks the targets
		}
		r.checks++
		r.checkCrash(a, true, func() { r.checked <- struct{}{} })
	}
	if a.response != nil && r.targetFailure == nil {
		r.targetFailure = a.response
	}
	return nil
}

// countAttempts returns the number of attempts, in progress or finished, that match.
func (r *forwarder) countAttempts(match func(*attempt) bool) int {
	n := 0
	for _, a := range r.attempts {
		if match(a) {
			n++
		}
	}
	return n
}

// possibleRuns returns the number of targets that may have run the request, in attempts
// that are in progress or finished.
func (r *forwarder) possibleRuns() int {
	n := 0
	for _, a := range r.attempts {
		if !a.outcome.didNotRun() {
			n += a.maxRuns
		}
	}
	return n
}

// mayHaveRun reports whether any attempt may have run the request.
func (r *forwarder) mayHaveRun() bool { return r.possibleRuns() > 0 }

// mayRetry reports whether one more attempt is allowed. A request that is not
// idempotent may be retried only if no attempt so far can have run it.
func (r *forwarder) mayRetry() bool {
	if r.selecting || r.ctx.Err() != nil || r.refusedByPeer {
		return false
	}
	if r.countAttempts(func(a *attempt) bool { return a.outcome == attemptNoMemory }) > 0 {
		return false // another target's response would not fit either
	}
	runs := r.possibleRuns()
	if !r.request.Route.Idempotent && runs > 0 {
		return false
	}
	return runs < r.maxRuns() && len(r.attempts) < r.request.Route.MaxAttempts+maxRejections
}

// retry starts the selection of a target for another attempt, and reports whether it
// did or will do so after the crash checks in progress.
func (r *forwarder) retry() bool {
	r.postponed = false
	if !r.mayRetry() {
		return false
	}
	if blocked, err := r.blockedFor(r.ctx); err != nil || blocked > 0 {
		return false
	}
	if r.postponed = r.awaitsChecks(); !r.postponed {
		r.startSelection(retrying)
	}
	return true
}

// awaitsChecks reports whether the crash checks in progress decide if the request is
// blocked. Without the wait a request could crash a target with each of its attempts.
func (r *forwarder) awaitsChecks() bool {
	limit := quarantine.CrashLimit
	if r.gateway.options.Isolated() {
		limit = quarantine.IsolatedCrashLimit
	}
	return r.checks > 0 && r.failedTargets+r.checks >= limit
}

// finalResponse returns the response when no further attempt is made. refusal is the
// result of the last selection, or nil if there was none after the last attempt.
func (r *forwarder) finalResponse(refusal *response) *response {
	mayHaveRun := r.mayHaveRun()
	switch {
	case r.targetFailure != nil && mayHaveRun:
		return r.targetFailure
	case mayHaveRun:
		return newFailure(http.StatusBadGateway, outcomeBroken)
	case refusal != nil:
		return refusal
	default:
		_, retryAfter, err := r.gateway.scheduler.waitLimits(context.WithoutCancel(r.ctx), &r.request)
		if err != nil {
			retryAfter = defaultRetryAfter
		}
		return newRefusal(outcomeNoRoom, retryAfter)
	}
}

// expired returns the response when the deadline has passed, or nil if the caller
// is gone. The targets of open attempts may have crashed without closing the connection.
func (r *forwarder) expired() *response {
	for _, a := range r.attempts {
		if a.peer.IsValid() {
			continue
		}
		if !a.finished || a.outcome == attemptTimedOut || a.outcome == attemptCancelled {
			r.checkCrash(a, false, func() {})
		}
	}
	if r.caller.Context().Err() != nil {
		return nil
	}
	if r.mayHaveRun() {
		return newFailure(http.StatusGatewayTimeout, outcomeTimeout)
	}
	return newRefusal(outcomeLate, defaultRetryAfter)
}
