package replay

import (
	"slices"
	"time"

	"github.com/dogwoodroute/dogwoodroute/balancer"
	"github.com/dogwoodroute/dogwoodroute/tables"
	"github.com/dogwoodroute/dogwoodroute/wire"
)

// target is a simulated target with slots, a queue in order of arrival, and faults.
type target struct {
	events     *eventQueue
	slots      int
	queueLimit int   // jobs that wait before further ones are shed
	fault      Fault // the last one that was applied
	running    int
	longJobs   int           // running and waiting jobs of class long
	jobs       []*job        // running and waiting, in order of arrival
	busyTime   time.Duration // slot time used by jobs that have ended
}

// job is one attempt at a target.
type job struct {
	service   time.Duration
	class     tables.Class
	started   bool
	startedAt time.Duration
	canceled  bool
	// done is called when the target responds, with the outcome and a load
	// report. It is not called for a canceled job.
	done func(balancer.Outcome, balancer.Report)
}

// arrive queues, sheds or fails a job. A job that was canceled in transit is
// dropped.
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

// startNext starts waiting jobs while slots are free.
func (t *target) startNext() {
	for _, j := range t.jobs {
		if t.running == t.slots {
			return
		}
		if j.started {
			continue
		}
		j.started, j.startedAt = true, t.events.now
		t.running++
		t.events.after(t.runTime(j), func() { t.finish(j) })
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

// cancel removes a job that runs or waits. One that has not arrived yet is
// dropped on arrival.
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
		t.busyTime += t.events.now - j.startedAt
	}
	t.startNext()
}

// report returns the load report of the target. The request that is being
// responded to counts as in flight, as it does in servers that write the report
// before the response is complete.
func (t *target) report() balancer.Report {
	state := wire.TargetServing
	if t.fault.Kind == FaultDrain {
		state = wire.TargetDraining
	}
	return balancer.Report{HasLoad: true, State: state, Load: wire.Load{InFlight: len(t.jobs), Slots: t.slots,
		Queued: len(t.jobs) - t.running, Long: t.longJobs}}
}
