package catalog

import "time"

// View is what an instance knows at one moment. It is immutable.
type View struct {
	// Config is the configuration in force, nil before one is known.
	Config *Config
	// Routes matches requests to the routes of Config.
	Routes *Matcher
	// Targets holds the targets of each service that take new work, by ID.
	Targets map[string][]*Target
	// Revision is the store's revision up to which the view is complete.
	Revision uint64
	// BuiltAt is when the view was built, since the instance's start.
	BuiltAt time.Duration
}
