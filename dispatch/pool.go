package dispatch

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/refusal"
	"github.com/dogwoodroute/dogwoodroute/tables"
)

// SetPool replaces the configuration of the pool. Attempts in flight continue.
func (s *Scheduler) SetPool(now time.Duration, p tables.Pool) []Action {
	s.beginEvent(now)
	s.balancer.SetPool(now, p)
	s.targetsChanged(now)
	return s.actions
}

// SetFleet replaces the view of the fleet.
func (s *Scheduler) SetFleet(now time.Duration, f Fleet) []Action {
	s.beginEvent(now)
	s.instances = f.Instances
	s.balancer.SetFleet(now, f)
	s.targetsChanged(now)
	return s.actions
}

// SetDraining replaces the set of addresses whose targets are known to drain.
func (s *Scheduler) SetDraining(now time.Duration, addresses []string) []Action {
	s.beginEvent(now)
	s.balancer.SetDraining(now, addresses)
	s.targetsChanged(now)
	return s.actions
}

// targetsChanged updates the bounds after a change of the targets or instances.
// If no target is serving, it refuses all waiting requests.
func (s *Scheduler) targetsChanged(now time.Duration) {
	s.updateBounds()
	if s.balancer.Serving() == 0 {
		s.refuseQueue(now, s.retries, refusal.NoTarget, reasonNoTarget)
		s.refuseQueue(now, s.admission.Queue, refusal.NoTarget, reasonNoTarget)
	}
	s.sendQueued(now)
}
