package replay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/dogwoodroute/dogwoodroute/tables"
)

// Workload describes a fleet and the arrivals and service times to generate.
type Workload struct {
	Name string
	Seed uint64
	// Targets and Instances are numbers, Slots is the number of slots of each
	// target. Targets and instances are assigned to Domains in turn.
	Targets, Slots, Instances int
	Domains                   []string
	// LocalDelay and RemoteDelay are one-way network delays.
	LocalDelay, RemoteDelay time.Duration
	// Queue is the number of requests that wait at a target before it sheds.
	Queue int
	// Duration of the arrivals.
	Duration time.Duration
	// Load returns the share of all slots that short requests need on average,
	// at a time since the start.
	Load func(at time.Duration) float64
	// MeanService is the mean service time of short requests without stragglers.
	// Service times are lognormal.
	MeanService time.Duration
	// StragglerShare is the share of short requests that run StragglerFactor
	// times longer. For half of them all attempts do, for the others only the
	// first.
	StragglerShare, StragglerFactor float64
	// LongShare is the share of all slots that long requests need on average, in
	// addition to Load. LongService is their mean service time. Long requests
	// have priority low.
	LongShare   float64
	LongService time.Duration
	// HighShare is the share of short requests that have priority high. They are
	// neither idempotent nor hedged.
	HighShare float64
	// Deadline of short requests. Long requests have ten times this deadline.
	Deadline time.Duration
	Faults   []Fault
}

// sigma is the shape parameter of the lognormal service times.
const sigma = 0.6

// Generate returns a trace of a workload. Equal workloads give equal traces.
func Generate(w Workload) *Trace {
	g := &generator{workload: w, rand: rand.New(rand.NewPCG(w.Seed, 0x7ace))}
	t := &Trace{Header: Header{Name: w.Name, Seed: w.Seed, Queue: w.Queue, Faults: w.Faults,
		LocalDelay: w.LocalDelay.Microseconds(), RemoteDelay: w.RemoteDelay.Microseconds(),
		Pool: tables.Pool{Name: w.Name}}}
	for i := range w.Targets {
		t.Pool.Targets = append(t.Pool.Targets, tables.Target{Name: fmt.Sprintf("t%03d", i),
			Address: fmt.Sprintf("127.0.0.1:%d", 20000+i), FailureDomain: w.Domains[i%len(w.Domains)],
			Slots: w.Slots, Connections: tables.DefaultConnections, State: tables.StateServing})
	}
	for i := range w.Instances {
		t.Domains = append(t.Domains, w.Domains[i%len(w.Domains)])
	}
	t.Arrivals = g.arrivals()
	return t
}

type generator struct {
	workload Workload
	rand     *rand.Rand
	weights  []float64 // share of the arrivals by instance; sums to 1
}

// redistributeInterval is the time between changes of the instances' shares.
const redistributeInterval = time.Second

// arrivals draws a Poisson process whose rate follows Workload.Load.
func (g *generator) arrivals() []Arrival {
	w := &g.workload
	slots := float64(w.Targets * w.Slots)
	meanShort := w.MeanService.Seconds() * (1 + w.StragglerShare*(w.StragglerFactor-1))
	longRate := 0.0
	if w.LongShare > 0 {
		longRate = w.LongShare * slots / w.LongService.Seconds()
	}
	var arrivals []Arrival
	var sharesUntil time.Duration
	for at := time.Duration(0); ; {
		shortRate := w.Load(at) * slots / meanShort
		at += time.Duration(g.rand.ExpFloat64() / (shortRate + longRate) * float64(time.Second))
		if at >= w.Duration {
			return arrivals
		}
		if at >= sharesUntil {
			g.redistributeCallers()
			sharesUntil = at + redistributeInterval
		}
		long := g.rand.Float64()*(shortRate+longRate) < longRate
		arrivals = append(arrivals, g.arrival(at, long))
	}
}

// redistributeCallers draws a new share of the arrivals for each instance,
// between about 0.5 and 1.5 times the mean share.
func (g *generator) redistributeCallers() {
	g.weights = make([]float64, g.workload.Instances)
	total := 0.0
	for i := range g.weights {
		g.weights[i] = 0.5 + g.rand.Float64()
		total += g.weights[i]
	}
	for i := range g.weights {
		g.weights[i] /= total
	}
}

func (g *generator) instance() int {
	point := g.rand.Float64()
	for i, weight := range g.weights {
		if point -= weight; point < 0 {
			return i
		}
	}
	return len(g.weights) - 1
}

func (g *generator) arrival(at time.Duration, long bool) Arrival {
	w := &g.workload
	a := Arrival{At: at.Microseconds(), Instance: g.instance(), Class: tables.ClassShort,
		Priority: tables.PriorityNormal, Deadline: w.Deadline.Microseconds(), Idempotent: true, Hedge: true}
	if long {
		a.Class, a.Priority, a.Deadline, a.Hedge = tables.ClassLong, tables.PriorityLow, 10*a.Deadline, false
		a.Service, a.RetryService = g.service(w.LongService), g.service(w.LongService)
		return a
	}
	a.Service, a.RetryService = g.service(w.MeanService), g.service(w.MeanService)
	if g.rand.Float64() < w.StragglerShare {
		a.Service = int64(float64(a.Service) * w.StragglerFactor)
		if g.rand.IntN(2) == 0 {
			a.RetryService = a.Service
		}
	}
	if g.rand.Float64() < w.HighShare {
		a.Priority, a.Idempotent, a.Hedge = tables.PriorityHigh, false, false
	}
	return a
}

// service draws a lognormal service time with the given mean and returns it in
// microseconds, at least 1.
func (g *generator) service(mean time.Duration) int64 {
	factor := math.Exp(sigma*g.rand.NormFloat64() - sigma*sigma/2)
	return max(1, int64(factor*float64(mean.Microseconds())))
}

// Constant returns a Workload.Load that does not change over time.
func Constant(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}
