package node

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/internal/callerconn"
)

const (
	// writeTimeout bounds the time from the end of the request's header to the end of
	// the response, so that a caller that stops reading does not hold memory forever.
	// It exceeds every deadline of callers.
	writeTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the memory for a request's header. A lower limit of the
	// configuration applies in addition.
	maxHeaderBytes = 256 << 10
)

// callersServer is the name of the server for requests of callers.
const callersServer = "callers"

// server is an HTTP server with its listener. name appears in errors.
type server struct {
	name    string
	address string
	http    *http.Server
	queue   *callerconn.Listener
	conns   *callerconn.Conns
}

func newServer(name, address string, handler http.Handler, conns *callerconn.Conns, log *slog.Logger) *server {
	return &server{name: name, address: address, conns: conns, http: &http.Server{Handler: handler, ConnState: conns.StateChanged,
		WriteTimeout: writeTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn)}}
}

// setMemory applies the bounds for the memory of connections. Only callers get long responses, so
// the send buffers of the other servers are left to the system.
func (s *server) setMemory(settings *Settings) {
	s.conns.SetHeaderMemory(settings.headerBytes())
	if s.name == callersServer {
		s.conns.SetSendBuffer(settings.sendBufferBytes())
	}
}

func (s *server) listen() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return errors.Wrapf(err, "listen for %s", s.name)
	}
	if s.queue, err = callerconn.New(listener); err != nil {
		return errors.Wrapf(err, "listen for %s", s.name)
	}
	return nil
}

func (s *server) serve() error {
	err := s.http.Serve(s.conns.Listener(s.queue)) // returns a non-nil error
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrapf(err, "serve %s", s.name)
}

// stopAccepting accepts the connections that callers have opened, and then closes
// the listener.
func (s *server) stopAccepting(ctx context.Context) error { return s.queue.Drain(ctx) }

// shutdown closes the connections without a request and waits until the requests in
// progress are complete or the context ends.
func (s *server) shutdown(ctx context.Context) error {
	if err := s.conns.Shutdown(ctx, s.http); err != nil {
		return errors.Wrapf(err, "shut down %s", s.name)
	}
	return nil
}
