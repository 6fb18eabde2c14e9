package node

import (
	"log/slog"
	"net/http"
	"net/netip"
	"time"

	"github.com/dogwoodroute/dogwoodroute/fleet"
	"github.com/dogwoodroute/dogwoodroute/gateway"
	"github.com/dogwoodroute/dogwoodroute/secure"
)

// Options configures a Node. All fields except Identity, MetricsPort and
// LocalAddress are required.
type Options struct {
	Settings *Settings
	// Source reads the store; Decoder decodes its records.
	Source  fleet.Source
	Decoder fleet.Decoder
	Dialect gateway.Dialect
	// ResolveHandler and ReadyHandler return handlers for the platform's requests for
	// instance addresses and for readiness. resolve returns addresses of instances
	// and how long a caller may use them.
	ResolveHandler func(resolve func(gateway.Locality) ([]string, time.Duration)) http.Handler
	ReadyHandler   func(ready func() bool) http.Handler
	// Identity secures the connections between instances with mTLS. If nil, they are
	// plaintext.
	Identity *secure.Identity
	// MetricsPort is the port for metrics on the instance's address. If 0, metrics
	// are not served.
	MetricsPort int
	// LocalAddress is the IP address from which connections to targets are opened. Not valid:
	// the system chooses it.
	LocalAddress netip.Addr
	Log          *slog.Logger
}
