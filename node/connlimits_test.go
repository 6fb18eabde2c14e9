package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/internal/callerconn"
)

// Guards against ignoring the configured time limits, and against connections without a
// limit while no configuration is in force.
func TestConnectionLimits(t *testing.T) {
	is := is.New(t)
	configured := catalog.Config{Limits: catalog.Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}}
	is.Equal(connectionLimits(&configured), callerconn.Limits{Header: 3 * time.Second, Idle: 15 * time.Second})
	byDefault := callerconn.Limits{Header: defaultHeaderTimeout, Idle: defaultIdleTimeout}
	is.Equal(connectionLimits(nil), byDefault)
	is.Equal(connectionLimits(&catalog.Config{}), byDefault)
}
