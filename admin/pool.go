package admin

// Pool is this instance's state of one pool.
type Pool struct {
	Name string `json:"name"`
	// Closed is the operator's reason when the pool refuses every request.
	Closed  string   `json:"closed,omitempty"`
	Targets []Target `json:"targets"`
	// Queue counts requests that wait.
	Queue Queue `json:"queue"`
	// Window is the bound on attempts in flight from this instance.
	Window float64 `json:"window"`
	// InFlight and LongInFlight count attempts of this instance.
	InFlight     int `json:"in_flight"`
	LongInFlight int `json:"long_in_flight"`
	// ExtraAttempts count retries and hedges.
	ExtraAttempts ExtraAttempts `json:"resends"`
	Probes        Probes        `json:"probes"`
}
