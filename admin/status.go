package admin

// Status is the state of one instance and its view of the fleet at one time. Lists
// without entries may be null.
type Status struct {
	Instance      Instance      `json:"instance"`
	Configuration Configuration `json:"configuration"`
	Fleet         Fleet         `json:"fleet"`
	Pools         []Pool        `json:"pools"`
	// Routes count requests by route.
	Routes   []Route  `json:"routes"`
	Refusals Refusals `json:"refusals"`
	// Control is the traffic of control messages, by kind.
	Control []ControlTraffic `json:"control"`
	// AbortedRequests is the number of requests that this instance aborted when a
	// planned stop reached the shutdown limit or StopNow was called.
	AbortedRequests uint64 `json:"cut_requests"`
}

// InFlight returns the number of attempts in flight in all pools.
func (s *Status) InFlight() int {
	total := 0
	for i := range s.Pools {
		total += s.Pools[i].InFlight
	}
	return total
}
