package capacity

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/go-faster/errors"
)

// experiment measures one or more costs.
type experiment struct {
	name string
	run  func(*run) error
}

var experiments = []experiment{
	{"documents", measureDocuments},
	{"decision tasks", measureTicks},
	{"probes", measureProbes},
	{"records", measureRecords},
	{"instances with several numbers of targets", measureTargets},
	{"requests", measureRequests},
	{"requests in flight", measureInFlight},
	// Last, because closed fleets leave garbage that disturbs small measurements.
	{"fleets of several sizes", measureFleets},
}

// run is the state of one Run.
type run struct {
	ctx         context.Context
	options     Options
	report      *Report
	seriesIndex map[string]int // index in report.Measurements, by component, cost and variable
}

// Run runs all experiments that Options.Duration leaves time for and computes the
// control traffic. It returns an error if a measurement fails, but not if the
// time or ctx ends: what was not measured is listed in Report.Skipped.
func Run(ctx context.Context, o Options) (*Report, error) {
	o.setDefaults()
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	r := &run{ctx: ctx, options: o, seriesIndex: make(map[string]int), report: &Report{Machine: machine()}}
	for _, e := range experiments {
		if ctx.Err() != nil {
			r.report.Skipped = append(r.report.Skipped, e.name)
			continue
		}
		o.Progress("measuring " + e.name)
		switch err := e.run(r); {
		case err != nil && ctx.Err() != nil:
			r.report.Skipped = append(r.report.Skipped, "the rest of "+e.name)
		case err != nil:
			return nil, errors.Wrapf(err, "measure %s", e.name)
		}
	}
	r.fitMeasurements()
	var err error
	if r.report.Traffic, err = ControlTraffic(); err != nil {
		return nil, errors.Wrap(err, "count control traffic")
	}
	r.report.Seconds = time.Since(started).Seconds()
	return r.report, nil
}

func machine() string {
	return fmt.Sprintf("%s %s/%s, %d processors, shared with other programs; all stand-ins in one process",
		runtime.Version(), runtime.GOOS, runtime.GOARCH, runtime.NumCPU())
}

// stepDuration returns a fraction of the duration of the run, for one step of an
// experiment.
func (r *run) stepDuration(divisor int) time.Duration {
	return r.options.Duration / time.Duration(divisor)
}

// add adds a point to the measurement with this component, cost and variable. It
// creates the measurement if there is none.
func (r *run) add(role Component, cost, unit, size string, x int, y float64) {
	key := string(role) + "\x00" + cost + "\x00" + size
	index, known := r.seriesIndex[key]
	if !known {
		index = len(r.report.Measurements)
		r.seriesIndex[key] = index
		r.report.Measurements = append(r.report.Measurements, Measurement{Component: role, Cost: cost, Unit: unit, Variable: size})
	}
	m := &r.report.Measurements[index]
	m.Points = append(m.Points, Point{X: float64(x), Y: y})
}

// fitMeasurements fits a line to each measurement with at least two points. It
// removes the others and adds them to Report.Skipped.
func (r *run) fitMeasurements() {
	kept := r.report.Measurements[:0]
	for _, m := range r.report.Measurements {
		if len(m.Points) < 2 {
			r.report.Skipped = append(r.report.Skipped, m.Cost)
			continue
		}
		m.Fit = fitLine(m.Points)
		kept = append(kept, m)
	}
	r.report.Measurements = kept
}

// sleep waits for d. It returns an error if the run ends before.
func (r *run) sleep(d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-r.ctx.Done():
		return r.ctx.Err()
	}
}
