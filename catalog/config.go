package catalog

import "time"

// Config is one version of the operators' configuration.
type Config struct {
	// Version increases with each change, in uneven steps.
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
}

// Route sends the requests of a host and a path prefix to a service or to
// several by weight.
type Route struct {
	Name string
	// Host is in lower case and has no port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Services has one entry for a route to one service.
	Services []WeightedService
	// Idempotent is true when a request may run more than once.
	Idempotent bool
	// Timeout is the longest time to keep a request waiting. Zero: unlimited.
	Timeout time.Duration
	// Objective is the time within which an answer is fully useful.
	Objective time.Duration
	// Rank is the urgency; 0 is the most urgent.
	Rank int
	// MaxAttempts bounds the targets to which one request may be sent. At least 1.
	MaxAttempts int
}

// WeightedService is the share of one service in a route.
type WeightedService struct {
	Service string
	Weight  int
}

// Service describes the targets of one service.
type Service struct {
	Name string
	// HealthPath answers probes with the target's load.
	HealthPath string
	// MaxConnections bounds the connections of a target over all callers.
	MaxConnections int
}

// Limits bound what a caller may send. Zero fields are unlimited.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
