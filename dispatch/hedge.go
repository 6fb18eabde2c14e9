package dispatch

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/admission"
)

// hedge sends a second attempt beside a straggler when another target is
// believed free. Waiting requests have a better use for a free slot.
func (s *Scheduler) hedge(now time.Duration, r *request) {
	if s.stale || !r.facts(now).MayHedge() || !s.roomToHedge(r.item.Lane) {
		return
	}
	threshold, known := s.straggler[r.item.Lane].Threshold()
	first := &r.attempts[0]
	if !known || now-first.sent < threshold {
		return
	}
	choice, ok := s.balancer.Pick(now, s.another(r))
	if !ok || !choice.Free || choice.Name == first.target {
		return
	}
	s.budget.Take()
	s.counters.Hedges++
	s.send(now, r, choice).hedge = true
	s.actions[len(s.actions)-1].Hedge = true
}

func (s *Scheduler) roomToHedge(lane admission.Lane) bool {
	var blocked lanes
	s.blockLong(&blocked)
	return s.budget.Available() && s.admission.Window.HasRoom() && !blocked[lane] &&
		s.retries.Len() == 0 && s.admission.Queue.Len() == 0
}
