package admin

// Probes counts the load probes of a pool and gives their limits.
type Probes struct {
	// Granted is the number of probes that the budget allowed since the start.
	Granted uint64 `json:"granted"`
	// Refused is the number of due probes for which the budget was used up.
	Refused uint64 `json:"refused"`
	// InFlight is the number of probes in flight.
	InFlight int `json:"in_flight"`
	// PerRequest is the configured limit on probes per request.
	PerRequest float64 `json:"per_request"`
	// PerTargetPerSecond is the configured limit on probes that one target receives
	// from the whole fleet, in probes per second.
	PerTargetPerSecond float64 `json:"per_target_per_second"`
}
