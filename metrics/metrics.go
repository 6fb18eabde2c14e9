package metrics

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprometheus "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the time between updates of the served values.
const reportInterval = time.Second

// Tag names.
const (
	tagRoute   = "route"
	tagPool    = "pool"
	tagKind    = "kind"
	tagOutcome = "outcome"
	tagLimit   = "limit"
	tagOrigin  = "origin"
	tagWork    = "work"
	tagService = "service"
	tagRank    = "rank"
	tagState   = "state"
)

// Metrics holds the metrics of one instance. It is safe for concurrent use.
type Metrics struct {
	scope       tally.Scope
	closer      io.Closer
	handler     http.Handler
	requests    *tagged[tally.Counter]
	refusals    *tagged[tally.Counter]
	attempts    *tagged[tally.Counter]
	expired     *tagged[tally.Counter]
	reports     *tagged[tally.Counter]
	advice      *tagged[tally.Counter]
	partial     *tagged[tally.Counter]
	warmups     *tagged[tally.Counter]
	panics      *tagged[tally.Counter]
	turned      *tagged[tally.Counter]
	shortage    *tagged[tally.Gauge]
	unreachable *tagged[tally.Gauge]
	implausible tally.Counter
	gauges      *tagged[tally.Gauge]
	latency     *tagged[tally.Histogram]
}

// New returns empty metrics that carry the instance's name as a tag. Call Close to
// stop their reporting goroutine.
func New(instance string) (*Metrics, error) {
	registry := prometheus.NewRegistry()
	var registerErr error
	reporter := tallyprometheus.NewReporter(tallyprometheus.Options{Registerer: registry, Gatherer: registry,
		OnRegisterError: func(err error) { registerErr = err }})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{Prefix: "dogwoodroute", CachedReporter: reporter,
		Separator: tallyprometheus.DefaultSeparator, Tags: map[string]string{"instance": instance},
		SanitizeOptions: &tallyprometheus.DefaultSanitizerOpts}, reportInterval)
	if registerErr != nil {
		_ = closer.Close()
		return nil, errors.Wrap(registerErr, "register metrics")
	}
	m := &Metrics{scope: scope, closer: closer, handler: reporter.HTTPHandler()}
	m.requests = newTagged(func(route string) tally.Counter {
		return scope.Tagged(map[string]string{tagRoute: route}).Counter("requests_total")
	})
	m.refusals = newTagged(func(kind string) tally.Counter {
		return scope.Tagged(map[string]string{tagKind: kind}).Counter("refusals_total")
	})
	m.attempts = newTagged(func(outcome string) tally.Counter {
		return scope.Tagged(map[string]string{tagOutcome: outcome}).Counter("attempts_total")
	})
	m.expired = newTagged(func(limit string) tally.Counter {
		return scope.Tagged(map[string]string{tagLimit: limit}).Counter("connections_expired_total")
	})
	m.reports = newTagged(func(origin string) tally.Counter {
		return scope.Tagged(map[string]string{tagOrigin: origin}).Counter("failure_reports_total")
	})
	m.advice = newTagged(func(kind string) tally.Counter {
		return scope.Tagged(map[string]string{tagKind: kind}).Counter("target_advice_total")
	})
	m.partial = newTagged(func(end string) tally.Counter {
		return scope.Tagged(map[string]string{tagKind: end}).Counter("partial_responses_total")
	})
	m.warmups = newTagged(func(state string) tally.Counter {
		return scope.Tagged(map[string]string{tagState: state}).Counter("target_warmups_total")
	})
	m.panics = newTagged(func(work string) tally.Counter {
		return scope.Tagged(map[string]string{tagWork: work}).Counter("panics_total")
	})
	m.turned = newTagged(func(rank string) tally.Counter {
		return scope.Tagged(map[string]string{tagRank: rank}).Counter("turned_away_total")
	})
	m.shortage = newTagged(func(service string) tally.Gauge {
		return scope.Tagged(map[string]string{tagService: service}).Gauge("shortage_level")
	})
	m.unreachable = newTagged(func(service string) tally.Gauge {
		return scope.Tagged(map[string]string{tagService: service}).Gauge("service_unreachable")
	})
	m.implausible = scope.Counter("implausible_demand_total")
	m.gauges = newTagged(func(name string) tally.Gauge { return scope.Gauge(name) })
	m.latency = newTagged(func(route string) tally.Histogram {
		return scope.Tagged(map[string]string{tagRoute: route}).Histogram("request_seconds", latencyBuckets)
	})
	return m, nil
}

