package admin

// View is one value of a subject and the instances that report it.
type View struct {
	Value string `json:"value"`
	// Instances are the IDs of the instances, sorted.
	Instances []string `json:"instances"`
}
