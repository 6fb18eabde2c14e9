package admin

// ExtraAttempts counts the retries and hedged requests of a pool since the start of
// the instance. Both use the same budget.
type ExtraAttempts struct {
	Retries uint64 `json:"retries"`
	Hedges  uint64 `json:"hedges"`
	// HedgeWins counts requests for which the hedged request responded first.
	HedgeWins uint64 `json:"hedge_wins"`
	// Budget is the maximum of Retries and Hedges together that the requests sent
	// so far allow.
	Budget uint64 `json:"budget"`
}
