package capacity

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/dispatch"
	"github.com/dogwoodroute/dogwoodroute/routing"
	"github.com/dogwoodroute/dogwoodroute/tables"
)

// targetsPerPool is the mean number of targets in a pool: 560 targets in 50 pools.
const targetsPerPool = 11.2

// newDocument returns tables with one pool and one route for each service. Their
// targets are not started.
func newDocument(targets int) *tables.Document {
	d := &tables.Document{Version: 1}
	pools := max(1, int(float64(targets)/targetsPerPool+0.5))
	for p := range pools {
		name := fmt.Sprintf("service-%02d", p)
		d.Routes = append(d.Routes, tables.Route{Name: name, Match: tables.Match{PathPrefix: "/" + name + "/"}, Pool: name})
		d.Pools = append(d.Pools, newPool(name, p, (p+1)*targets/pools-p*targets/pools))
	}
	return d
}

func newPool(name string, number, targets int) tables.Pool {
	pool := tables.Pool{Name: name}
	for t := range targets {
		pool.Targets = append(pool.Targets, tables.Target{Name: fmt.Sprintf("%s-%03d", name, t),
			Address: fmt.Sprintf("127.%d.%d.%d:8080", 1+number, t/250, 1+t%250), FailureDomain: domains[t%len(domains)],
			Slots: 4, Connections: tables.DefaultConnections, State: tables.StateServing})
	}
	return pool
}

// domains holds two failure domains in each of two regions.
var domains = []string{"north-1", "north-2", "south-1", "south-2"}

// parsedDocument returns a new document as an instance reads it, with defaults
// filled in.
func parsedDocument(targets int) (*tables.Document, error) {
	text, err := json.MarshalIndent(newDocument(targets), "", "  ")
	if err != nil {
		return nil, errors.Wrap(err, "encode document")
	}
	return tables.Parse(text)
}

// measureDocuments measures the size of a document and the processor time to
// parse and apply it.
func measureDocuments(r *run) error {
	for _, targets := range r.options.Targets {
		d, err := parsedDocument(targets)
		if err != nil {
			return err
		}
		var schedulers []*dispatch.Scheduler
		for _, pool := range d.Pools {
			schedulers = append(schedulers, newScheduler(pool, 20))
		}
		parse := measurePerCall(r.stepDuration(400), func() { _, _ = tables.Parse(d.Source()) })
		apply := measurePerCall(r.stepDuration(400), func() {
			routing.NewMatcher(d)
			for i, s := range schedulers {
				s.SetPool(0, d.Pools[i])
			}
		})
		r.add(ComponentConfiguration, "size of a document", "B", "targets", targets, float64(len(d.Source())))
		r.add(ComponentConfiguration, "processor time to parse a document", "µs", "targets", targets, parse.cpuMicros)
		r.add(ComponentConfiguration, "processor time to parse a document", "µs", "KB of document", len(d.Source())/1000, parse.cpuMicros)
		r.add(ComponentConfiguration, "processor time to apply a document", "µs", "targets", targets, apply.cpuMicros)
		if r.ctx.Err() != nil {
			return r.ctx.Err()
		}
	}
	return nil
}

// newScheduler returns the scheduler of a pool in a fleet.
func newScheduler(pool tables.Pool, instances int) *dispatch.Scheduler {
	fleet := dispatch.Fleet{Instances: instances, Self: "i00"}
	for i := range instances {
		fleet.Members = append(fleet.Members, fmt.Sprintf("i%02d", i))
	}
	return dispatch.NewScheduler(dispatch.Options{Pool: pool, Rand: rand.New(rand.NewPCG(1, 2)),
		FailureDomain: domains[0], Fleet: fleet})
}
