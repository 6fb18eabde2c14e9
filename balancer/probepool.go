package balancer

import "time"

// loadSample is the latest load of a target, from a probe or from a response.
// Each target has at most one. A sample loses weight with age and is never
// removed for being the worst of the pool: a high load that nobody refreshes
// must not keep requests away from its target.
type loadSample struct {
	valid         bool
	writtenAt     time.Duration
	otherInFlight float64 // requests of other instances in flight at the target
	otherLong     int     // long requests of other instances in flight
	ownSendsSince int     // attempts sent by this instance since
}

// defaultServiceTime is used until a response was received.
const defaultServiceTime = 20 * time.Millisecond

// Weights of a new sample in the averages over the pool.
const (
	poolLoadGain    = 1.0 / 64
	poolLatencyGain = 1.0 / 64
)

// poolAverages are moving averages over the pool with which single targets are
// compared.
type poolAverages struct {
	otherPerSlot   float64 // requests of other instances per slot
	meanLogLatency float64 // mean logarithm of latencies in seconds
	meanLatency    float64 // mean latency in seconds; 0 means unknown
	errorRate      float64 // share of failed responses and attempts
}

// departureRate returns the rate per second at which requests leave a target:
// each leaves after one mean latency, bounded to 2 ms through 500 ms.
func (a *poolAverages) departureRate() float64 {
	if a.meanLatency == 0 {
		return 1 / defaultServiceTime.Seconds()
	}
	return 1 / min(max(a.meanLatency, 0.002), 0.5)
}

// hasFreshLoad reports whether the load sample of the target may be used: it is
// recent, and this instance has sent at most one request per slot since.
func (b *Balancer) hasFreshLoad(t *target) bool {
	return t.load.valid && b.now-t.load.writtenAt <= b.options.MaxReportAge && t.load.ownSendsSince <= t.slots
}

// expectedInFlight returns the expected number of requests at the target: those
// of this instance, which are known, and those of other instances, which decay
// from the latest load sample to the mean of the pool.
func (b *Balancer) expectedInFlight(t *target, departureRate float64) float64 {
	mean := b.averages.otherPerSlot * float64(t.slots)
	own := float64(t.inFlight())
	if !b.hasFreshLoad(t) {
		return own + mean
	}
	weight := decay((b.now-t.load.writtenAt).Seconds()*departureRate) * t.trust.weight()
	return own + mean + (t.load.otherInFlight-mean)*weight
}

// recordLoad stores the load of a report that was written at the given time,
// unless a later one is stored.
func (b *Balancer) recordLoad(t *target, r Report, at time.Duration) {
	if !r.HasLoad || (t.load.valid && at < t.load.writtenAt) {
		return
	}
	t.reportedSlots = r.Load.Slots
	otherInFlight := max(0, r.Load.InFlight-t.inFlight())
	t.load = loadSample{valid: true, writtenAt: at, otherInFlight: float64(otherInFlight), otherLong: max(0, r.Load.Long-t.longInFlight)}
	share := min(float64(otherInFlight)/float64(t.slots), maxOthersPerSlot)
	b.averages.otherPerSlot += poolLoadGain * (share - b.averages.otherPerSlot) * t.trust.weight()
}

// maxOthersPerSlot bounds the load that one report adds to the mean of the
// pool, so that one absurd report does not make every target look busy.
const maxOthersPerSlot = 4

// recordShed records that the target shed a request: all of its slots were in
// use, whatever its report says.
func (b *Balancer) recordShed(t *target) {
	t.load.otherInFlight = max(t.load.otherInFlight, float64(t.slots))
	t.load.valid, t.load.writtenAt, t.load.ownSendsSince = true, b.now, 0
}
