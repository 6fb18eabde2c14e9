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
	"github.com/dogwoodroute/dogwoodroute/internal/callerconn"
	"github.com/dogwoodroute/dogwoodroute/timeline"
)

const (
	// leaveMargin is added to the validity of resolve responses. It covers the
	// transmission of responses and requests and the time until peers learn that
	// this instance is leaving.
	leaveMargin = time.Second
	// abortWait bounds the wait for handlers whose connections were closed.
	abortWait = time.Second
	// operatorTimeout bounds the time to receive the header of a request to the
	// administration API.
	operatorTimeout = 5 * time.Second
)

// AbortedRequestsError reports that a stop aborted requests in flight.
type AbortedRequestsError struct {
	// Count is the number of aborted requests.
	Count int64
}

// Error implements error.
func (e *AbortedRequestsError) Error() string {
	return fmt.Sprintf("%d requests in flight were aborted", e.Count)
}

// Stop starts a planned stop, like the end of the context of Run. It does not wait
// for the stop to complete.
func (i *Instance) Stop() { i.stopOnce.Do(func() { close(i.stop) }) }

// StopNow stops the instance at once and ends a planned stop that is in progress.
// Run then returns an *AbortedRequestsError if requests were in flight.
func (i *Instance) StopNow() { i.stopNowOnce.Do(func() { close(i.stopNow) }) }

// InFlight returns the number of callers' requests in flight.
func (i *Instance) InFlight() int64 { return i.drain.InFlight() }

// Run serves until the context ends or Stop is called, and then stops
// gracefully: it keeps serving while callers may use resolve responses that
// contain this instance, and completes the requests in flight. It returns nil if
// no request was aborted, an *AbortedRequestsError if the shutdown limit or
// StopNow aborted requests, and another error if serving failed.
func (i *Instance) Run(ctx context.Context) error {
	listeners, err := i.listen()
	if err != nil {
		return err
	}
	// Requests in flight need the tasks after ctx has ended, so the tasks have a
	// context of their own.
	taskCtx, stopTasks := context.WithCancel(context.WithoutCancel(ctx))
	group, taskCtx := errgroup.WithContext(taskCtx)
	i.pools = newPoolSet(taskCtx, i)
	if err := i.connectPeers(listeners.Peers); err != nil {
		stopTasks()
		return errors.Join(err, listeners.close())
	}
	i.running.Store(true)
	i.events.RecordState(timeline.Event{Kind: timeline.InstanceStarted, Detail: i.settings.FailureDomain})
	i.log.Info("instance started", "incarnation", i.incarnation.String(), "callers", i.settings.CallerAddress)
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

// listen returns the listeners of the options, or else listens on the addresses
// of the settings.
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

// close closes all listeners that are set.
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
		return errors.Wrap(err, "serve administration API")
	}
	return nil
}

// serveCallers serves HTTP to callers until a stop is complete. A stop starts when
// ctx ends or Stop or StopNow is called, and also when taskCtx ends because
// another task of the instance failed.
func (i *Instance) serveCallers(ctx, taskCtx context.Context, listener net.Listener) error {
	limits := i.settings.Limits
	adapter := onceAdapter{i}
	handler := entry.NewServer(entry.Options{View: i.view.Load, Resolve: i.resolve, Now: i.now,
		Transport: i.transport, Limits: limits, Drain: &i.drain, Tickets: adapter, Once: adapter,
		Guard: &poisonGuard{Instance: i}, Observer: observer{i}})
	connLimits := callerconn.Limits{Idle: time.Duration(limits.IdleTimeoutMillis) * time.Millisecond,
		Header: time.Duration(limits.HeaderTimeoutMillis) * time.Millisecond}
	conns := callerconn.NewConns(func() callerconn.Limits { return connLimits }, nil)
	server := &http.Server{Handler: handler, MaxHeaderBytes: limits.HeaderBytes, ConnState: conns.StateChanged,
		ErrorLog: slog.NewLogLogger(i.log.Handler(), slog.LevelDebug)} // errors caused by callers
	queue, err := callerconn.New(listener)
	if err != nil {
		return errors.Wrap(err, "serve callers")
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(conns.Listener(queue)) }()
	select {
	case err := <-served:
		return errors.Wrap(err, "serve callers")
	case <-ctx.Done():
	case <-i.stop:
	case <-i.stopNow:
	case <-taskCtx.Done():
	}
	err = i.leave(taskCtx, server, queue, conns)
	<-served // http.ErrServerClosed
	return err
}

// leave carries out a planned stop: it announces that the instance is leaving,
// waits until resolve responses have expired, accepts the connections that are still
// queued, and then waits for the requests in flight up to the shutdown limit. Requests
// that may take longer than that are refused from the start.
func (i *Instance) leave(taskCtx context.Context, server *http.Server, queue *callerconn.Listener, conns *callerconn.Conns) error {
	i.drain.Leave(i.now() + i.settings.ShutdownLimit())
	i.members.Leave()
	i.events.RecordState(timeline.Event{Kind: timeline.InstanceLeaving})
	i.log.Info("instance leaving; serving until resolve responses expire", "in_flight", i.drain.InFlight())
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
	if err := queue.Drain(limitCtx); err != nil {
		i.log.Warn("drain of accepted connections is incomplete", "error", err.Error())
	}
	if conns.Shutdown(limitCtx, server) == nil {
		i.drain.End()
		i.recordStopped(0)
		return nil
	}
	return i.abort(server)
}

// abort closes the connections of callers and returns an *AbortedRequestsError if
// requests were in flight.
func (i *Instance) abort(server *http.Server) error {
	count := i.drain.End()
	_ = server.Close() // the listener is closed already
	deadline := time.Now().Add(abortWait)
	for i.drain.InFlight() > 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	i.recordStopped(count)
	if count == 0 {
		return nil
	}
	return &AbortedRequestsError{Count: count}
}

// recordStopped records the end of a stop and the number of aborted requests.
func (i *Instance) recordStopped(aborted int64) {
	i.abortedCount.Store(aborted)
	i.events.RecordState(timeline.Event{Kind: timeline.InstanceStopped, Detail: fmt.Sprintf("cut %d", aborted)})
	level := slog.LevelInfo
	if aborted > 0 {
		level = slog.LevelWarn
	}
	i.log.Log(context.Background(), level, "instance stopped", "cut", aborted)
}
