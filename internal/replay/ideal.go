package replay

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/balancer"
)

// ideal is one central queue with perfect knowledge: a request starts as soon
// as any healthy target has a free slot, higher priorities first. Dispatch
// takes no time; only the network delay of the answer's way is added.
type ideal struct {
	run     *run
	waiting [3][]*Arrival // by priority rank
	pending int
}

func newIdeal(r *run) *ideal { return &ideal{run: r} }

func (d *ideal) open() int { return d.pending }

func (d *ideal) arrive(a *Arrival) {
	d.pending++
	rank := a.Priority.Rank()
	d.waiting[rank] = append(d.waiting[rank], a)
	d.dispatch()
}

// dispatch starts waiting requests while slots are free.
func (d *ideal) dispatch() {
	for rank := range d.waiting {
		for len(d.waiting[rank]) > 0 {
			a := d.waiting[rank][0]
			index := d.freeTarget(a)
			if index < 0 {
				return
			}
			d.waiting[rank] = d.waiting[rank][1:]
			d.start(a, index)
		}
	}
}

// freeTarget returns the fastest healthy target with a free slot, in the
// request's own failure domain if there is one, or -1.
func (d *ideal) freeTarget(a *Arrival) int {
	best, bestCost := -1, time.Duration(0)
	for index, t := range d.run.targets {
		if t.running == t.slots || t.fault.Kind == FaultError || t.fault.Kind == FaultDrain {
			continue
		}
		cost := t.duration(&job{service: microseconds(a.Service)}) + 2*d.run.trace.delay(a.Instance, index)
		if best < 0 || cost < bestCost {
			best, bestCost = index, cost
		}
	}
	return best
}

func (d *ideal) start(a *Arrival, index int) {
	d.run.result.Attempts++
	j := &job{class: a.Class, service: microseconds(a.Service)}
	j.done = func(outcome balancer.Outcome, _ balancer.Report) {
		d.run.after(2*d.run.trace.delay(a.Instance, index), func() {
			d.pending--
			d.run.ended(a, outcome)
		})
		d.run.after(0, d.dispatch)
	}
	d.run.targets[index].arrive(j)
}
