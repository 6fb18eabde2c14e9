package admin

// Route counts the requests of one route since the start of the instance.
type Route struct {
	Name string `json:"name"`
	// Requests is the sum of Answered and Refused. Canceled requests are not counted.
	Requests uint64 `json:"requests"`
	// Answered counts requests whose caller received the response of a target;
	// recorded responses are not counted.
	Answered uint64 `json:"answered"`
	// Refused counts requests that were refused.
	Refused uint64 `json:"refused"`
}
