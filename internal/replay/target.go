package replay

import (
	"slices"
	"time"

	"github.com/dogwoodroute/dogwoodroute/balancer"
	"github.com/dogwoodroute/dogwoodroute/tables"
	"github.com/dogwoodroute/dogwoodroute/wire"
)

// target is a fake server: slots, a queue in order of arrival, and faults.
type target struct {
	timeline   *eventQueue
	slots      int
	queueLimit int // requests held before it sheds
	fault      Fault
	running    int
	longJobs   int
	jobs       []*job // running and waiting, in order of arrival
	busyTime   time.Duration
}

// job is one attempt at a target.
type job struct {
	service  time.Duration
	class    tables.Class
	started  bool
	startAt  time.Duration
	canceled bool
	// done is called when the job ends by itself, with its outcome and the
	// target's report.
	done func(balancer.Outcome, balancer.Report)
}

// arrive takes a job, sheds it, or fails it.
func (t *target) arrive(j *job) {
	switch {
	case j.canceled:
	case t.fault.Kind == FaultError:
		j.done(balancer.OutcomeError, t.report())
	case len(t.jobs) >= t.slots+t.queueLimit:
		j.done(balancer.OutcomeShed, t.report())
	default:
		t.jobs = append(t.jobs, j)
		if j.class == tables.ClassLong {
			t.longJobs++
		}
		t.startNext()
	}
}

// startNext runs waiting jobs while slots are free.
func (t *target) startNext() {
	for _, j := range t.jobs {
		if t.running == t.slots {
			return
		}
		if j.started {
			continue
		}
		j.started, j.startAt = true, t.timeline.now
		t.running++
		t.timeline.after(t.runTime(j), func() { t.finish(j) })
	}
}

func (t *target) runTime(j *job) time.Duration {
	if t.fault.Kind == FaultSlow {
		return time.Duration(float64(j.service) * t.fault.Factor)
	}
	return j.service
}

func (t *target) finish(j *job) {
	if j.canceled {
		return
	}
	report := t.report()
	t.remove(j)
	j.done(balancer.OutcomeOK, report)
}

// cancel ends a job early and frees its slot.
func (t *target) cancel(j *job) {
	j.canceled = true
	if slices.Contains(t.jobs, j) {
		t.remove(j)
	}
}

func (t *target) remove(j *job) {
	t.jobs = slices.DeleteFunc(t.jobs, func(other *job) bool { return other == j })
	if j.class == tables.ClassLong {
		t.longJobs--
	}
	if j.started {
		t.running--
		t.busyTime += t.timeline.now - j.startAt
	}
	t.startNext()
}

// report is the target's own view. The request that is being answered counts
// as in flight, as it does in servers that write the report before the answer
// is finished.
func (t *target) report() balancer.Report {
	state := wire.TargetServing
	if t.fault.Kind == FaultDrain {
		state = wire.TargetDraining
	}
	return balancer.Report{HasLoad: true, State: state, Load: wire.Load{InFlight: len(t.jobs), Slots: t.slots,
		Queued: len(t.jobs) - t.running, Long: t.longJobs}}
}
