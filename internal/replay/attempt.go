package replay

import (
	"github.com/dogwoodroute/dogwoodroute/balancer"
	"github.com/dogwoodroute/dogwoodroute/dispatch"
)

// sentAttempt is an attempt that was sent and has not ended.
type sentAttempt struct {
	job     *job
	target  int
	outcome balancer.Outcome
}

// send starts an attempt and reports the response to the scheduler.
func (in *instance) send(a dispatch.Action) {
	r := in.fleet.run
	arrival := in.requests[a.Request]
	extra := a.Hedge || a.AttemptNumber > 1
	switch {
	case a.Hedge:
		r.result.Hedges++
	case extra:
		r.result.Retries++
	}
	if extra {
		r.window.addExtraAttempt(r.now)
	}
	sent := &sentAttempt{target: r.targetIndex[a.Target]}
	in.attempts[a.Attempt] = sent
	sent.job = r.send(arrival, sent.target, extra, func(outcome balancer.Outcome, report balancer.Report) {
		if in.attempts[a.Attempt] == nil {
			return // canceled while the response was in transit
		}
		sent.outcome = outcome
		in.perform(in.scheduler.Responded(r.now, a.Attempt, dispatch.Response{Outcome: outcome, Report: report}))
	})
}

// finishAttempt ends an attempt whose response was received completely.
func (in *instance) finishAttempt(id dispatch.AttemptID) {
	sent := in.attempts[id]
	delete(in.attempts, id)
	in.perform(in.scheduler.Ended(in.fleet.run.now, id, dispatch.End{Outcome: sent.outcome}))
}

// cancelAttempt ends an attempt without waiting for its response, if it has not
// ended. The cancellation reaches the target one network delay later.
func (in *instance) cancelAttempt(id dispatch.AttemptID) {
	sent := in.attempts[id]
	if sent == nil {
		return
	}
	delete(in.attempts, id)
	r := in.fleet.run
	r.after(r.trace.delay(in.index, sent.target), func() { r.targets[sent.target].cancel(sent.job) })
	in.perform(in.scheduler.Ended(r.now, id, dispatch.End{Outcome: balancer.OutcomeCanceled}))
}

// probe reads a target's load report, which is one network delay old when the
// scheduler receives it.
func (in *instance) probe(a dispatch.Action) {
	r := in.fleet.run
	r.result.Probes++
	sentAt, index := r.now, r.targetIndex[a.Target]
	delay := r.trace.delay(in.index, index)
	r.after(delay, func() {
		report := r.targets[index].report()
		r.after(delay, func() {
			in.perform(in.scheduler.Probed(r.now, balancer.ProbeResult{Target: a.Target, Sent: sentAt, OK: true, Report: report}))
		})
	})
}
