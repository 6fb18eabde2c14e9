package dogwoodroute

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/dogwoodroute/dogwoodroute/admin"
	"github.com/dogwoodroute/dogwoodroute/entry"
	"github.com/dogwoodroute/dogwoodroute/timeline"
)

const (
	// leaveMargin is added to the validity of resolve answers, for the time in
	// which answers and requests are on the way and peers learn of the leave.
	leaveMargin = time.Second
	// abortWait bounds the wait for handlers whose connections were cut.
	abortWait = time.Second
	// operatorTimeout bounds the header of an operator's request.
	operatorTimeout = 5 * time.Second
)

// AbortedRequestsError says that a stop cut requests off.
type AbortedRequestsError struct {
	// Count is the number of requests in flight that were cut.
	Count int64
}

// Error gives the count.
func (e *AbortedRequestsError) Error() string {
	return fmt.Sprintf("%d requests in flight were cut", e.Count)
}

// Stop starts a planned stop, as the end of Run's context does.
func (i *Instance) Stop() { i.stopOnce.Do(func() { close(i.stop) }) }

// StopNow ends the instance at once, also during a planned stop. Run then
// returns the count of requests that were cut.
func (i *Instance) StopNow() { i.stopNowOnce.Do(func() { close(i.stopNow) }) }

// InFlight returns the number of callers' requests in flight.
func (i *Instance) InFlight() int64 { return i.drain.InFlight() }

// Run serves until the context ends or Stop is called, and then stops
// gracefully: it keeps serving while callers may hold resolve answers that name
// it, and completes what is in flight. It returns nil when nothing was cut, a
// *CutError when the shutdown limit or StopNow cut requests, and another error
// when serving failed.
func (i *Instance) Run(ctx context.Context) error {
	listeners, err := i.listen()
	if err != nil {
		return err
	}
	// The tasks must outlive the requests in flight, so they do not end with ctx.
	taskCtx, stopTasks := context.WithCancel(context.WithoutCancel(ctx))
	group, taskCtx := errgroup.WithContext(taskCtx)
	i.pools = newPoolSet(taskCtx, i)
	if err := i.connectPeers(listeners.Peers); err != nil {
		stopTasks()
		return errors.Join(err, listeners.close())
	}
	i.running.Store(true)
	i.events.RecordState(timeline.Event{Kind: timeline.InstanceStarted, Detail: i.settings.FailureDomain})
	i.log.Info("started", "incarnation", i.incarnation.String(), "callers", i.settings.CallerAddress)
	group.Go(func() error { return i.members.Run(taskCtx) })
	for _, run := range []func(context.Context){i.once.Run, i.poison.Run, i.syncer.Run, i.refreshAfterPause, i.reportChanges} {
		group.Go(func() error { run(taskCtx); return nil })
	}
	group.Go(func() error { return i.serveOperators(taskCtx, listeners.Operators) })
	group.Go(func() error {
		defer stopTasks()
		return i.serveCallers(ctx, taskCtx, listeners.Callers)
	})
	err = group.Wait()
	i.pools.tasks.Wait()
	i.transport.Close()
	if closeErr := i.metrics.Close(); err == nil && closeErr != nil {
		return errors.Wrap(closeErr, "close metrics")
	}
	return err
}

// listen opens the addresses of the settings unless listeners were given.
func (i *Instance) listen() (*Listeners, error) {
	if i.listeners != nil {
		return i.listeners, nil
	}
	l := new(Listeners)
	for _, role := range []struct {
		name, address string
		listener      *net.Listener
	}{
		{"callers", i.settings.CallerAddress, &l.Callers},
		{"peers", i.settings.PeerAddress, &l.Peers},
		{"operators", i.settings.AdminAddress, &l.Operators},
	} {
		var err error
		if *role.listener, err = net.Listen("tcp", role.address); err != nil {
			return nil, errors.Join(errors.Wrapf(err, "listen for %s", role.name), l.close())
		}
	}
	return l, nil
}

