package admin

// Pool is the state of one pool on this instance.
type Pool struct {
	Name string `json:"name"`
	// Closed is the operator's reason if the pool refuses all requests, else empty.
	Closed  string   `json:"closed,omitempty"`
	Targets []Target `json:"targets"`
	// Queue counts waiting requests.
	Queue Queue `json:"queue"`
	// Window is the limit on attempts in flight from this instance.
	Window float64 `json:"window"`
	// InFlight and LongInFlight are the numbers of attempts of this instance in
	// flight, of all classes and of class long.
	InFlight     int `json:"in_flight"`
	LongInFlight int `json:"long_in_flight"`
	// ExtraAttempts counts retries and hedged requests.
	ExtraAttempts ExtraAttempts `json:"resends"`
	Probes        Probes        `json:"probes"`
}
