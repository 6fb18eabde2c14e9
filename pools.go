package dogwoodroute

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/dogwoodroute/dogwoodroute/balancer"
	"github.com/dogwoodroute/dogwoodroute/dispatch"
	"github.com/dogwoodroute/dogwoodroute/entry"
	"github.com/dogwoodroute/dogwoodroute/membership"
	"github.com/dogwoodroute/dogwoodroute/routing"
	"github.com/dogwoodroute/dogwoodroute/tables"
	"github.com/dogwoodroute/dogwoodroute/timeline"
	"github.com/dogwoodroute/dogwoodroute/wire"
)

// poolSet runs one dispatch task per pool.
type poolSet struct {
	ctx      context.Context
	instance *Instance
	tasks    sync.WaitGroup

	mu       sync.Mutex // apply and fleetChanged are called by different tasks
	running  map[string]*runningPool
	fleet    dispatch.Fleet
	draining []string
}

type runningPool struct {
	task *dispatch.Task
	stop context.CancelFunc
}

func newPoolSet(ctx context.Context, i *Instance) *poolSet {
	return &poolSet{ctx: ctx, instance: i, running: make(map[string]*runningPool)}
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// apply puts a document in force. It keeps the tasks of pools that exist already,
// starts tasks for new pools, and stops those of removed pools after a delay.
func (p *poolSet) apply(d *tables.Document) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := p.instance
	view := &entry.View{Document: d, Matcher: routing.NewMatcher(d), Limiters: entry.NewLimiters(d, len(p.fleet.Members)),
		Pools: make(map[string]*dispatch.Task, len(d.Pools))}
	for _, pool := range d.Pools {
		view.Pools[pool.Name] = p.pool(pool)
	}
	i.limits.Store(newConnectionLimits(d))
	now := time.Now()
	i.inForceSince.Store(&now)
	i.view.Store(view)
	for name, running := range p.running {
		if view.Pools[name] == nil {
			// Requests that were matched to the pool before may still use the task.
			time.AfterFunc(tables.MaxDeadline+time.Minute, running.stop)
			delete(p.running, name)
		}
	}
	i.members.SetConfiguration(d.Version, d.Digest())
	i.events.RecordState(timeline.Event{Kind: timeline.ConfigurationInForce, Version: d.Version, Detail: d.Digest()})
	i.log.Info("configuration in force", "version", d.Version, "digest", d.Digest())
}

// pool updates the running task of a pool, or starts one, and returns it.
func (p *poolSet) pool(pool tables.Pool) *dispatch.Task {
	if running := p.running[pool.Name]; running != nil {
		running.task.SetPool(pool)
		return running.task
	}
	scheduler := dispatch.NewScheduler(dispatch.Options{Pool: pool, Rand: newRand(),
		FailureDomain: p.instance.settings.FailureDomain, Fleet: p.fleet})
	task := dispatch.NewTask(dispatch.TaskOptions{Scheduler: scheduler, Now: p.instance.now, Probe: p.instance.probe})
	ctx, stop := context.WithCancel(p.ctx)
	p.tasks.Go(func() { task.Run(ctx) })
	task.SetDraining(p.draining)
	p.running[pool.Name] = &runningPool{task: task, stop: stop}
	return task
}

// fleetChanged passes a new view of the fleet to all pools and rate limiters.
func (p *poolSet) fleetChanged(v *membership.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet, p.draining = dispatch.Fleet(v.Fleet), v.Draining
	for _, running := range p.running {
		running.task.SetFleet(p.fleet)
		running.task.SetDraining(p.draining)
	}
	if old := p.instance.view.Load(); old != nil {
		view := *old
		view.Limiters = entry.NewLimiters(view.Document, len(p.fleet.Members))
		p.instance.view.Store(&view)
	}
}

// tasksByPool returns a copy of the map of running tasks, by pool name.
func (p *poolSet) tasksByPool() map[string]*dispatch.Task {
	p.mu.Lock()
	defer p.mu.Unlock()
	tasks := make(map[string]*dispatch.Task, len(p.running))
	for name, running := range p.running {
		tasks[name] = running.task
	}
	return tasks
}

// probe requests the load of a target. If the target reports that it is draining,
// the peers are notified.
func (i *Instance) probe(ctx context.Context, target, address string) balancer.ProbeResult {
	result := i.transport.Probe(ctx, target, address)
	if result.OK && result.Report.State == wire.TargetDraining {
		i.reportDraining(address)
	}
	return result
}

// reportDraining notifies peers of a draining target, unless the fleet's list of
// draining targets contains it.
func (i *Instance) reportDraining(address string) {
	if !slices.Contains(i.members.View().Draining, address) {
		i.members.ReportDraining(address)
	}
}
