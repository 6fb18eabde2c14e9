package admin

// Subject is a kind of state that is compared between instances.
type Subject string

// Subjects of disagreements.
const (
	SubjectVersion Subject = "version" // version or digest of the configuration
	SubjectMembers Subject = "members" // number of live members
	SubjectTarget  Subject = "target"  // state of a target
)

// Disagreement lists the different views that instances have of one subject.
type Disagreement struct {
	Subject Subject `json:"subject"`
	// Pool and Target are only set for SubjectTarget.
	Pool   string `json:"pool,omitempty"`
	Target string `json:"target,omitempty"`
	// Views are ordered by their number of instances, largest first.
	Views []View `json:"views"`
}
