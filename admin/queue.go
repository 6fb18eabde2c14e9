package admin

// Queue counts the waiting requests of a pool by priority.
type Queue struct {
	High   int `json:"high"`
	Normal int `json:"normal"`
	Low    int `json:"low"`
	// Retries counts requests that wait for a retry.
	Retries int `json:"retries"`
}
