package capacity

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/internal/testbed"
	"github.com/dogwoodroute/dogwoodroute/tables"
	"github.com/dogwoodroute/dogwoodroute/wire"
)

// readyLimit limits the time until a started fleet is ready.
const readyLimit = 20 * time.Second

// editCount is the number of configuration changes published to each fleet.
const editCount = 4

// measureFleets measures idle fleets without targets against their number of
// instances.
func measureFleets(r *run) error {
	baseline := memoryInUse()
	for _, instances := range r.options.Instances {
		f, err := startFleet(testbed.Options{Instances: instances, Domains: domains})
		if err != nil {
			return err
		}
		err = r.measureFleet(f, instances)
		r.add(ComponentControl, "memory of a quiet instance without pools", "B", "instances", instances, (memoryInUse()-baseline)/float64(instances))
		f.Close()
		if err != nil {
			return err
		}
	}
	return nil
}

func startFleet(o testbed.Options) (*testbed.Fleet, error) {
	f, err := testbed.Start(o)
	if err != nil {
		return nil, err
	}
	if err := f.WaitReady(readyLimit); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (r *run) measureFleet(f *testbed.Fleet, instances int) error {
	if err := r.sleep(time.Second); err != nil { // until connections and first tables are there
		return err
	}
	var err error
	before := countControl(f)
	u := measure(func() { err = r.sleep(r.stepDuration(25)) })
	if err != nil {
		return err
	}
	share, after := u.elapsed.Seconds()*float64(instances), countControl(f)
	r.add(ComponentPeers, "exchange messages, requests and answers", "1/s", "instances", instances,
		float64(after.exchange-before.exchange)/share)
	r.add(ComponentPeers, "bytes on connections, both ways", "B/s", "instances", instances, float64(after.bytes-before.bytes)/share)
	r.add(ComponentPeers, "processor time of a quiet instance without pools", "µs/s", "instances", instances, u.cpuMicros/share)
	status, err := json.Marshal(f.Instances()[0].Status())
	if err != nil {
		return errors.Wrap(err, "encode status")
	}
	r.add(ComponentOperators, "status without pools as JSON", "B", "instances", instances, float64(len(status)))
	if err := r.measureEdits(f, instances); err != nil {
		return err
	}
	return r.measureResolve(f, instances)
}

// measureEdits counts the calls of the configuration service and the document
// transfers between peers that a change causes.
func (r *run) measureEdits(f *testbed.Fleet, instances int) error {
	calls, before := f.Configuration.Calls(), countControl(f)
	for range editCount {
		f.Edit(func(*tables.Document) {})
		if err := r.sleep(600 * time.Millisecond); err != nil {
			return err
		}
	}
	share, after := float64(editCount*instances), countControl(f)
	r.add(ComponentConfiguration, "calls of the service per change and instance", "", "instances", instances,
		float64(f.Configuration.Calls()-calls)/share)
	r.add(ComponentConfiguration, "document transfers from peers per change and instance", "", "instances", instances,
		float64(after.content-before.content)/share/2)
	return nil
}

// measureResolve measures the size of a resolve response and the processor time
// of a resolve call, caller included.
func (r *run) measureResolve(f *testbed.Fleet, instances int) error {
	url, size := "http://"+f.Addresses()[0]+wire.PathResolve+"?failure_domain="+domains[0], 0
	var failure error
	u := measurePerCall(r.stepDuration(100), func() {
		body, err := fetch(url)
		if err != nil {
			failure = err
		}
		size = len(body)
	})
	if failure != nil {
		return failure
	}
	idle := measure(func() { failure = r.sleep(r.stepDuration(100)) })
	perCall := u.cpuMicros - idle.cpuMicros*u.elapsed.Seconds()/idle.elapsed.Seconds()
	r.add(ComponentResolve, "bytes of an answer", "B", "instances", instances, float64(size))
	r.add(ComponentResolve, "processor time, instance and caller, less the quiet fleet's", "µs", "instances", instances, perCall)
	return failure
}

func fetch(url string) ([]byte, error) {
	response, err := http.Get(url)
	if err != nil {
		return nil, errors.Wrap(err, "send request")
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, errors.Wrap(err, "read response")
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("status %d from %s", response.StatusCode, url)
	}
	return body, nil
}

// controlCounts holds counts of control traffic, summed over the instances of a
// fleet: messages of exchanges and content calls, and bytes on connections.
type controlCounts struct{ exchange, content, bytes uint64 }

func countControl(f *testbed.Fleet) controlCounts {
	var sum controlCounts
	for _, instance := range f.Instances() {
		for _, c := range instance.Status().Control {
			switch c.Kind {
			case "exchange":
				sum.exchange += c.MessagesIn + c.MessagesOut
			case "content":
				sum.content += c.MessagesIn // requests at the server, responses at the client
			case "connections":
				sum.bytes += c.BytesIn + c.BytesOut
			}
		}
	}
	return sum
}

// targetFleetInstances is the size of the fleet in which the number of targets
// varies.
const targetFleetInstances = 2

// measureTargets measures idle instances against the number of targets. The
// number of pools grows in proportion.
func measureTargets(r *run) error {
	f, err := startFleet(testbed.Options{Instances: targetFleetInstances, Domains: domains})
	if err != nil {
		return err
	}
	defer f.Close()
	if err := r.sleep(time.Second); err != nil {
		return err
	}
	baseline := memoryInUse()
	for _, targets := range r.options.Targets {
		d := newDocument(targets)
		f.Edit(func(present *tables.Document) { present.Routes, present.Pools = d.Routes, d.Pools })
		if err := r.sleep(time.Second); err != nil {
			return err
		}
		if got := len(f.Instances()[0].Status().Pools); got != len(d.Pools) {
			return errors.Errorf("%d of %d pools are in force after 1 s", got, len(d.Pools))
		}
		u := measure(func() { err = r.sleep(r.stepDuration(50)) })
		if err != nil {
			return err
		}
		r.add(ComponentControl, "processor time of a quiet instance", "µs/s", "targets", targets,
			u.cpuMicros/u.elapsed.Seconds()/targetFleetInstances)
		r.add(ComponentControl, "memory of a quiet instance above an empty one", "B", "targets", targets, (memoryInUse()-baseline)/targetFleetInstances)
		r.measureStatus(f, targets)
	}
	return nil
}

func (r *run) measureStatus(f *testbed.Fleet, targets int) {
	instance, size := f.Instances()[0], 0
	encode := measurePerCall(r.stepDuration(200), func() {
		text, err := json.Marshal(instance.Status())
		if err != nil {
			panic(err) // impossible: a status always encodes
		}
		size = len(text)
	})
	collect := measurePerCall(r.stepDuration(200), func() { instance.Status() })
	r.add(ComponentOperators, "status as JSON", "B", "targets", targets, float64(size))
	r.add(ComponentOperators, "processor time to collect and encode a status", "µs", "targets", targets, encode.cpuMicros)
	r.add(ComponentControl, "processor time to collect a status", "µs", "targets", targets, collect.cpuMicros)
}
