package gateway

import (
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/internal/contain"
	"github.com/dogwoodroute/dogwoodroute/placement"
	"github.com/dogwoodroute/dogwoodroute/quarantine"
	"github.com/dogwoodroute/dogwoodroute/relay"
	"github.com/dogwoodroute/dogwoodroute/shortage"
)

// RetryBudget limits the retries and hedged requests of each service, over all
// instances together.
type RetryBudget struct {
	// Ratio is the number of retries allowed per request of the service.
	Ratio float64
	// Window is the time over which requests and retries are counted.
	Window time.Duration
	// Allowance is the number of retries allowed in each window in addition.
	Allowance float64
	// NewFleet is true if no instance of the fleet ran before this one started, so
	// that no part of the allowance can be used up yet.
	NewFleet bool
}

// Options configure a Gateway. Fields without a stated default are required.
type Options struct {
	Dialect Dialect
	// FailureDomain is the failure domain of this instance.
	FailureDomain string
	// LocalAddress is the IP address from which connections to targets are opened. Not valid:
	// the system chooses it.
	LocalAddress netip.Addr
	// View returns the current view, never nil.
	View func() *catalog.View
	// Instances returns the number of instances that may be alive.
	Instances func() int
	// WeightedInstances is the number of instances that may be alive if all were like this
	// one. Budgets of the fleet that are used with each request are divided by it. Nil: as
	// Instances.
	WeightedInstances func() int
	// Isolated reports whether this instance has no contact with others that may be alive,
	// so that it gets no failure reports from them. Nil: never.
	Isolated func() bool
	// Share reports whether this instance is among the n instances of the fleet that share
	// a key, and how many there are if the fleet is smaller. All instances agree on them;
	// those of the failure domain come first. Nil: this instance alone has all keys.
	Share func(key uint64, failureDomain string, n int) (mine bool, of int)
	// RetryBudget limits retries and hedged requests.
	RetryBudget RetryBudget
	// ProbesPerTarget limits the probes per second that a target gets from all
	// instances together. 0: unlimited.
	ProbesPerTarget float64
	// Warmup bounds the requests that a cold target gets from all instances together.
	Warmup placement.WarmupBounds
	// DomainRegions holds the region of each failure domain. Only targets in a region of a
	// route with regions get its requests.
	DomainRegions map[string]string
	// MemoryBytes limits the memory of all exchanges: their headers, the bodies of
	// requests and responses, and the buffers of their connections. A part of it may
	// hold the parts of request bodies beyond their first 64 KiB, another those of
	// responses.
	MemoryBytes int64
	// CallerSendBuffer is the size of the send buffer of a caller's connection in bytes. What
	// it may hold does not count as taken by the caller. 0: unknown, all of it counts.
	CallerSendBuffer int64
	// LocalReportWait and RemoteReportWait limit the wait for load reports of
	// targets in this failure domain and in others. Defaults: 6 ms and 12 ms.
	LocalReportWait, RemoteReportWait time.Duration
	// ConfigWait limits how long a request waits for the first configuration after
	// the start before it is refused. Default: 250 ms.
	ConfigWait time.Duration
	Log        *slog.Logger
	Metrics    Metrics
	Random     *rand.Rand
	// OnFailureReport is called with failure reports to send to other instances; urgent is
	// true if the request is blocked from this report on, as its caller may send it to
	// another instance at once. It must not block.
	OnFailureReport func(report quarantine.FailureReport, urgent bool)
	// OnDemand is called several times a second with a function that returns what this
	// instance saw of the demand for services and of their room since that function was last
	// called. OnDemand may call it before it returns, and must not block. Demand returns what
	// the fleet saw, which is no longer changed. Nil: this instance goes by what it sees itself.
	OnDemand func(take func() []shortage.Entry)
	Demand   func() *[]shortage.Entry
	// Relay sends requests to other instances while no target of their service answers this
	// one. RelayPeers returns those instances, in a new list. Nil: such requests are refused.
	Relay      Relay
	RelayPeers func() []relay.Peer
	// OnPanic handles a panic in the work on a request, which then ends that work only. Nil:
	// it ends the process.
	OnPanic contain.Handler
	// Now returns the time since the start of the process.
	Now func() time.Duration
}

// Metrics records requests and attempts. Implementations are safe for concurrent use.
type Metrics interface {
	// Request records a finished request and the time from its arrival to its end.
	// route is empty if no route matched.
	Request(route string, took time.Duration)
	// Refusal counts a request with another outcome than "served".
	Refusal(outcome string)
	// Attempt counts a finished attempt by outcome.
	Attempt(outcome string)
	// FailureReports counts failure reports of requests by origin, "self" or "peer".
	FailureReports(origin string, n int)
	// TargetAdvice counts changes in what targets say about the requests that they want, by
	// kind: "leaving", "retry-after", "limit" or "none".
	TargetAdvice(kind string)
	// Shortage sets the part of the demand for a service that is turned away, 0 to 1.
	Shortage(service string, level float64)
	// TurnedAway counts a request that is turned away by a shortage, by the rank of its route.
	TurnedAway(rank int)
	// Delivery counts a response that its caller has not got to the end, by kind: "cut",
	// "stalled" or "failed".
	Delivery(end string)
	// Unreachable sets whether a service is unreachable: none of its targets answers this
	// instance.
	Unreachable(service string, unreachable bool)
	// TargetWarmup counts targets that became "cold" or "warm" for this instance.
	TargetWarmup(state string)
}
