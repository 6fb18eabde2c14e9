package dispatch

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/refusal"
)

// maxTickGap is the time without a tick after which the process is taken to
// have been paused.
const maxTickGap = time.Second

// detectPause compares an event's time with the last tick. After a pause nothing
// that this instance knows can be trusted, so all waiting work is refused.
func (s *Scheduler) detectPause(now time.Duration) {
	if s.ticked && now-s.lastTick > maxTickGap {
		s.lastTick = now
		s.stale, s.staleSince = true, now
		s.counters.Pauses++
		s.balancer.Resume(now)
		s.refuseQueue(now, s.retries, refusal.StaleView, reasonStale)
		s.refuseQueue(now, s.admission.Queue, refusal.StaleView, reasonStale)
	}
	if !s.ticked {
		s.ticked, s.lastTick = true, now
	}
}

// Refreshed says that configuration, peers and target states were refreshed.
// It ends the refusals after a pause.
func (s *Scheduler) Refreshed(now time.Duration) []Action {
	s.beginEvent(now)
	s.stale = false
	return s.actions
}

// Stale reports whether new work is refused because of a pause, and since when.
func (s *Scheduler) Stale() (since time.Duration, stale bool) { return s.staleSince, s.stale }
