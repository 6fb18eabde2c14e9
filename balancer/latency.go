package balancer

import (
	"math"
	"time"
)

const (
	// slownessGain is the weight of a new latency. At 1/4, a target that is ten
	// times slower passes slowDeadZone with its second late answer.
	slownessGain = 1.0 / 4
	// slownessDecaySeconds is the time constant in seconds with which a target that
	// gets no work returns to the mean of the pool, so that it is tried again.
	slownessDecaySeconds = 5.0
	// slowDeadZone is the ratio to the mean latency below which targets count
	// as equal. Without it, the noise of service times would override load.
	slowDeadZone = 2.0
	// maxAmbiguousLogRatio bounds the logarithm of one ratio when the answer may be
	// that of a long request.
	maxAmbiguousLogRatio = 1.0
)

// slowness is the mean logarithm of the ratio of a target's latency to that
// of the pool. The logarithm keeps single stragglers from dominating.
type slowness struct {
	logRatio float64
	ratio    float64 // exp(value)
	at       time.Duration
}

// factor is the ratio by which the target is slower than the pool beyond the
// dead zone, at least 1.
func (s *slowness) factor(now time.Duration) float64 {
	if s.ratio <= slowDeadZone {
		return 1
	}
	ratio := 1 + (s.ratio-1)*decay((now-s.at).Seconds()/slownessDecaySeconds)
	return max(1, ratio/slowDeadZone)
}

// observeLatency takes the latency of an answer. Answers of long requests are
// left out; when the class is uncertain, high latencies are capped. An error
// counts only when it raises the estimate.
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
	current := s.logRatio * decay((b.now-s.at).Seconds()/slownessDecaySeconds)
	if failed && ratio < current {
		return
	}
	s.logRatio, s.at = current+slownessGain*(ratio-current), b.now
	s.ratio = math.Exp(s.logRatio)
	if !failed && (t.longInFlight == 0 || b.longOnly) {
		b.averages.meanLatency += poolLatencyGain * (seconds - b.averages.meanLatency)
		b.averages.meanLogLatency += poolLatencyGain * ratio
	}
}
