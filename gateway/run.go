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

// finish is the end of one attempt.
type finish struct {
	attempt *attempt
	ending
}

// race is a request while it is sent to targets. The goroutine of run owns it.
type race struct {
	*exchange
	ctx context.Context
	// finished receives attempts that ended, chosen the targets of new ones.
	finished chan finish
	chosen   chan selection
	active   int
	choosing bool
	rescued  bool // the last hedge has been planned
	hedge    *time.Timer
	// last is the best final answer so far.
	last *answer
}

// run sends the request to targets until there is a final answer.
func (x *exchange) run(ctx context.Context) *answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends the attempts that lost
	limit := x.request.Route.MaxAttempts + maxRejections + 1
	r := &race{exchange: x, ctx: ctx, finished: make(chan finish, limit), chosen: make(chan selection, limit),
		hedge: time.NewTimer(time.Hour)}
	defer r.hedge.Stop()
	defer r.abandon()
	r.choose(firstSend)
	for {
		select {
		case s := <-r.chosen:
			r.choosing, r.surveyed = false, s.reports
			switch {
			case s.refused == nil:
				r.start(s.grant)
			case r.active == 0:
				return r.conclude(s.refused)
			default:
				r.armRescue()
			}
		case f := <-r.finished:
			r.active--
			if final := r.take(f); final != nil {
				return final
			}
			if f.outcome == attemptTimedOut || ctx.Err() != nil {
				return r.expired()
			}
			if r.mayRepeat() && !r.suspected() {
				r.choose(retrying)
			} else if r.active == 0 && !r.choosing {
				return r.conclude(nil)
			}
		case <-r.hedge.C:
			if x.request.Route.Idempotent && r.mayRepeat() {
				r.choose(hedging)
			}
		case <-ctx.Done():
			return r.expired()
		}
	}
}

// choose looks for a target in a goroutine of its own.
func (r *race) choose(p purpose) {
	r.choosing = true
	request := r.request // the copy keeps Tried as it is now
	if r.sends(func(a *attempt) bool { return a.outcome != attemptNotSent }) == 0 {
		p = firstSend // no target has got it yet
	}
	go func() { r.chosen <- r.find(r.ctx, &request, p) }()
}

// abandon gives back the target that a search under way may still find.
func (r *race) abandon() {
	if !r.choosing {
		return
	}
	go func() {
		if s := <-r.chosen; s.refused == nil {
			r.gateway.desk.ended(s.grant, r.request.Route, placement.Outcome{}, placement.Load{})
		}
	}()
}

// start sends the request to a target.
func (r *race) start(g grant) {
	a := &attempt{grant: g, number: len(r.attempts) + 1}
	r.attempts = append(r.attempts, a)
	r.request.Tried = append(r.request.Tried, g.Target.Incarnation())
	r.active++
	r.hedge.Reset(g.HedgeAfter)
	message := r.message(a)
	go func() {
		e := r.send(r.ctx, message)
		r.gateway.desk.ended(g, r.request.Route, e.result(g), e.load)
		r.finished <- finish{attempt: a, ending: e}
	}()
}

// rescueShare is the share of the time left, after a hedge found no target, at
// which the request is hedged once more, so that it is not lost with a target
// that hangs. Asking more often would take the repeats that rejected requests need.
const rescueShare = 0.4

// armRescue plans the last hedge of the request.
func (r *race) armRescue() {
	if r.rescued {
		return
	}
	r.rescued = true
	left := r.limit - r.gateway.options.Now()
	r.hedge.Reset(time.Duration(rescueShare * float64(left)))
}

// take looks at an attempt that ended and returns the answer if it is final.
func (r *race) take(f finish) *answer {
	a := f.attempt
	a.ending, a.over = f.ending, true
	r.gateway.options.Metrics.Attempt(string(a.outcome))
	switch a.outcome {
	case attemptServed:
		r.completed(a.Target)
		return a.answer
	case attemptBroken:
		r.checkCrash(a.Target)
	}
	if a.answer != nil && r.last == nil {
		r.last = a.answer
	}
	return nil
}

// sends counts the attempts that are over, or under way, and fulfil a condition.
func (r *race) sends(is func(*attempt) bool) int {
	n := 0
	for _, a := range r.attempts {
		if is(a) {
			n++
		}
	}
	return n
}

// mayRepeat reports whether the request may go to one more target.
func (r *race) mayRepeat() bool {
	if r.choosing || r.ctx.Err() != nil {
		return false
	}
	running := r.sends(func(a *attempt) bool { return !a.outcome.safeToRepeat() })
	if !r.request.Route.Idempotent && running > 0 {
		return false
	}
	return running < r.request.Route.MaxAttempts && len(r.attempts) < r.request.Route.MaxAttempts+maxRejections
}

// suspected reports whether the request took down several targets, the last of
// them perhaps through another instance.
func (r *race) suspected() bool {
	left, err := r.blocked(r.ctx)
	return err != nil || left > 0
}

// conclude returns the answer when no further attempt is made.
func (r *race) conclude(refused *answer) *answer {
	mayRun := r.sends(func(a *attempt) bool { return !a.outcome.safeToRepeat() }) > 0
	switch {
	case r.last != nil && mayRun:
		return r.last
	case mayRun:
		return mayHaveRun(http.StatusBadGateway, outcomeBroken)
	case refused != nil:
		return refused
	default:
		_, retryAfter, err := r.gateway.desk.patience(context.WithoutCancel(r.ctx), &r.request)
		if err != nil {
			retryAfter = coldRetryAfter
		}
		return notRun(outcomeNoRoom, retryAfter)
	}
}

// expired returns the answer when the time is over or the caller has gone.
func (r *race) expired() *answer {
	if r.caller.Context().Err() != nil {
		return nil
	}
	if r.sends(func(a *attempt) bool { return !a.outcome.safeToRepeat() }) > 0 {
		return mayHaveRun(http.StatusGatewayTimeout, outcomeTimeout)
	}
	return notRun(outcomeLate, coldRetryAfter)
}
