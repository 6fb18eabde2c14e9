package node

import (
	"log/slog"
	"net"
	"net/http"

	"github.com/dogwoodroute/dogwoodroute/internal/acceptqueue"
)

// callerConns tracks the connections of a server and stops the timers of those that
// serve a request. log must be set. It is safe for concurrent use.
type callerConns struct {
	acceptqueue.Conns
	log *slog.Logger
}

// stateChanged is the ConnState hook of the servers. net/http reports a connection as
// active from the end of a request's header to the end of its response; the limits
// do not apply during this time.
func (s *callerConns) stateChanged(conn net.Conn, state http.ConnState) {
	s.StateChanged(conn, state)
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.timer.Stop()
		if reason, ok := c.closedBy.Load().(expiry); ok {
			s.log.Warn("request read from a connection that a limit has closed, it cannot be answered",
				"caller", conn.RemoteAddr().String(), "limit", string(reason))
		}
		c.phase.CompareAndSwap(phaseIdle, phaseServed)
		c.phase.CompareAndSwap(phaseHeader, phaseServed)
	case http.StateIdle:
		if c.phase.CompareAndSwap(phaseServed, phaseIdle) {
			c.timer.Reset(c.idleLimit())
		}
	}
}
