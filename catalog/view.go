package catalog

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/records"
)

// View is an immutable snapshot of the configuration and the targets that an
// instance knows.
type View struct {
	// Config is the configuration in force, or nil before the first one.
	Config *Config
	// Routes matches requests to the routes of Config. It is nil if Config is.
	Routes *Matcher
	// Targets holds the targets that accept new requests by service, sorted by ID. Those of
	// evacuated failure domains are left out.
	Targets map[string][]*Target
	// Evacuated are the failure domains whose targets get no new requests, sorted.
	Evacuated []string
	// Position is the position in the store's history up to which the view is complete.
	Position records.Position
	// BuiltAt is when the view was built, since the instance's start.
	BuiltAt time.Duration
}
