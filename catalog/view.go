package catalog

import "time"

// View is an immutable snapshot of the configuration and the targets that an
// instance knows.
type View struct {
	// Config is the configuration in force, or nil before the first one.
	Config *Config
	// Routes matches requests to the routes of Config. It is nil if Config is.
	Routes *Matcher
	// Targets holds the targets that accept new requests by service, sorted by ID.
	Targets map[string][]*Target
	// Revision is the store's revision up to which the view is complete.
	Revision uint64
	// BuiltAt is when the view was built, since the instance's start.
	BuiltAt time.Duration
}
