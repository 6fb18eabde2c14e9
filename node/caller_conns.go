package node

import (
	"net"
	"net/http"

	"github.com/dogwoodroute/dogwoodroute/internal/acceptqueue"
)

// callerConns tracks the connections of a server and stops the timers of those that
// serve a request. The zero value is empty. It is safe for concurrent use.
type callerConns struct{ acceptqueue.Conns }

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
		c.phase.CompareAndSwap(phaseIdle, phaseServed)
		c.phase.CompareAndSwap(phaseHeader, phaseServed)
	case http.StateIdle:
		if c.phase.CompareAndSwap(phaseServed, phaseIdle) {
			c.timer.Reset(c.idleLimit())
		}
	}
}
