package balancer

import (
	"math"
	"time"
)

const (
	// trustGain is the weight of a new comparison between a report and the
	// requests of this instance in flight.
	trustGain = 1.0 / 8
	// maxTransitTime bounds the age of attempts that the report on a response
	// may not include yet.
	maxTransitTime = 10 * time.Millisecond
	// minCorrelationSamples is the number of reports from which on the
	// correlation is used.
	minCorrelationSamples = 32
	// correlationGain is the weight of a new sample in the correlation.
	correlationGain = 1.0 / 64
	// distrustCorrelation is the correlation between reports and the requests
	// of this instance below which reports are ignored. Correct reports
	// correlate positively, or hardly at all if other instances send most of
	// the requests.
	distrustCorrelation = -0.4
	// idleLatencyGain is the weight of a new latency in idleLogRatio.
	idleLatencyGain = 1.0 / 32
	// Reports of free slots lose weight from toleratedIdleLogRatio on and have
	// none from maxIdleLogRatio on. Both are logarithms of the ratio to the
	// latency of the pool. The tolerance leaves room for the noise of a mean
	// over few responses.
	toleratedIdleLogRatio = 0.15
	maxIdleLogRatio       = 0.45
	// minExcessLatency is the smallest latency in seconds above the mean of the
	// pool that counts. Smaller differences can result from the distance
	// between failure domains.
	minExcessLatency = 0.005
)

// trust compares a target's reports with the requests and latencies that this
// instance observes itself.
type trust struct {
	contradictionRate               float64 // share of reports below the requests of this instance in flight
	idleLogRatio                    float64 // mean logarithm of the latency ratio to the pool while reporting free slots
	samples                         int
	meanOwn, meanReported           float64
	varOwn, varReported, covariance float64 // of the requests in flight of this instance and the reported ones
}

// weight returns the weight of the target's reports, from 0 (ignored) to 1.
func (tr *trust) weight() float64 {
	w := max(0, 1-2*tr.contradictionRate)
	if tr.idleLogRatio > toleratedIdleLogRatio {
		w *= max(0, 1-(tr.idleLogRatio-toleratedIdleLogRatio)/(maxIdleLogRatio-toleratedIdleLogRatio))
	}
	if tr.samples < minCorrelationSamples || tr.varOwn < 0.05 || tr.varReported < 0.05 {
		return w
	}
	if tr.covariance < distrustCorrelation*math.Sqrt(tr.varOwn*tr.varReported) {
		return 0
	}
	return w
}

// compareInFlight handles a report of inFlight requests while at least own
// requests of this instance were in flight at the target.
func (tr *trust) compareInFlight(inFlight, own int) {
	contradicted := 0.0
	if inFlight < own {
		contradicted = 1
	}
	tr.contradictionRate += trustGain * (contradicted - tr.contradictionRate)
	tr.samples++
	gain := max(correlationGain, 1/float64(tr.samples))
	x, y := float64(own)-tr.meanOwn, float64(inFlight)-tr.meanReported
	tr.meanOwn += gain * x
	tr.meanReported += gain * y
	tr.varOwn += gain * (x*x*(1-gain) - tr.varOwn)
	tr.varReported += gain * (y*y*(1-gain) - tr.varReported)
	tr.covariance += gain * (x*y*(1-gain) - tr.covariance)
}

// compareLatency handles the latency in seconds of a response whose report
// claims a free slot. An idle target should respond as fast as the pool.
func (tr *trust) compareLatency(seconds float64, pool *poolAverages) {
	if pool.meanLatency == 0 {
		return
	}
	ratio := math.Log(max(seconds, 1e-6)) - pool.meanLogLatency
	if ratio > 0 && seconds-math.Exp(pool.meanLogLatency) < minExcessLatency {
		ratio = 0
	}
	tr.idleLogRatio += idleLatencyGain * (ratio - tr.idleLogRatio)
}

// recentSends holds the times of the last attempts sent to a target.
type recentSends struct {
	times [8]time.Duration
	next  int
	count int
}

func (r *recentSends) add(now time.Duration) {
	r.times[r.next] = now
	r.next = (r.next + 1) % len(r.times)
	r.count = min(r.count+1, len(r.times))
}

// since returns the number of stored attempts that were sent after the given
// time.
func (r *recentSends) since(at time.Duration) int {
	n := 0
	for _, sent := range r.times[:r.count] {
		if sent > at {
			n++
		}
	}
	return n
}
