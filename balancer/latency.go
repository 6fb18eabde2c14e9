package balancer

import (
	"math"
	"time"
)

const (
	// slownessGain is the weight of a new latency. At 1/4, a target that
	// becomes ten times slower leaves the dead zone with its second slow
	// response.
	slownessGain = 1.0 / 4
	// slownessDecaySeconds is the time constant in seconds with which a target
	// without requests returns to the mean of the pool, so that it is tried
	// again.
	slownessDecaySeconds = 5.0
	// slowDeadZone is the ratio to the mean latency up to which targets count
	// as equally fast. Without it, the noise of service times would override
	// load.
	slowDeadZone = 2.0
	// maxAmbiguousLogRatio bounds the logarithm of one latency ratio if the
	// response may be that of a long request.
	maxAmbiguousLogRatio = 1.0
)

// slowness is the moving average of the logarithm of the ratio between a
// target's latency and that of the pool. The logarithm keeps single stragglers
// from dominating the average.
type slowness struct {
	logRatio  float64
	ratio     float64 // exp(logRatio)
	updatedAt time.Duration
}

// factor returns the ratio by which the target is slower than the pool beyond
// the dead zone, at least 1.
func (s *slowness) factor(now time.Duration) float64 {
	if s.ratio <= slowDeadZone {
		return 1
	}
	ratio := 1 + (s.ratio-1)*decay((now-s.updatedAt).Seconds()/slownessDecaySeconds)
	return max(1, ratio/slowDeadZone)
}

// observeLatency handles the latency of a response. It ignores targets that run
// only long requests of this instance; if short and long requests are in
// flight, it bounds the ratio. An error response counts only if it raises the
// estimate, so that fast errors do not make a target look fast. In a pool with
// long requests only, all responses count.
func (b *Balancer) observeLatency(t *target, latency time.Duration, failed bool) {
	if t.longInFlight > 0 && t.shortInFlight == 0 && !b.longOnly {
		return
	}
	seconds := max(latency.Seconds(), 1e-6)
	log := math.Log(seconds)
	if b.averages.meanLatency == 0 {
		if failed {
			return
		}
		b.averages.meanLatency, b.averages.meanLogLatency = seconds, log
	}
	ratio := log - b.averages.meanLogLatency
	if t.longInFlight > 0 && !b.longOnly {
		ratio = min(ratio, maxAmbiguousLogRatio)
	}
	s := &t.slowness
	current := s.logRatio * decay((b.now-s.updatedAt).Seconds()/slownessDecaySeconds)
	if failed && ratio < current {
		return
	}
	s.logRatio, s.updatedAt = current+slownessGain*(ratio-current), b.now
	s.ratio = math.Exp(s.logRatio)
	if !failed && (t.longInFlight == 0 || b.longOnly) {
		b.averages.meanLatency += poolLatencyGain * (seconds - b.averages.meanLatency)
		b.averages.meanLogLatency += poolLatencyGain * ratio
	}
}
