package catalog

import (
	"slices"
	"time"
)

// Config is one version of the operators' configuration.
type Config struct {
	// Version increases with each change, not necessarily by one.
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
}

// Route sends the requests for a host and a path prefix to a service, or to several
// services by weight.
type Route struct {
	Name string
	// Host is in lower case and has no port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Services has at least one entry.
	Services []WeightedService
	// Idempotent is true when a request may run more than once.
	Idempotent bool
	// Timeout is the longest time until the response. Zero means that the route sets
	// no limit.
	Timeout time.Duration
	// Objective is the latency objective, the time within which a response is fully
	// useful. Zero means that there is none.
	Objective time.Duration
	// Rank is the priority; 0 is the highest.
	Rank int
	// MaxAttempts is the largest number of targets to which a request may be sent.
	// It is at least 1.
	MaxAttempts int
	// Regions are the only regions in which the requests may be handled, sorted. None means
	// that all may.
	Regions []string
}

// LeadsTo reports whether requests of the route may go to a service.
func (r *Route) LeadsTo(service string) bool {
	return slices.ContainsFunc(r.Services, func(s WeightedService) bool { return s.Service == service && s.Weight > 0 })
}

// WeightedService is the share of one service in a route.
type WeightedService struct {
	Service string
	Weight  int
}

// Service describes the targets of one service.
type Service struct {
	Name string
	// HealthPath is the path on which targets respond to probes with their load.
	HealthPath string
	// MaxConnections limits the connections to one target from all callers.
	MaxConnections int
	// Warmup is how long a target runs slowly after its start, or after it became cold
	// again. Zero means that it is not known.
	Warmup time.Duration
	// WarmupRate is the number of requests a second that a target tolerates while it warms
	// up, from all instances together; far above it the target crashes. Zero means no limit.
	WarmupRate float64
}

// Limits holds the limits for requests and connections of callers. Zero means no
// limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
