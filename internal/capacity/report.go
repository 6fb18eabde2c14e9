package capacity

// Component is the part of the system that a cost belongs to.
type Component string

// Roles.
const (
	ComponentRequests      Component = "entry instance, request path"
	ComponentControl       Component = "entry instance, control"
	ComponentProbes        Component = "load measurement"
	ComponentPeers         Component = "peers"
	ComponentConfiguration Component = "configuration readers"
	ComponentResolve       Component = "callers' resolve"
	ComponentOperators     Component = "operators' tools"
	ComponentMemory        Component = "records in memory"
)

// Measurement is one cost against one size.
type Measurement struct {
	Component Component `json:"role"`
	// Cost names what was measured and Unit its unit.
	Cost string `json:"cost"`
	Unit string `json:"unit"`
	// Variable names x.
	Variable string  `json:"size"`
	Points   []Point `json:"points"`
	Fit      Fit     `json:"fit"`
}

// Report is the result of a run.
type Report struct {
	// Machine describes where the run took place.
	Machine string `json:"machine"`
	// Seconds is how long the run took.
	Seconds      float64       `json:"seconds"`
	Measurements []Measurement `json:"measurements"`
	// Traffic is the control traffic of one instance, by count.
	Traffic []Traffic `json:"control_traffic"`
	// Skipped names the experiments that the time did not suffice for.
	Skipped []string `json:"skipped,omitempty"`
}
