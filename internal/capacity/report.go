package capacity

// Component is the component of a fleet that a cost belongs to.
type Component string

// Components.
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

// Measurement is one cost, measured at several values of one variable.
type Measurement struct {
	Component Component `json:"role"`
	// Cost names what was measured and Unit its unit.
	Cost string `json:"cost"`
	Unit string `json:"unit"`
	// Variable names x and its unit.
	Variable string  `json:"size"`
	Points   []Point `json:"points"`
	Fit      Fit     `json:"fit"`
}

// Report is the result of a run.
type Report struct {
	// Machine describes the machine of the run.
	Machine string `json:"machine"`
	// Seconds is the duration of the run.
	Seconds      float64       `json:"seconds"`
	Measurements []Measurement `json:"measurements"`
	// Traffic is the control traffic of one instance at the design size, by kind
	// of message. It does not depend on the machine.
	Traffic []Traffic `json:"control_traffic"`
	// Skipped names the experiments, parts of experiments and costs that there was
	// not enough time to measure.
	Skipped []string `json:"skipped,omitempty"`
}
