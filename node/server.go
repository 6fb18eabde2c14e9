package node

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/catalog"
)

const (
	// writeTimeout bounds the time from the request's header to the end of the
	// answer, so that a caller that reads nothing holds no memory for good. It is
	// above any deadline of callers.
	writeTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the memory for a request's header. The configuration's
	// bound holds besides.
	maxHeaderBytes = 256 << 10
)

// server is one listening HTTP server.
type server struct {
	name     string
	address  string
	limits   func() catalog.Limits
	http     *http.Server
	listener net.Listener
}

func newServer(name, address string, handler http.Handler, limits func() catalog.Limits, log *slog.Logger) *server {
	return &server{name: name, address: address, limits: limits, http: &http.Server{Handler: handler, ConnState: connState,
		WriteTimeout: writeTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn)}}
}

func (s *server) listen() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return errors.Wrapf(err, "listen for %s", s.name)
	}
	s.listener = &callerListener{Listener: listener, limits: s.limits}
	return nil
}

func (s *server) serve() error {
	err := s.http.Serve(s.listener) // never nil
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrapf(err, "serve %s", s.name)
}

// shutdown stops accepting and waits for requests in progress.
func (s *server) shutdown(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return errors.Wrapf(err, "shut down %s", s.name)
	}
	return nil
}
