package admin

// ExtraAttempts are the retries and hedged requests of a pool since the start. Both
// draw on one budget.
type ExtraAttempts struct {
	Retries uint64 `json:"retries"`
	Hedges  uint64 `json:"hedges"`
	// HedgeWins counts requests that a hedge answered first.
	HedgeWins uint64 `json:"hedge_wins"`
	// Budget is the number that the requests sent so far allow at most.
	Budget uint64 `json:"budget"`
}
