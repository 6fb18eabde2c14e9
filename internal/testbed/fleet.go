package testbed

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/configservice"
	"github.com/dogwoodroute/dogwoodroute/internal/standin"
	"github.com/dogwoodroute/dogwoodroute/tables"
)

// Fleet is a running system of instances, targets and platform services. Its methods
// are safe for concurrent use, except that none may be called after Close.
type Fleet struct {
	// Configuration and InstanceList are the platform's fake services for the tables
	// and for the list of instances.
	Configuration, InstanceList *standin.Value

	options   Options
	platform  []*httptest.Server
	blocker   *blocker
	partition partition
	targets   []*Target

	mu        sync.Mutex
	document  tables.Document
	instances []*Instance
	leaving   []string // addresses of leaving targets
}

// Target is a fake target with its pool, name and failure domain in the tables.
type Target struct {
	*standin.Target
	Pool, Name, Domain string
}

// Start starts a fleet. It does not wait until the fleet serves; see WaitReady.
func Start(o Options) (*Fleet, error) {
	if o.Instances == 0 {
		o.Instances = 1
	}
	if len(o.Domains) == 0 {
		o.Domains = []string{"a"}
	}
	f := &Fleet{options: o, Configuration: standin.NewValue(nil), InstanceList: standin.NewValue(nil)}
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() error {
	f.blocker = newBlocker(f.Configuration)
	f.platform = []*httptest.Server{httptest.NewServer(f.blocker), httptest.NewServer(f.InstanceList)}
	f.document = tables.Document{Version: 1, Routes: f.options.Routes}
	for _, pool := range f.options.Pools {
		if err := f.startPool(pool); err != nil {
			return err
		}
	}
	f.publish()
	for n := range f.options.Instances {
		instance, err := f.newInstance(n)
		if err != nil {
			return err
		}
		f.instances = append(f.instances, instance)
	}
	f.publishList()
	for _, instance := range f.instances {
		instance.start()
	}
	return nil
}

func (f *Fleet) startPool(p Pool) error {
	entry := tables.Pool{Name: p.Name, Measure: p.Measure}
	for n := range p.Targets {
		o := p.Target
		o.Name, o.Slots = fmt.Sprintf("%s-%02d", p.Name, n), p.Slots
		target, err := standin.StartTarget(o)
		if err != nil {
			return errors.Wrapf(err, "start target %s", o.Name)
		}
		domain := f.options.Domains[n%len(f.options.Domains)]
		f.targets = append(f.targets, &Target{Target: target, Pool: p.Name, Name: o.Name, Domain: domain})
		entry.Targets = append(entry.Targets, tables.Target{Name: o.Name, Address: target.Address(),
			FailureDomain: domain, Slots: p.Slots, Connections: tables.DefaultConnections, State: tables.StateServing})
	}
	f.document.Pools = append(f.document.Pools, entry)
	return nil
}

// InstancesURL returns the URL of the list of instances.
func (f *Fleet) InstancesURL() string { return f.platform[1].URL }

// Targets returns the fake targets, in the order of the pools.
func (f *Fleet) Targets() []*Target { return f.targets }

// Instances returns the instance that was started last at each index.
func (f *Fleet) Instances() []*Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.instances)
}

// Document returns the configuration that was published last by Start or Edit.
func (f *Fleet) Document() []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.encode()
}

// Edit changes the tables, publishes them under the next version, and returns that
// version. change must not call methods of the Fleet.
func (f *Fleet) Edit(change func(*tables.Document)) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.document.Version++
	change(&f.document)
	f.publish()
	return f.document.Version
}

// ListLeaving publishes a target as leaving in the list of instances.
func (f *Fleet) ListLeaving(t *Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = append(f.leaving, t.Address())
	f.publishList()
}

// publish publishes the document in the configuration service. The caller holds mu,
// or runs before the fleet is shared.
func (f *Fleet) publish() { f.Configuration.Set(f.encode()) }

func (f *Fleet) encode() []byte {
	data, err := json.MarshalIndent(&f.document, "", "  ")
	if err != nil {
		panic(err) // cannot fail: plain data
	}
	return data
}

// publishList publishes the list of instances without those that Unlist removed. The
// caller holds mu, or runs before the fleet is shared.
func (f *Fleet) publishList() {
	list := configservice.List{Instances: []configservice.Instance{}, LeavingTargets: f.leaving}
	for _, instance := range f.instances {
		if instance != nil && !instance.unlisted.Load() {
			list.Instances = append(list.Instances, instance.entry)
		}
	}
	data, err := json.Marshal(&list)
	if err != nil {
		panic(err) // cannot fail: plain data
	}
	f.InstanceList.Set(data)
}

// WaitReady waits until every instance serves and counts the whole fleet as live, or
// has ended. It returns an error if that takes longer than the limit.
func (f *Fleet) WaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, instance := range f.Instances() {
		for !instance.ready(f.options.Instances) {
			if time.Now().After(end) {
				return errors.Errorf("instance %s is not ready after %v", instance.entry.ID, limit)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return nil
}

// Addresses returns the addresses at which the instances serve callers.
func (f *Fleet) Addresses() []string {
	var addresses []string
	for _, instance := range f.Instances() {
		addresses = append(addresses, instance.entry.CallerAddress)
	}
	return addresses
}

// Close kills the instances and stops the platform and the targets.
func (f *Fleet) Close() {
	var kills sync.WaitGroup
	for _, instance := range f.Instances() {
		kills.Go(func() { _ = instance.Kill() })
	}
	kills.Wait()
	for _, server := range f.platform {
		server.CloseClientConnections()
		server.Close()
	}
	for _, target := range f.targets {
		target.Close()
	}
}
