package admin

// Fleet is this instance's view of all instances.
type Fleet struct {
	// MayBeAlive is an upper bound on the number of instances that are alive,
	// including this one. Fleet-wide budgets are divided by it. 0 while unknown.
	MayBeAlive int `json:"may_be_alive"`
	// Live is the number of members with recent contact, including this one.
	Live  int    `json:"live"`
	Peers []Peer `json:"peers"`
}