// latencyBuckets double from 0.5 ms to about 33 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 2, 17)

// Request counts a finished request of a route and records its duration.
func (m *Metrics) Request(route string, took time.Duration) {
	m.requests.get(route).Inc(1)
	m.latency.get(route).RecordDuration(took)
}

// Refusal counts a refusal by kind.
func (m *Metrics) Refusal(kind string) { m.refusals.get(kind).Inc(1) }

// Attempt counts a finished attempt by outcome.
func (m *Metrics) Attempt(outcome string) { m.attempts.get(outcome).Inc(1) }

// ConnectionExpired counts a caller's connection that was closed because of a limit.
func (m *Metrics) ConnectionExpired(limit string) { m.expired.get(limit).Inc(1) }

// FailureReports counts reports of requests whose target was down after them, by the
// origin of the report.
func (m *Metrics) FailureReports(origin string, n int) { m.reports.get(origin).Inc(int64(n)) }

// Delivery counts a response that its caller has not got to the end.
func (m *Metrics) Delivery(end string) { m.partial.get(end).Inc(1) }

// TargetAdvice counts a change in what a target says about the requests that it wants.
func (m *Metrics) TargetAdvice(kind string) { m.advice.get(kind).Inc(1) }

// Shortage sets the part of the demand for a service that is turned away.
func (m *Metrics) Shortage(service string, level float64) { m.shortage.get(service).Update(level) }

// TurnedAway counts a request that is turned away by a shortage, by the rank of its route.
func (m *Metrics) TurnedAway(rank int) { m.turned.get(strconv.Itoa(rank)).Inc(1) }

// Unreachable sets whether no target of a service answers this instance: 1 if so, else 0.
func (m *Metrics) Unreachable(service string, unreachable bool) {
	value := 0.0
	if unreachable {
		value = 1
	}
	m.unreachable.get(service).Update(value)
}

// TargetWarmup counts a target that became "cold" or "warm" for this instance.
func (m *Metrics) TargetWarmup(state string) { m.warmups.get(state).Inc(1) }

// ImplausibleDemand counts figures of peers on the demand for services that are ignored.
func (m *Metrics) ImplausibleDemand(n int) { m.implausible.Inc(int64(n)) }

// Panic counts a panic that ended only the work in which it arose.
func (m *Metrics) Panic(work string) { m.panics.get(work).Inc(1) }

// Gauge sets a gauge of the instance. The first 1024 names are kept apart; further
// names share one gauge.
func (m *Metrics) Gauge(name string, value float64) { m.gauges.get(name).Update(value) }

// PoolGauge sets a gauge of a pool. It is too slow for use in each request.
func (m *Metrics) PoolGauge(pool, name string, value float64) {
	m.scope.Tagged(map[string]string{tagPool: pool}).Gauge(name).Update(value)
}

// ControlGauge sets a gauge for one kind of control message, such as the total number
// of messages or bytes.
func (m *Metrics) ControlGauge(kind, name string, value float64) {
	m.scope.Tagged(map[string]string{tagKind: kind}).Gauge(name).Update(value)
}

// ServeHTTP responds with all metrics in the Prometheus text format.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, r *http.Request) { m.handler.ServeHTTP(w, r) }

// Close updates the served values a last time and stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }
