package entry

// Resolution is the response to a resolve call.
type Resolution struct {
	// ValidForMillis is the time for which the response may be cached, in
	// milliseconds.
	ValidForMillis int64 `json:"valid_for_ms"`
	// Instances are to be chosen with a probability proportional to their weights.
	Instances []ResolvedInstance `json:"instances"`
}

// ResolvedInstance is one instance that a caller may use.
type ResolvedInstance struct {
	ID            string  `json:"id"`
	Address       string  `json:"address"`
	FailureDomain string  `json:"failure_domain"`
	Weight        float64 `json:"weight"`
}
