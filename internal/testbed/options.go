package testbed

import (
	"log/slog"
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/standin"
	"github.com/dogwoodroute/dogwoodroute/poison"
	"github.com/dogwoodroute/dogwoodroute/secure"
	"github.com/dogwoodroute/dogwoodroute/tables"
)

// Options configures a Fleet.
type Options struct {
	// Instances is the number of instances. Default 1.
	Instances int
	// Domains are the failure domains, assigned to instances and targets in turn.
	// Default a single one, "a".
	Domains []string
	// Pools configures the targets.
	Pools []Pool
	// Routes are the routes of the first configuration.
	Routes []tables.Route
	// ResolveValidity is how long callers may use a resolve response. Default 5 s.
	ResolveValidity time.Duration
	// ShutdownLimit is the longest duration of a planned stop. Default 60 s.
	ShutdownLimit time.Duration
	// Poison configures the detection of requests that crash targets.
	Poison poison.Options
	// Security configures mTLS between instances. Default none: plain connections.
	Security secure.Files
	// Log receives the log lines of the instances. Default: they are discarded.
	Log *slog.Logger
}

// Pool configures the targets of one pool.
type Pool struct {
	Name string
	// Targets is the number of targets, Slots the number of slots of each.
	Targets, Slots int
	// Target configures each target. Its Name and Slots are overwritten.
	Target standin.TargetOptions
	// Measure is the probe budget of the pool.
	Measure tables.Measure
}
