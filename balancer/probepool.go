package balancer

import "time"

// result is the newest load result of a target, from a probe or from a report
// on an answer. The pool of results holds at most one per target. A result
// loses weight with age instead of being removed as the worst of the pool: a
// bad result that nobody uses must not keep its target out of work.
type result struct {
	valid  bool
	at     time.Duration
	others float64 // requests of other instances in flight at the target
	long   int     // long requests of other instances
	uses   int     // own sends since
}

// defaultServiceTime is used until answers were seen.
const defaultServiceTime = 20 * time.Millisecond

// Weights of new samples in the averages over the pool.
const (
	poolLoadGain    = 1.0 / 64
	poolLatencyGain = 1.0 / 64
)

// poolLevels are averages over the pool that single targets are compared with.
type poolLevels struct {
	others     float64 // requests of other instances per slot
	logLatency float64 // mean of the logarithm of latencies in seconds
	latency    float64 // mean latency in seconds, 0 unknown
	errors     float64 // share of answers that were errors
}

// leaveRate is the rate per second with which the load of a target forgets
// its past: a request leaves after one mean latency.
func (l *poolLevels) leaveRate() float64 {
	if l.latency == 0 {
		return 1 / defaultServiceTime.Seconds()
	}
	return 1 / min(max(l.latency, 0.002), 0.5)
}

// fresh reports whether the result may still be used.
func (b *Balancer) fresh(t *target) bool {
	return t.result.valid && b.now-t.result.at <= b.options.MaxReportAge && t.result.uses <= t.slots
}

// occupancy is the expected number of requests at the target: own requests,
// which are known, and those of other instances, which relax from the last
// result towards the mean of the pool.
func (b *Balancer) occupancy(t *target, leaveRate float64) float64 {
	mean := b.levels.others * float64(t.slots)
	own := float64(t.inFlight())
	if !b.fresh(t) {
		return own + mean
	}
	weight := decay((b.now-t.result.at).Seconds()*leaveRate) * t.trust.weight()
	return own + mean + (t.result.others-mean)*weight
}

// record keeps a load report. own is the number of own requests that the
// target can have counted.
func (b *Balancer) record(t *target, r Report, at time.Duration) {
	if !r.HasLoad || (t.result.valid && at < t.result.at) {
		return
	}
	t.reportedSlots = r.Load.Slots
	others := max(0, r.Load.InFlight-t.inFlight())
	t.result = result{valid: true, at: at, others: float64(others), long: max(0, r.Load.Long-t.long)}
	share := min(float64(others)/float64(t.slots), maxOthersPerSlot)
	b.levels.others += poolLoadGain * (share - b.levels.others) * t.trust.weight()
}

// maxOthersPerSlot bounds what one report adds to the mean of the pool, so
// that one absurd report does not make every target look busy.
const maxOthersPerSlot = 4

// recordBusy notes that the target shed a request: all of its slots were
// taken, whatever its report says.
func (b *Balancer) recordBusy(t *target) {
	t.result.others = max(t.result.others, float64(t.slots))
	t.result.valid, t.result.at, t.result.uses = true, b.now, 0
}
