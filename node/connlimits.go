package node

import (
	"cmp"
	"time"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/internal/callerconn"
)

const (
	// defaultHeaderTimeout bounds the time to receive a request's header while no
	// configuration is in force, or if the configuration sets no limit.
	defaultHeaderTimeout = 5 * time.Second
	// defaultIdleTimeout bounds the time that a connection may be idle, in the same
	// cases. It exceeds the idle timeouts of callers, so that the server does not
	// close a connection on which a caller is just sending a request.
	defaultIdleTimeout = 75 * time.Second
)

// connectionLimits returns the limits of callers' connections under a configuration, which
// may be nil.
func connectionLimits(config *catalog.Config) callerconn.Limits {
	var limits catalog.Limits
	if config != nil {
		limits = config.Limits
	}
	return callerconn.Limits{Idle: cmp.Or(limits.IdleTimeout, defaultIdleTimeout), Header: cmp.Or(limits.HeaderTimeout, defaultHeaderTimeout)}
}
