package balancer

import "time"

// loadSample is the newest load loadSample of a target, from a probe or from a report
// on an answer. The pool of results holds at most one per target. A loadSample
// loses weight with age instead of being removed as the worst of the pool: a
// bad loadSample that nobody uses must not keep its target out of work.
type loadSample struct {
	valid         bool
	at            time.Duration
	otherInFlight float64 // requests of other instances in flight at the target
	otherLong     int     // long requests of other instances
	ownSendsSince int     // own sends since
}

// defaultServiceTime is used until answers were seen.
const defaultServiceTime = 20 * time.Millisecond

// Weights of new samples in the averages over the pool.
const (
	poolLoadGain    = 1.0 / 64
	poolLatencyGain = 1.0 / 64
)

// poolAverages are averages over the pool that single targets are compared with.
type poolAverages struct {
	otherPerSlot   float64 // requests of other instances per slot
	meanLogLatency float64 // mean of the logarithm of latencies in seconds
	meanLatency    float64 // mean latency in seconds, 0 unknown
	errorRate      float64 // share of answers that were errors
}

// departureRate is the rate per second with which the load of a target forgets
// its past: a request leaves after one mean latency.
func (l *poolAverages) departureRate() float64 {
	if l.meanLatency == 0 {
		return 1 / defaultServiceTime.Seconds()
	}
	return 1 / min(max(l.meanLatency, 0.002), 0.5)
}

// hasFreshLoad reports whether the result may still be used.
func (b *Balancer) hasFreshLoad(t *target) bool {
	return t.load.valid && b.now-t.load.at <= b.options.MaxReportAge && t.load.ownSendsSince <= t.slots
}

// expectedInFlight is the expected number of requests at the target: own requests,
// which are known, and those of other instances, which relax from the last
// result towards the mean of the pool.
func (b *Balancer) expectedInFlight(t *target, leaveRate float64) float64 {
	mean := b.averages.otherPerSlot * float64(t.slots)
	own := float64(t.inFlight())
	if !b.hasFreshLoad(t) {
		return own + mean
	}
	weight := decay((b.now-t.load.at).Seconds()*leaveRate) * t.trust.weight()
	return own + mean + (t.load.otherInFlight-mean)*weight
}

// recordLoad keeps a load report. own is the number of own requests that the
// target can have counted.
func (b *Balancer) recordLoad(t *target, r Report, at time.Duration) {
	if !r.HasLoad || (t.load.valid && at < t.load.at) {
		return
	}
	t.reportedSlots = r.Load.Slots
	others := max(0, r.Load.InFlight-t.inFlight())
	t.load = loadSample{valid: true, at: at, otherInFlight: float64(others), otherLong: max(0, r.Load.Long-t.longInFlight)}
	share := min(float64(others)/float64(t.slots), maxOthersPerSlot)
	b.averages.otherPerSlot += poolLoadGain * (share - b.averages.otherPerSlot) * t.trust.weight()
}

// maxOthersPerSlot bounds what one report adds to the mean of the pool, so
// that one absurd report does not make every target look busy.
const maxOthersPerSlot = 4

// recordShed notes that the target shed a request: all of its slots were
// taken, whatever its report says.
func (b *Balancer) recordShed(t *target) {
	t.load.otherInFlight = max(t.load.otherInFlight, float64(t.slots))
	t.load.valid, t.load.at, t.load.ownSendsSince = true, b.now, 0
}
