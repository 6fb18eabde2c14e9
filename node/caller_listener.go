package node

import (
	"net"

	"github.com/dogwoodroute/dogwoodroute/catalog"
)

// callerListener wraps the connections that it accepts in a callerConn.
type callerListener struct {
	net.Listener
	limits  func() catalog.Limits
	expired func(expiry)
}

// Accept implements net.Listener. The idle time of the connection starts at once.
func (l *callerListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err // not wrapped: net/http checks for temporary errors and retries
	}
	return newCallerConn(raw, l.limits, l.expired), nil
}
