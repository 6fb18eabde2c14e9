package node

import (
	"net"
	"net/http"

	"github.com/dogwoodroute/dogwoodroute/internal/acceptqueue"
)

// callerConns tracks the connections of a server and the phases of their limits. The
// zero value is empty. It is safe for concurrent use.
type callerConns struct{ acceptqueue.Conns }

// stateChanged is the ConnState hook of the servers. net/http reports a connection as
// active from the end of a request's header to the end of its response; the limits
// do not apply during this time.
func (s *callerConns) stateChanged(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*callerConn); ok {
		switch state {
		case http.StateActive:
			c.enter(phaseServed)
		case http.StateIdle:
			c.enter(phaseIdle)
		}
	}
	s.StateChanged(conn, state)
}
