package admin

// TargetState is what this instance believes of a target.
type TargetState string

// States of a target, the one that rules first. A target that is draining and
// ejected is shown as draining.
const (
	TargetDraining TargetState = "draining" // no new work: table, list or the target itself said so
	TargetEjected  TargetState = "ejected"  // no new work for a while, because of errors
	TargetCold     TargetState = "cold"     // in slow start, gets a part of its share
	TargetSlow     TargetState = "slow"     // latency at least slowFactor times that of the pool
	TargetServing  TargetState = "serving"
)

// slowFactor is the latency factor from which a target is shown as slow. The
// balancer counts smaller factors as equal.
const slowFactor = 2.0

// Target is one target of a pool.
type Target struct {
	Name          string      `json:"name"`
	Address       string      `json:"address"`
	FailureDomain string      `json:"failure_domain"`
	State         TargetState `json:"state"`
	// InSubset is false for targets outside this instance's subset.
	InSubset bool `json:"used"`
	// Slots is the smaller of the table's and the reported number.
	Slots int `json:"slots"`
	// InFlight counts requests of this instance at the target.
	InFlight int `json:"in_flight"`
	// EstimatedInFlight is the expected number of requests of all instances.
	EstimatedInFlight float64 `json:"believed_in_flight"`
	// LatencyFactor is the ratio of the target's latency to the pool's.
	LatencyFactor float64 `json:"latency_factor"`
	// ErrorRate is the share of recent requests that failed, from 0 to 1.
	ErrorRate float64 `json:"error_rate"`
	// EjectedForMillis is the rest of the ejection, in milliseconds.
	EjectedForMillis int64 `json:"ejected_for_ms"`
	// LastReportMillis is the age of the last load report, in milliseconds. It
	// counts from the start of the instance when there was none.
	LastReportMillis int64 `json:"last_report_ms"`
}
