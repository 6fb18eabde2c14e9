package placement

// ProbeResult is how a target answered a probe.
type ProbeResult int

const (
	// ProbeSilent is no complete and valid answer.
	ProbeSilent ProbeResult = iota
	// ProbeIll is an answer of a target that calls itself ill, or leaves.
	ProbeIll
	// ProbeWell is an answer of a target that calls itself well.
	ProbeWell
)

// String returns the result as written to logs.
func (r ProbeResult) String() string { return [...]string{"silent", "ill", "well"}[r] }
