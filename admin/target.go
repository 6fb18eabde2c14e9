package admin

// TargetState is the state of a target as seen by this instance.
type TargetState string

// States of a target. If several apply, the first one is shown: a target that is
// draining and ejected is shown as draining.
const (
	TargetDraining TargetState = "draining" // no new requests: set by the table or the list of instances, or reported by a peer or the target
	TargetEjected  TargetState = "ejected"  // no new requests for some time, because of errors
	TargetCold     TargetState = "cold"     // in slow start: receives only a part of its share
	TargetSlow     TargetState = "slow"     // latency at least slowFactor times that of the pool
	TargetServing  TargetState = "serving"
)

// slowFactor is the latency factor from which a target is shown as slow. The
// balancer treats targets with smaller factors as equal.
const slowFactor = 2.0

// Target is the state of one target of a pool as seen by this instance.
type Target struct {
	Name          string      `json:"name"`
	Address       string      `json:"address"`
	FailureDomain string      `json:"failure_domain"`
	State         TargetState `json:"state"`
	// InSubset reports whether the target is in the subset of targets that this
	// instance uses.
	InSubset bool `json:"used"`
	// Slots is the smaller of the configured number and the number that the target
	// reported.
	Slots int `json:"slots"`
	// InFlight is the number of requests of this instance at the target.
	InFlight int `json:"in_flight"`
	// EstimatedInFlight is the estimated number of requests of all instances at the
	// target.
	EstimatedInFlight float64 `json:"believed_in_flight"`
	// LatencyFactor is the ratio of the target's latency to that of the pool.
	LatencyFactor float64 `json:"latency_factor"`
	// ErrorRate is the share of recent requests that failed, from 0 to 1.
	ErrorRate float64 `json:"error_rate"`
	// EjectedForMillis is the remaining time of the ejection, in milliseconds.
	EjectedForMillis int64 `json:"ejected_for_ms"`
	// LastReportMillis is the age of the last load report, in milliseconds. If there
	// was none, it is the time since the start of the instance.
	LastReportMillis int64 `json:"last_report_ms"`
}
