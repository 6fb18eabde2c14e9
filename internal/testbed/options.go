package testbed

import (
	"log/slog"
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/standin"
	"github.com/dogwoodroute/dogwoodroute/poison"
	"github.com/dogwoodroute/dogwoodroute/secure"
	"github.com/dogwoodroute/dogwoodroute/tables"
)

// Options describe a fleet.
type Options struct {
	// Instances is the number of instances. Default 1.
	Instances int
	// Domains are the failure domains, given to instances and targets in turn.
	// Default one.
	Domains []string
	// Pools describe the targets.
	Pools []Pool
	// Routes of the first document.
	Routes []tables.Route
	// ResolveValidity is how long callers keep a resolve answer. Default 5 s.
	ResolveValidity time.Duration
	// ShutdownLimit bounds planned stops. Default 60 s.
	ShutdownLimit time.Duration
	// Poison configures the detection of requests that crash targets.
	Poison poison.Options
	// Security protects links between instances. Default: plain links.
	Security secure.Files
	// Log receives the instances' log lines. Default none.
	Log *slog.Logger
}

// Pool describes the targets of one pool.
type Pool struct {
	Name string
	// Targets and Slots are the number of targets and of slots of each.
	Targets, Slots int
	// Target configures each target; name and slots are filled in.
	Target standin.TargetOptions
	// Measure is the pool's budget of load measurement.
	Measure tables.Measure
}
