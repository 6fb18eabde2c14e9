package balancer

import (
	"math"
	"time"
)

const (
	// trustGain is the weight of a new comparison of a report with own work.
	trustGain = 1.0 / 8
	// maxTransitTime bounds the age of own sends that a report on an answer may miss.
	maxTransitTime = 10 * time.Millisecond
	// minCorrelationSamples is the number of reports before their correlation
	// with own work is judged.
	minCorrelationSamples = 32
	// correlationGain is the weight of a new sample of the correlation.
	correlationGain = 1.0 / 64
	// distrustCorrelation is the correlation below which reports are ignored.
	// Honest reports correlate with own work positively, or hardly at all when
	// other instances send most of the work.
	distrustCorrelation = -0.4
	// idleLatencyGain is the weight of a new latency in idleSlowness.
	idleLatencyGain = 1.0 / 32
	// toleratedIdleLogRatio and deniedIdle are the logarithms of the ratio to the pool's
	// latency at which reports of free slots begin to lose and have lost all
	// weight. The tolerance leaves room for the noise of a mean over few answers.
	toleratedIdleLogRatio = 0.15
	maxIdleLogRatio       = 0.45
	// minExcessLatency is the latency in seconds above the pool's mean that counts;
	// less can come from the distance between failure domains.
	minExcessLatency = 0.005
)

// trust weighs a target's reports against what this instance saw itself.
type trust struct {
	contradictionRate               float64 // share of reports below own work in flight
	idleLogRatio                    float64 // mean logarithm of latency over the pool's while reporting free slots
	samples                         int
	meanOwn, meanReported           float64 // means
	varOwn, varReported, covariance float64
}

// weight is from 0 (reports are ignored) to 1.
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

// compareInFlight takes a report of inFlight requests while at least own requests of
// this instance were at the target.
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

// compareLatency takes the latency of an answer, in seconds, whose report
// claims a free slot. A target that is idle answers as fast as the pool.
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

// recentSends remembers the times of the last sends to a target.
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

// since counts the remembered sends after a time.
func (r *recentSends) since(at time.Duration) int {
	n := 0
	for _, sent := range r.times[:r.count] {
		if sent > at {
			n++
		}
	}
	return n
}
