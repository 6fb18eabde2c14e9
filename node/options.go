package node

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/dogwoodroute/dogwoodroute/fleet"
	"github.com/dogwoodroute/dogwoodroute/gateway"
	"github.com/dogwoodroute/dogwoodroute/secure"
)

// Options configure a Node. All fields but Identity and MetricsPort are required.
type Options struct {
	Settings *Settings
	// Source and Decoder read the store.
	Source  fleet.Source
	Decoder fleet.Decoder
	Dialect gateway.Dialect
	// ResolveHandler and ReadyHandler speak the platform's protocol.
	ResolveHandler func(resolve func(gateway.Locality) ([]string, time.Duration)) http.Handler
	ReadyHandler   func(ready func() bool) http.Handler
	// Identity protects the links between instances. Nil: plain links.
	Identity *secure.Identity
	// MetricsPort serves metrics on the instance's address; 0: none are served.
	MetricsPort int
	Log         *slog.Logger
}
