package node

import (
	"net"
	"net/http"
	"sync"
)

// callerConns tracks the connections of a server that have not received a request.
// The zero value is empty. It is safe for concurrent use.
type callerConns struct {
	unused sync.Map // *callerConn to struct{}
}

func (s *callerConns) add(c *callerConn) { s.unused.Store(c, struct{}{}) }

// stateChanged is the ConnState hook of the servers. net/http reports a connection as
// active from the end of a request's header to the end of its response; the limits
// do not apply during this time.
func (s *callerConns) stateChanged(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		s.unused.Delete(c)
		c.timer.Stop()
		c.phase.CompareAndSwap(phaseIdle, phaseServed)
		c.phase.CompareAndSwap(phaseHeader, phaseServed)
	case http.StateIdle:
		if c.phase.CompareAndSwap(phaseServed, phaseIdle) {
			c.timer.Reset(c.idleLimit())
		}
	case http.StateClosed, http.StateHijacked:
		s.unused.Delete(c)
	}
}

// closeUnused closes the connections that have not received any byte. Their callers
// know that no request was read.
func (s *callerConns) closeUnused() {
	s.unused.Range(func(key, _ any) bool {
		key.(*callerConn).expireUnused()
		return true
	})
}
