package soak

import (
	"context"
	"net/http"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/internal/backoff"
	"github.com/dogwoodroute/dogwoodroute/platform"
	"github.com/dogwoodroute/dogwoodroute/platform/platformtest"
)

// services are assigned to the targets in turn.
var services = []string{"s0", "s1"}

// fleet holds the processes, fakes and proxies of a run.
type fleet struct {
	options    Options
	startedAt  time.Time
	recorder   *recorder
	store      *platformtest.Store
	instances  []*instance
	seeds      []string // of the instances, at the start
	targets    []*target
	client     *http.Client
	callers    atomic.Int64 // used for the numbers of callers of events
	configLock sync.Mutex
	seedsLock  sync.Mutex
	// evacuationLock is held during an evacuation, evacuated its failure domain.
	evacuationLock sync.Mutex
	evacuated      atomic.Pointer[string]
	config         catalog.Config
}

// newFleet starts the fakes and proxies and writes the settings of the instances.
// No instance runs yet.
func newFleet(o Options) (*fleet, error) {
	n, listener, err := chooseNetwork(o.Seed)
	if err != nil {
		return nil, err
	}
	if o.Program, err = filepath.Abs(o.Program); err != nil {
		return nil, err
	}
	f := &fleet{options: o, startedAt: time.Now(), recorder: new(recorder), store: platformtest.NewStoreOn(listener),
		client: &http.Client{Timeout: dialTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
	for number := range o.Targets {
		t, err := newTarget(n, number, f.recorder, f.now, platform.Dialect(), services[number/len(domains)%len(services)])
		if err != nil {
			f.close()
			return nil, err
		}
		t.crash = func() { f.crash(t) }
		f.targets = append(f.targets, t)
		f.publish(t)
	}
	f.seeds = []string{n.address(instanceSubnet, 0, peerPort), n.address(instanceSubnet, o.Instances-1, peerPort)}
	for number := range o.Instances {
		i, err := newInstance(n, o, number, f.seeds, f.store.Address())
		if err != nil {
			f.close()
			return nil, err
		}
		i.disturbed = func() { f.recorder.addDisturbance(i.settings.ID, f.now()) }
		f.instances = append(f.instances, i)
	}
	f.config = catalog.Config{Version: 1, Services: make(map[string]catalog.Service)}
	for _, name := range services {
		f.config.Services[name] = catalog.Service{Name: name, HealthPath: healthPaths[name], MaxConnections: 1000,
			Warmup: warmupTime, WarmupRate: warmupRate}
	}
	for number, r := range routes {
		f.config.Routes = append(f.config.Routes, catalog.Route{Name: r.name, Host: host, Prefix: "/" + r.name + "/",
			Services: []catalog.WeightedService{{Service: services[number%len(services)], Weight: 1}}, Idempotent: r.idempotent,
			Timeout: r.timeout, Objective: r.timeout / 4, Rank: number, MaxAttempts: 3})
	}
	f.putConfig()
	return f, nil
}

func (f *fleet) now() time.Duration { return time.Since(f.startedAt) }

// instanceAt returns the instance with the given caller address, or nil.
func (f *fleet) instanceAt(address string) *instance {
	for _, i := range f.instances {
		if i.settings.Addresses.Callers == address {
			return i
		}
	}
	return nil
}

// publish writes a target's entry to the store, and records the departure of a
// draining target.
func (f *fleet) publish(t *target) {
	entry := t.currentEntry()
	f.store.PutTarget(&entry)
	if entry.Draining {
		f.recorder.addDeparture(entry.ID, f.now())
	}
}

// unpublish removes a target's entry from the store and records its departure.
func (f *fleet) unpublish(t *target) {
	id := t.currentEntry().ID
	f.store.DeleteTarget(id)
	f.recorder.addDeparture(id, f.now())
}

// putConfig writes the current configuration to the store under a higher version.
func (f *fleet) putConfig() {
	f.config.Version += 1 + f.config.Version%3
	named := make(map[string][]string)
	for _, r := range f.config.Routes[:min(len(f.config.Routes), len(routes)+1)] { // without those that no caller uses
		for _, p := range r.Services {
			named[r.Name] = append(named[r.Name], p.Service)
		}
	}
	f.store.PutConfig(&f.config)
	f.recorder.addConfig(storedConfig{at: f.now(), services: named})
}

// waitReady waits until every instance reports that it is ready, and returns the
// identifiers of those that are not ready within the limit.
func (f *fleet) waitReady(ctx context.Context, limit time.Duration) []string {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var missing []string
	for _, i := range f.instances {
		for !platformtest.Ready(ctx, f.client, i.settings.Addresses.Readiness) && ctx.Err() == nil {
			backoff.Sleep(ctx, 20*time.Millisecond)
		}
		if ctx.Err() != nil {
			missing = append(missing, i.settings.ID)
		}
	}
	return missing
}

// close kills all processes that the run started and stops the fakes and proxies.
func (f *fleet) close() {
	for _, i := range f.instances {
		i.waitOrKill(0)
		i.close()
	}
	for _, t := range f.targets {
		t.close()
	}
	f.store.Close()
}
