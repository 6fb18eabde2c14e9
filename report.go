package dogwoodroute

import (
	"context"
	"time"

	"github.com/dogwoodroute/dogwoodroute/admin"
	"github.com/dogwoodroute/dogwoodroute/timeline"
)

// reportInterval is the time between two comparisons of the state of targets and
// peers.
const reportInterval = time.Second

// stateReporter records changes between two successive statuses as events and log
// lines.
type stateReporter struct {
	instance *Instance
	targets  map[targetKey]admin.TargetState
	peers    map[string]admin.PeerState
}

// targetKey identifies a target among all pools.
type targetKey struct{ pool, target string }

// reportChanges reports state changes of targets and peers and updates the gauges
// of the metrics until the context ends.
func (i *Instance) reportChanges(ctx context.Context) {
	r := stateReporter{instance: i, targets: make(map[targetKey]admin.TargetState), peers: make(map[string]admin.PeerState)}
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			status := i.Status()
			r.gauges(&status)
			r.pools(status.Pools)
			r.fleet(status.Fleet)
		case <-ctx.Done():
			return
		}
	}
}

// gauges updates the metrics that are derived from the status.
func (r *stateReporter) gauges(s *admin.Status) {
	m := r.instance.metrics
	m.Gauge("configuration_version", float64(s.Configuration.Version))
	m.Gauge("instances_may_be_alive", float64(s.Fleet.MayBeAlive))
	m.Gauge("instances_live", float64(s.Fleet.Live))
	m.Gauge("requests_in_flight", float64(r.instance.InFlight()))
	for _, p := range s.Pools {
		m.PoolGauge(p.Name, "window", p.Window)
		m.PoolGauge(p.Name, "in_flight", float64(p.InFlight))
		m.PoolGauge(p.Name, "waiting", float64(p.Queue.High+p.Queue.Normal+p.Queue.Low))
		m.PoolGauge(p.Name, "probes_granted", float64(p.Probes.Granted))
		m.PoolGauge(p.Name, "probes_refused", float64(p.Probes.Refused))
		m.PoolGauge(p.Name, "retries", float64(p.ExtraAttempts.Retries))
		m.PoolGauge(p.Name, "hedges", float64(p.ExtraAttempts.Hedges))
		m.PoolGauge(p.Name, "resend_budget", float64(p.ExtraAttempts.Budget))
	}
	for _, c := range s.Control {
		m.ControlGauge(c.Kind, "control_messages", float64(c.MessagesIn+c.MessagesOut))
		m.ControlGauge(c.Kind, "control_bytes", float64(c.BytesIn+c.BytesOut))
	}
}

// targetEvents maps states of a target to the event that is recorded when the
// target enters them.
var targetEvents = map[admin.TargetState]timeline.Kind{
	admin.TargetDraining: timeline.TargetDraining,
	admin.TargetEjected:  timeline.TargetEjected,
	admin.TargetServing:  timeline.TargetServing,
}

func (r *stateReporter) pools(pools []admin.Pool) {
	current := make(map[targetKey]admin.TargetState, len(r.targets))
	for _, pool := range pools {
		for _, t := range pool.Targets {
			key := targetKey{pool.Name, t.Name}
			kind, hasEvent := targetEvents[t.State]
			if !hasEvent { // cold and slow targets are serving, too
				kind, t.State = timeline.TargetServing, admin.TargetServing
			}
			current[key] = t.State
			if previous, known := r.targets[key]; !known || previous == t.State {
				continue
			}
			r.instance.events.RecordState(timeline.Event{Kind: kind, Pool: pool.Name, Target: t.Name})
			r.instance.log.Info("target changed state", "pool", pool.Name, "target", t.Name, "state", string(t.State))
		}
	}
	r.targets = current
}

// peerEvents maps states of a peer to the event that is recorded when the peer
// enters them.
var peerEvents = map[admin.PeerState]timeline.Kind{
	admin.PeerAlive:     timeline.PeerAlive,
	admin.PeerSuspected: timeline.PeerSuspected,
	admin.PeerLost:      timeline.PeerLost,
	admin.PeerLeaving:   timeline.InstanceLeaving,
}

func (r *stateReporter) fleet(f admin.Fleet) {
	for _, p := range f.Peers {
		if r.peers[p.ID] == p.State {
			continue
		}
		r.peers[p.ID] = p.State
		r.instance.events.RecordState(timeline.Event{Kind: peerEvents[p.State], Peer: p.ID})
		r.instance.log.Info("peer changed state", "peer", p.ID, "state", string(p.State))
	}
}
