package admin

// Status is what one instance knows and believes at one moment. Lists that
// have no entries may be null.
type Status struct {
	Instance      Instance      `json:"instance"`
	Configuration Configuration `json:"configuration"`
	Fleet         Fleet         `json:"fleet"`
	Pools         []Pool        `json:"pools"`
	// Routes count requests by route.
	Routes   []Route  `json:"routes"`
	Refusals Refusals `json:"refusals"`
	// Control is the traffic that serves no request, by kind of message.
	Control []ControlTraffic `json:"control"`
	// AbortedRequests counts requests that this instance cut off while it stopped.
	// It is above 0 only when the shutdown limit was reached.
	AbortedRequests uint64 `json:"cut_requests"`
}

// InFlight returns the attempts in flight in all pools.
func (s *Status) InFlight() int {
	total := 0
	for i := range s.Pools {
		total += s.Pools[i].InFlight
	}
	return total
}
