package bench

import (
	"context"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/internal/load"
	"github.com/dogwoodroute/dogwoodroute/internal/replay"
	"github.com/dogwoodroute/dogwoodroute/internal/testbed"
	"github.com/dogwoodroute/dogwoodroute/transport"
)

const (
	// OverheadRate is the rate of each path, through the instance and directly
	// to the target, in calls per second.
	OverheadRate = 1600
	// overheadSlots is high enough that no call waits for a slot.
	overheadSlots    = 1024
	overheadPool     = "overhead"
	overheadDuration = 10 * time.Second
	// overheadConnections limits the connections to each address.
	overheadConnections  = 256
	overheadReadyTimeout = time.Minute
	// overheadWarmUp is the time before the measurement in which calls open the
	// connections.
	overheadWarmUp = time.Second
	// overheadTimeout limits one call.
	overheadTimeout = 5 * time.Second
)

// Overhead measures the latency, CPU time and memory that one instance adds to
// calls, compared with direct calls to the same target. Latencies are measured
// first, with calls on both paths interleaved for Options.Duration. Then each
// path is used alone for half of that time, to measure its CPU time.
func Overhead(ctx context.Context, o Options) (*OverheadResult, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	if o.Duration == 0 {
		o.Duration = overheadDuration
	}
	start := time.Now()
	progress := func(text string) {
		if o.Progress != nil {
			o.Progress(time.Since(start), text)
		}
	}
	pool := testbed.Pool{Name: overheadPool, Targets: 1, Slots: overheadSlots}
	pool.Target.ServiceTime = func(*http.Request) time.Duration { return 0 }
	fleet, err := testbed.Start(testbed.Options{Pools: []testbed.Pool{pool}, Routes: load.Routes(overheadPool)})
	if err != nil {
		return nil, errors.Wrap(err, "start instance")
	}
	defer fleet.Close()
	if err := fleet.WaitReady(overheadReadyTimeout); err != nil {
		return nil, err
	}
	client := transport.NewClient(transport.Options{ConnectionLimit: func(string) int { return overheadConnections }})
	defer client.Close()
	m := &overheadRun{client: client, directAddress: fleet.Targets()[0].Address(), instanceAddress: fleet.Addresses()[0], seed: o.Seed, progress: progress}
	return m.measure(ctx, o.Duration)
}

// overheadRun is the state of one Overhead.
type overheadRun struct {
	client                         *transport.Client
	directAddress, instanceAddress string
	seed                           uint64
	progress                       func(string)
}

func (m *overheadRun) measure(ctx context.Context, duration time.Duration) (*OverheadResult, error) {
	r := &OverheadResult{Seed: m.seed, Seconds: duration.Seconds(), Rate: OverheadRate}
	debug.FreeOSMemory()
	r.IdleBytes = residentBytes()
	m.progress("opening connections")
	m.run(ctx, overheadWarmUp, m.directAddress, m.instanceAddress)
	m.progress("both kinds of calls, interleaved")
	paths := m.run(ctx, duration, m.directAddress, m.instanceAddress)
	r.LoadedBytes = residentBytes()
	r.Direct, r.Through = paths[0].summary(), paths[1].summary()
	r.AddedP50, r.AddedP99 = r.Through.P50-r.Direct.P50, r.Through.P99-r.Direct.P99
	for _, path := range []struct {
		text, address string
		micros        *float64
	}{{"direct calls alone", m.directAddress, &r.Direct.CPUMicros}, {"calls through the instance alone", m.instanceAddress, &r.Through.CPUMicros}} {
		m.progress(path.text)
		before := cpuTime()
		calls := m.run(ctx, duration/2, path.address)[0].sent
		*path.micros = float64((cpuTime() - before).Microseconds()) / float64(max(calls, 1))
	}
	r.AddedCPUMicros = r.Through.CPUMicros - r.Direct.CPUMicros
	return r, ctx.Err()
}

// arrivals returns a Poisson process with OverheadRate. Each path has its own.
func (m *overheadRun) arrivals(length time.Duration, pathIndex int) []replay.Arrival {
	const service = time.Microsecond // the target ignores it
	return replay.Generate(replay.Workload{Name: overheadPool, Seed: m.seed + uint64(pathIndex), Targets: 1, Slots: overheadSlots,
		Instances: 1, Domains: []string{"a"}, Duration: length, MeanService: service, Deadline: overheadTimeout,
		Load: replay.Constant(OverheadRate * service.Seconds() / overheadSlots)}).Arrivals
}
