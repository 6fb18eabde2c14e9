package dogwoodroute

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/dogwoodroute/dogwoodroute/admin"
	"github.com/dogwoodroute/dogwoodroute/membership"
	"github.com/dogwoodroute/dogwoodroute/refusal"
)

// snapshotTimeout bounds the wait for the snapshots of all pools.
const snapshotTimeout = time.Second

// Status returns the state of the instance, its configuration, peers, pools and
// counters. Before Run has started the tasks, only the field Instance is set.
func (i *Instance) Status() admin.Status {
	self := admin.Instance{ID: i.settings.ID, Incarnation: i.incarnation.String(), FailureDomain: i.settings.FailureDomain,
		State: admin.Starting, UptimeMillis: i.now().Milliseconds(), Time: time.Now()}
	if !i.running.Load() {
		return admin.Status{Instance: self}
	}
	self.State = i.state()
	view := i.members.View()
	s := admin.Status{
		Instance:      self,
		Configuration: i.configurationStatus(), Fleet: fleetStatus(view), Pools: i.poolStatus(),
		Control: controlStatus(i.members.Traffic()), AbortedRequests: uint64(i.abortedCount.Load()),
	}
	s.Routes, s.Refusals = i.counts.status()
	return s
}

func (i *Instance) state() admin.State {
	switch {
	case i.drain.Leaving():
		return admin.Leaving
	case i.view.Load() == nil:
		return admin.Starting
	case i.stale():
		return admin.Stale
	default:
		return admin.Serving
	}
}

func (i *Instance) configurationStatus() admin.Configuration {
	status := i.syncer.Status()
	c := admin.Configuration{Version: status.Version, Digest: status.Digest, Source: status.Source.String()}
	if since := i.inForceSince.Load(); since != nil {
		c.InForceSince = *since
	}
	if r := status.LastRefusal; r != nil {
		c.LastRefused = &admin.RefusedDocument{Digest: r.Digest, Source: r.Origin.String(), Problems: admin.Problems(r.Err)}
	}
	for _, conflict := range status.Conflicts {
		c.Conflicts = append(c.Conflicts, admin.Conflict{Version: conflict.Version, Digest: conflict.Other, Source: conflict.Origin.String()})
	}
	return c
}

func fleetStatus(v *membership.View) admin.Fleet {
	f := admin.Fleet{MayBeAlive: v.Instances, Live: len(v.Members), Peers: []admin.Peer{}}
	for _, p := range v.Peers {
		f.Peers = append(f.Peers, admin.Peer{ID: p.ID, Incarnation: p.Incarnation.String(), State: peerState(p),
			LastContactMillis: p.SinceContact.Milliseconds(), Version: p.Version, Digest: p.Digest})
	}
	return f
}

func peerState(p membership.Peer) admin.PeerState {
	switch {
	case p.Leaving:
		return admin.PeerLeaving
	case p.Liveness == membership.Alive:
		return admin.PeerAlive
	case p.Liveness == membership.Suspected:
		return admin.PeerSuspected
	default:
		return admin.PeerLost
	}
}

func (i *Instance) poolStatus() []admin.Pool {
	view := i.view.Load()
	if view == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), snapshotTimeout)
	defer cancel()
	pools := make([]admin.Pool, 0, len(view.Document.Pools))
	for k := range view.Document.Pools {
		pool := &view.Document.Pools[k]
		if snapshot, ok := view.Pools[pool.Name].Snapshot(ctx); ok {
			pools = append(pools, admin.NewPool(pool, &snapshot))
		}
	}
	return pools
}

func controlStatus(t membership.Traffic) []admin.ControlTraffic {
	kind := func(name string, k membership.KindTraffic) admin.ControlTraffic {
		return admin.ControlTraffic{Kind: name, MessagesIn: k.MessagesReceived, MessagesOut: k.MessagesSent,
			BytesIn: k.BytesReceived, BytesOut: k.BytesSent}
	}
	return []admin.ControlTraffic{kind("exchange", t.Exchange), kind("content", t.Content), kind("notify", t.Notify),
		kind("settle", t.Settle), kind("trial", t.Trial),
		{Kind: "connections", BytesIn: t.ConnectionBytesReceived, BytesOut: t.ConnectionBytesSent}}
}

func (c *requestCounts) status() ([]admin.Route, admin.Refusals) {
	c.mu.Lock()
	defer c.mu.Unlock()
	routes := make([]admin.Route, 0, len(c.routes))
	for name, counts := range c.routes {
		routes = append(routes, admin.Route{Name: name, Requests: counts.answered + counts.refused,
			Answered: counts.answered, Refused: counts.refused})
	}
	slices.SortFunc(routes, func(a, b admin.Route) int { return cmp.Compare(a.Name, b.Name) })
	return routes, admin.NewRefusals(maps.Clone(map[refusal.Kind]uint64(c.kinds)))
}
