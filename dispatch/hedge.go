package dispatch

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/admission"
)

// hedge sends a hedged attempt if the first attempt of the request is a straggler
// and another target is expected to have a free slot. It sends none while
// requests wait, because they make better use of a free slot.
func (s *Scheduler) hedge(now time.Duration, r *request) {
	if s.stale || !r.retryState(now).MayHedge() || !s.roomToHedge(r.item.Lane) {
		return
	}
	threshold, known := s.stragglers[r.item.Lane].Threshold()
	first := &r.attempts[0]
	if !known || now-first.sentAt < threshold {
		return
	}
	choice, ok := s.balancer.Pick(now, s.retryPickOptions(r))
	if !ok || !choice.Free || choice.Name == first.target {
		return
	}
	s.retryBudget.Take()
	s.counters.Hedges++
	s.send(now, r, choice).hedge = true
	s.actions[len(s.actions)-1].Hedge = true
}

func (s *Scheduler) roomToHedge(lane admission.Lane) bool {
	var blocked laneSet
	s.blockLongLane(&blocked)
	return s.retryBudget.Available() && s.admission.Window.HasRoom() && !blocked[lane] &&
		s.retries.Len() == 0 && s.admission.Queue.Len() == 0
}