// close closes the listeners that are open.
func (l *Listeners) close() error {
	var failures []error
	for _, listener := range []net.Listener{l.Callers, l.Peers, l.Operators} {
		if listener != nil {
			failures = append(failures, listener.Close())
		}
	}
	return errors.Join(failures...)
}

// serveOperators serves the administration API until the context ends.
func (i *Instance) serveOperators(ctx context.Context, listener net.Listener) error {
	handler := admin.Handler(admin.Options{Status: i.Status, Timeline: i.events, Metrics: i.metrics,
		Instance: i.settings.ID, Log: i.log})
	server := &http.Server{Handler: handler, ReadHeaderTimeout: operatorTimeout, IdleTimeout: time.Minute}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	serve := server.Serve
	if i.identity != nil {
		server.TLSConfig = i.identity.ServerConfig()
		serve = func(l net.Listener) error { return server.ServeTLS(l, "", "") } // the certificates are in TLSConfig
	}
	if err := serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve operators")
	}
	return nil
}

// serveCallers serves HTTP until a stop is complete. work ends early when
// another part of the instance failed.
func (i *Instance) serveCallers(ctx, taskCtx context.Context, listener net.Listener) error {
	limits := i.settings.Limits
	gate := onceAdapter{i}
	handler := entry.NewServer(entry.Options{View: i.view.Load, Resolve: i.resolve, Now: i.now,
		Transport: i.transport, Limits: limits, Drain: &i.drain, Tickets: gate, Once: gate,
		Guard: &poisonGuard{Instance: i}, Observer: observer{i}})
	server := &http.Server{Handler: handler, MaxHeaderBytes: limits.HeaderBytes,
		ReadHeaderTimeout: time.Duration(limits.HeaderTimeoutMillis) * time.Millisecond,
		IdleTimeout:       time.Duration(limits.IdleTimeoutMillis) * time.Millisecond,
		ErrorLog:          slog.NewLogLogger(i.log.Handler(), slog.LevelDebug)} // what callers sent wrongly
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	select {
	case err := <-served:
		return errors.Wrap(err, "serve callers")
	case <-ctx.Done():
	case <-i.stop:
	case <-i.stopNow:
	case <-taskCtx.Done():
	}
	err := i.leave(taskCtx, server)
	<-served // http.ErrServerClosed
	return err
}

// leave carries out a planned stop.
func (i *Instance) leave(taskCtx context.Context, server *http.Server) error {
	i.drain.Leave()
	i.members.Leave()
	i.events.RecordState(timeline.Event{Kind: timeline.InstanceLeaving})
	i.log.Info("leaving", "in_flight", i.drain.InFlight())
	limitCtx, cancel := context.WithTimeout(taskCtx, i.settings.ShutdownLimit())
	defer cancel()
	go func() {
		select {
		case <-i.stopNow:
			cancel()
		case <-limitCtx.Done():
		}
	}()
	select {
	case <-time.After(i.settings.ResolveValidity() + leaveMargin):
	case <-limitCtx.Done():
	}
	if server.Shutdown(limitCtx) == nil {
		i.drain.End()
		i.recordStopped(0)
		return nil
	}
	return i.abort(server)
}

// abort ends the requests in flight and counts them.
func (i *Instance) abort(server *http.Server) error {
	count := i.drain.End()
	_ = server.Close() // the listener is closed already
	end := time.Now().Add(abortWait)
	for i.drain.InFlight() > 0 && time.Now().Before(end) {
		time.Sleep(time.Millisecond)
	}
	i.recordStopped(count)
	if count == 0 {
		return nil
	}
	return &AbortedRequestsError{Count: count}
}

// recordStopped records the end of a stop.
func (i *Instance) recordStopped(cut int64) {
	i.abortedCount.Store(cut)
	i.events.RecordState(timeline.Event{Kind: timeline.InstanceStopped, Detail: fmt.Sprintf("cut %d", cut)})
	level := slog.LevelInfo
	if cut > 0 {
		level = slog.LevelWarn
	}
	i.log.Log(context.Background(), level, "left", "cut", cut)
}
