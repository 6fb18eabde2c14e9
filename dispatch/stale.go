package dispatch

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/refusal"
)

// maxTickGap is the longest time between two ticks of a running process. After a
// longer gap the process is assumed to have been paused.
const maxTickGap = time.Second

// detectPause checks the time since the last tick. After a pause the state of
// this instance is out of date, so all waiting requests are refused, and new ones
// are refused until Refreshed.
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

// Refreshed reports that configuration, peers and target states were refreshed
// after a pause. New requests are accepted again.
func (s *Scheduler) Refreshed(now time.Duration) []Action {
	s.beginEvent(now)
	s.stale = false
	return s.actions
}

// Stale reports whether new requests are refused because of a pause, and when the
// last pause was detected.
func (s *Scheduler) Stale() (since time.Duration, stale bool) { return s.staleSince, s.stale }
