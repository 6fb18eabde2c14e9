package testbed

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute"
	"github.com/dogwoodroute/dogwoodroute/admin"
	"github.com/dogwoodroute/dogwoodroute/configservice"
	"github.com/dogwoodroute/dogwoodroute/settings"
)

// Instance is one instance of a Fleet. Its methods are safe for concurrent use.
type Instance struct {
	*dogwoodroute.Instance
	entry    configservice.Instance
	unlisted atomic.Bool // removed from the list of instances
	started  atomic.Bool
	ended    chan struct{} // closed when Run has returned
	err      error         // of Run; valid once ended is closed
}

// ID returns the instance's identifier.
func (in *Instance) ID() string { return in.entry.ID }

// CallerAddress returns the address at which the instance serves callers.
func (in *Instance) CallerAddress() string { return in.entry.CallerAddress }

// AdminAddress returns the address at which the instance serves operators.
func (in *Instance) AdminAddress() string { return in.entry.AdminAddress }

// newInstance creates the instance at an index of the fleet, with new addresses. It
// does not start it.
func (f *Fleet) newInstance(index int) (*Instance, error) {
	listeners := new(dogwoodroute.Listeners)
	for _, l := range []*net.Listener{&listeners.Callers, &listeners.Peers, &listeners.Operators} {
		var err error
		if *l, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return nil, errors.Wrap(err, "listen on loopback")
		}
	}
	id := identifier(index)
	entry := configservice.Instance{ID: id, FailureDomain: f.options.Domains[index%len(f.options.Domains)],
		CallerAddress: listeners.Callers.Addr().String(), PeerAddress: listeners.Peers.Addr().String(),
		AdminAddress: listeners.Operators.Addr().String(), State: configservice.InstanceLive}
	s, err := f.settings(entry)
	if err != nil {
		return nil, err
	}
	log := f.options.Log
	if log == nil {
		log = slog.New(slog.NewTextHandler(io.Discard, nil))
	}
	instance, err := dogwoodroute.New(dogwoodroute.Options{Settings: s, Log: log, Listeners: listeners, Poison: f.options.Poison,
		Reachable: func(peer string) bool { return f.partition.connected(id, peer) }})
	if err != nil {
		return nil, err
	}
	return &Instance{Instance: instance, entry: entry, ended: make(chan struct{})}, nil
}

func identifier(index int) string { return fmt.Sprintf("i%02d", index) }

// settings returns the settings of an instance. They are encoded and parsed like a
// settings file, so that the checks of settings files apply.
func (f *Fleet) settings(entry configservice.Instance) (*settings.Settings, error) {
	s := settings.Settings{ID: entry.ID, FailureDomain: entry.FailureDomain, CallerAddress: entry.CallerAddress,
		PeerAddress: entry.PeerAddress, AdminAddress: entry.AdminAddress,
		ConfigurationURL: f.platform[0].URL + "/" + entry.ID, InstancesURL: f.platform[1].URL,
		ResolveValidityMillis: f.options.ResolveValidity.Milliseconds(),
		ShutdownLimitMillis:   f.options.ShutdownLimit.Milliseconds(), Security: f.options.Security}
	text, err := json.Marshal(&s)
	if err != nil {
		return nil, errors.Wrap(err, "encode settings")
	}
	return settings.Parse(entry.ID, text)
}

func (in *Instance) start() {
	in.started.Store(true)
	go func() {
		defer close(in.ended)
		in.err = in.Run(context.Background())
	}()
}

// ready reports whether the instance serves and counts at least that many instances
// as live, or has ended.
func (in *Instance) ready(instances int) bool {
	select {
	case <-in.ended:
		return true // an ended instance must not keep WaitReady waiting
	default:
	}
	status := in.Status()
	return status.Instance.State == admin.Serving && status.Fleet.Live >= instances
}

// StopAndWait stops the instance gracefully, waits for its end and returns the error
// of its Run.
func (in *Instance) StopAndWait() error {
	in.Stop()
	<-in.ended
	return in.err
}

// Kill stops the instance without completing its requests, as a crash does, and
// returns the error of its Run.
func (in *Instance) Kill() error {
	in.StopNow()
	if !in.started.Load() {
		return nil
	}
	<-in.ended
	return in.err
}

// Wait waits for the end of the instance and returns the error of its Run, or another
// error if the instance has not ended within the limit.
func (in *Instance) Wait(limit time.Duration) error {
	select {
	case <-in.ended:
		return in.err
	case <-time.After(limit):
		return errors.Errorf("instance %s has not ended after %v", in.ID(), limit)
	}
}
