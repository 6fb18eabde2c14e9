package dispatch

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/refusal"
	"github.com/dogwoodroute/dogwoodroute/tables"
)

// SetPool replaces the pool. Attempts in flight go on.
func (s *Scheduler) SetPool(now time.Duration, p tables.Pool) []Action {
	s.beginEvent(now)
	s.balancer.SetPool(now, p)
	s.targetsChanged(now)
	return s.actions
}

// SetFleet replaces what is known of the instances.
func (s *Scheduler) SetFleet(now time.Duration, f Fleet) []Action {
	s.beginEvent(now)
	s.instances = f.Instances
	s.balancer.SetFleet(now, f)
	s.targetsChanged(now)
	return s.actions
}

// SetDraining replaces the addresses of the targets that are known to drain.
func (s *Scheduler) SetDraining(now time.Duration, addresses []string) []Action {
	s.beginEvent(now)
	s.balancer.SetDraining(now, addresses)
	s.targetsChanged(now)
	return s.actions
}

// targetsChanged adapts to another set of targets or instances.
func (s *Scheduler) targetsChanged(now time.Duration) {
	s.updateBounds()
	if s.balancer.Serving() == 0 {
		s.refuseQueue(now, s.retries, refusal.NoTarget, reasonNoTarget)
		s.refuseQueue(now, s.admission.Queue, refusal.NoTarget, reasonNoTarget)
	}
	s.sendQueued(now)
}
