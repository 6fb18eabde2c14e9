package tables

// TargetState is the state of a target that the operators set.
type TargetState string

// Target states.
const (
	StateServing  TargetState = "serving"
	StateDraining TargetState = "draining" // receives no new requests; requests in flight are completed
)

// Limits and defaults of the fields of pools and targets.
const (
	MaxSlots                        = 4096
	DefaultConnections              = 300
	MaxConnections                  = 65535
	DefaultProbesPerRequest         = 0.02
	MaxProbesPerRequest             = 10.0
	DefaultProbesPerTargetPerSecond = 100.0
	MaxProbesPerTargetPerSecond     = 10000.0
	DefaultIdleProbesPerSecond      = 2.0
	MaxIdleProbesPerSecond          = 1000.0
)

// Pool is a named set of targets.
type Pool struct {
	// Name identifies the pool. Required; unique; at most 128 bytes.
	Name string `json:"name"`
	// Targets serve the pool's requests. At least one. Names and addresses are
	// unique in a pool.
	Targets []Target `json:"targets"`
	// Measure is the budget of load probes.
	Measure Measure `json:"measure"`
	// Closed, if set, makes the pool refuse all requests and is the reason given to
	// callers. At most 512 bytes.
	Closed string `json:"closed"`
	// LongOnly is set by Parse if the pool has routes and all of them have the class
	// long. No slots are then reserved for short requests.
	LongOnly bool `json:"-"`
}

// Target is one server of a pool.
type Target struct {
	// Name identifies the target in the status and the time line. Required; unique in
	// the pool; at most 128 bytes.
	Name string `json:"name"`
	// Address is the IP address and port of the target. Required.
	Address string `json:"address"`
	// FailureDomain is the failure domain that the target runs in. Required.
	FailureDomain string `json:"failure_domain"`
	// Slots is the number of requests that the target processes concurrently.
	// Required; from 1 to 4096.
	Slots int `json:"slots"`
	// Connections is the number of connections that the target accepts from the
	// whole fleet. Default 300, from 1 to 65535.
	Connections int `json:"connections"`
	// State is "serving" (default) or "draining".
	State TargetState `json:"state"`
}

// Measure is the budget of load probes of a pool, for the whole fleet. The limits
// per request and per target both apply. Idle probes are not counted against them.
type Measure struct {
	// ProbesPerRequest limits the number of probes per request. Default 0.02, from
	// 0 to 10. Responses carry load reports, too, so that more probes do not reduce
	// the tail latency.
	ProbesPerRequest *float64 `json:"probes_per_request"`
	// ProbesPerTargetPerSecond limits the probes that one target receives, in
	// probes per second. Default 100, from 0 to 10000.
	ProbesPerTargetPerSecond *float64 `json:"probes_per_target_per_second"`
	// IdleProbesPerTargetPerSecond limits the probes that one target receives
	// independently of requests, in probes per second. They detect draining
	// targets in idle pools. Default 2, from 0 to 1000. Only half of the limit is
	// used: with the default, a target is probed about once per second.
	IdleProbesPerTargetPerSecond *float64 `json:"idle_probes_per_target_per_second"`
}

// PerRequest returns the limit on probes per request.
func (m Measure) PerRequest() float64 {
	return valueOr(m.ProbesPerRequest, DefaultProbesPerRequest)
}

// PerTargetPerSecond returns the limit on probes per target, in probes per second.
func (m Measure) PerTargetPerSecond() float64 {
	return valueOr(m.ProbesPerTargetPerSecond, DefaultProbesPerTargetPerSecond)
}

// IdlePerTargetPerSecond returns the limit on idle probes per target, in probes
// per second.
func (m Measure) IdlePerTargetPerSecond() float64 {
	return valueOr(m.IdleProbesPerTargetPerSecond, DefaultIdleProbesPerSecond)
}

func valueOr(v *float64, fallback float64) float64 {
	if v == nil {
		return fallback
	}
	return *v
}
