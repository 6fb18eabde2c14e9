package replay

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/balancer"
)

// ideal implements the policy Ideal: one central queue that knows the state of
// all targets. A request starts as soon as a target that neither fails nor
// drains has a free slot, higher priorities first. Dispatch takes no time; the
// network delay of both ways is added to the response.
type ideal struct {
	run     *run
	waiting [3][]*Arrival // by priority rank
	pending int           // requests without an outcome
}

func newIdeal(r *run) *ideal { return &ideal{run: r} }

func (d *ideal) unfinished() int { return d.pending }

func (d *ideal) arrive(a *Arrival) {
	d.pending++
	rank := a.Priority.Rank()
	d.waiting[rank] = append(d.waiting[rank], a)
	d.dispatch()
}

// dispatch starts waiting requests until no usable target has a free slot.
func (d *ideal) dispatch() {
	for rank := range d.waiting {
		for len(d.waiting[rank]) > 0 {
			a := d.waiting[rank][0]
			index := d.freeTarget(a)
			if index < 0 {
				return
			}
			d.waiting[rank] = d.waiting[rank][1:]
			d.startRequest(a, index)
		}
	}
}

// freeTarget returns the index of the target with a free slot at which the
// request ends first, run time and network delay of both ways included. Targets
// that fail or drain are left out. It returns -1 if there is none.
func (d *ideal) freeTarget(a *Arrival) int {
	best, bestCost := -1, time.Duration(0)
	for index, t := range d.run.targets {
		if t.running == t.slots || t.fault.Kind == FaultError || t.fault.Kind == FaultDrain {
			continue
		}
		cost := t.runTime(&job{service: microseconds(a.Service)}) + 2*d.run.trace.delay(a.Instance, index)
		if best < 0 || cost < bestCost {
			best, bestCost = index, cost
		}
	}
	return best
}

func (d *ideal) startRequest(a *Arrival, index int) {
	d.run.result.Attempts++
	j := &job{class: a.Class, service: microseconds(a.Service)}
	j.done = func(outcome balancer.Outcome, _ balancer.Report) {
		d.run.after(2*d.run.trace.delay(a.Instance, index), func() {
			d.pending--
			d.run.recordResponse(a, outcome)
		})
		d.run.after(0, d.dispatch)
	}
	d.run.targets[index].arrive(j)
}
