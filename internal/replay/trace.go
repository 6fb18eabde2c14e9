package replay

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/tables"
)

// Limits on what Read accepts.
const (
	maxTraceTargets   = 4096
	maxTraceInstances = 1024
	maxTraceArrivals  = 5_000_000
	maxLineBytes      = 1 << 20
)

// Trace is a recorded or generated run: the fleet, its faults and the arrivals.
type Trace struct {
	Header
	Arrivals []Arrival
}

// Header describes the fleet of a trace. It is the first line of a trace file.
type Header struct {
	// Name of the scenario.
	Name string `json:"name"`
	// Seed of the random sources of the policies.
	Seed uint64 `json:"seed"`
	// Pool lists the targets.
	Pool tables.Pool `json:"pool"`
	// Queue is the number of requests that wait at a target before it sheds.
	Queue int `json:"queue"`
	// Domains holds the failure domain of each instance.
	Domains []string `json:"domains"`
	// LocalDelay and RemoteDelay are one-way network delays within and between
	// failure domains, in microseconds.
	LocalDelay  int64 `json:"local_delay_us"`
	RemoteDelay int64 `json:"remote_delay_us"`
	// Faults change targets while the trace runs, in order of time.
	Faults []Fault `json:"faults"`
}

// FaultKind is the kind of a Fault.
type FaultKind string

// Fault kinds.
const (
	FaultSlow  FaultKind = "slow"  // service times are multiplied by Factor
	FaultError FaultKind = "error" // requests fail immediately
	FaultDrain FaultKind = "drain" // the target reports that it is draining
	FaultNone  FaultKind = "none"  // the target works normally again
)

// Fault is a change of one target's behaviour. It replaces earlier faults of the
// target.
type Fault struct {
	// At is the time in microseconds since the start.
	At int64 `json:"at_us"`
	// Target is an index in Header.Pool.Targets.
	Target int       `json:"target"`
	Kind   FaultKind `json:"kind"`
	// Factor multiplies the service times of FaultSlow.
	Factor float64 `json:"factor,omitempty"`
}

// Arrival is one request. It is one line of a trace file.
type Arrival struct {
	// At is the time in microseconds since the start.
	At int64 `json:"at"`
	// Instance is an index in Header.Domains.
	Instance int `json:"i"`
	// Service is the service time of the first attempt, RetryService that of
	// retries and hedged attempts, in microseconds.
	Service      int64 `json:"s"`
	RetryService int64 `json:"a"`
	// Deadline is the time that is left on arrival, in microseconds.
	Deadline   int64           `json:"d"`
	Class      tables.Class    `json:"c,omitempty"`
	Priority   tables.Priority `json:"p,omitempty"`
	Idempotent bool            `json:"r,omitempty"`
	Hedge      bool            `json:"h,omitempty"`
}

// Write encodes the trace as JSON lines: the header, then the arrivals.
func (t *Trace) Write(w io.Writer) error {
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	if err := encoder.Encode(&t.Header); err != nil {
		return errors.Wrap(err, "write trace header")
	}
	for i := range t.Arrivals {
		if err := encoder.Encode(&t.Arrivals[i]); err != nil {
			return errors.Wrap(err, "write trace")
		}
	}
	if err := buffered.Flush(); err != nil {
		return errors.Wrap(err, "write trace")
	}
	return nil
}

// Read decodes and validates a trace that Write has encoded. Errors name the line.
func Read(r io.Reader) (*Trace, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	trace := new(Trace)
	for line := 1; scanner.Scan(); line++ {
		if err := trace.addLine(line, scanner.Bytes()); err != nil {
			return nil, errors.Wrapf(err, "trace line %d", line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Wrap(err, "read trace")
	}
	if len(trace.Domains) == 0 {
		return nil, errors.New("trace is empty")
	}
	return trace, nil
}

func (t *Trace) addLine(line int, text []byte) error {
	if line == 1 {
		if err := json.Unmarshal(text, &t.Header); err != nil {
			return err
		}
		return t.validate()
	}
	var a Arrival
	if err := json.Unmarshal(text, &a); err != nil {
		return err
	}
	var previousAt int64
	if n := len(t.Arrivals); n > 0 {
		previousAt = t.Arrivals[n-1].At
	}
	switch {
	case len(t.Arrivals) >= maxTraceArrivals:
		return fmt.Errorf("more than %d arrivals", maxTraceArrivals)
	case a.At < previousAt:
		return fmt.Errorf("arrival at %d µs is before %d µs", a.At, previousAt)
	case a.Instance < 0 || a.Instance >= len(t.Domains):
		return fmt.Errorf("instance %d does not exist", a.Instance)
	case a.Service <= 0 || a.RetryService <= 0 || a.Deadline <= 0:
		return errors.New("service times and deadline must be above 0")
	}
	t.Arrivals = append(t.Arrivals, a)
	return nil
}

// validate validates the header.
func (t *Trace) validate() error {
	switch {
	case len(t.Domains) == 0 || len(t.Domains) > maxTraceInstances:
		return fmt.Errorf("%d instances are outside 1 to %d", len(t.Domains), maxTraceInstances)
	case len(t.Pool.Targets) == 0 || len(t.Pool.Targets) > maxTraceTargets:
		return fmt.Errorf("%d targets are outside 1 to %d", len(t.Pool.Targets), maxTraceTargets)
	case t.LocalDelay < 0 || t.RemoteDelay < 0 || t.Queue < 0:
		return errors.New("delays and queue must not be negative")
	}
	for _, target := range t.Pool.Targets {
		if target.Slots < 1 || target.Slots > tables.MaxSlots {
			return fmt.Errorf("target %s: %d slots are outside 1 to %d", target.Name, target.Slots, tables.MaxSlots)
		}
	}
	for _, fault := range t.Faults {
		if fault.Target < 0 || fault.Target >= len(t.Pool.Targets) {
			return fmt.Errorf("fault of target %d, which does not exist", fault.Target)
		}
		if fault.Kind == FaultSlow && !(fault.Factor > 0) {
			return errors.New("factor of a slow target must be above 0")
		}
	}
	return nil
}

// delay returns the one-way network delay between an instance and a target.
func (t *Trace) delay(instance, target int) time.Duration {
	if t.Domains[instance] == t.Pool.Targets[target].FailureDomain {
		return microseconds(t.LocalDelay)
	}
	return microseconds(t.RemoteDelay)
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
