package dogwoodroute

import (
	"strconv"
	"sync"
	"time"

	"github.com/dogwoodroute/dogwoodroute/balancer"
	"github.com/dogwoodroute/dogwoodroute/refusal"
	"github.com/dogwoodroute/dogwoodroute/timeline"
)

// observer records the steps of requests in the time line and in the metrics.
type observer struct{ *Instance }

// Received implements entry.Observer.
func (o observer) Received(request, route string) {
	o.events.RecordRequest(timeline.Event{Kind: timeline.RequestReceived, Request: request, Route: route})
}

// Sent implements entry.Observer.
func (o observer) Sent(request, target string, number int, hedge bool) {
	event := timeline.Event{Kind: timeline.RequestSent, Request: request, Target: target, Attempt: number}
	if hedge {
		event.Detail = "hedge"
	}
	o.events.RecordRequest(event)
}

// AttemptEnded implements entry.Observer.
func (o observer) AttemptEnded(request, target string, outcome balancer.Outcome) {
	o.metrics.Attempt(outcome.String())
	o.events.RecordRequest(timeline.Event{Kind: timeline.AttemptEnded, Request: request, Target: target, Detail: outcome.String()})
}

// Answered implements entry.Observer.
func (o observer) Answered(request, route string, status int, took time.Duration) {
	o.metrics.Request(route, took)
	o.counts.answered(route)
	o.events.RecordRequest(timeline.Event{Kind: timeline.RequestAnswered, Request: request, Route: route, Detail: strconv.Itoa(status)})
}

// Refused implements entry.Observer.
func (o observer) Refused(request, route string, r *refusal.Refusal, _ time.Duration) {
	o.metrics.Refusal(string(r.Kind))
	o.counts.refused(route, r.Kind)
	o.events.RecordRequest(timeline.Event{Kind: timeline.RequestRefused, Request: request, Route: route,
		Detail: string(r.Kind) + " " + string(r.Execution)})
}

// Canceled implements entry.Observer.
func (o observer) Canceled(request, route string) {
	o.events.RecordRequest(timeline.Event{Kind: timeline.RequestCanceled, Request: request, Route: route})
}

// TargetDraining implements entry.Observer.
func (o observer) TargetDraining(address string) { o.reportDraining(address) }

// requestCounts counts answered and refused requests by route, and refusals by
// kind. The zero value is ready for use. Its mutex is only locked briefly after
// a request has ended.
type requestCounts struct {
	mu     sync.Mutex
	routes map[string]*routeCounts
	kinds  map[refusal.Kind]uint64
}

type routeCounts struct{ answered, refused uint64 }

func (c *requestCounts) forRoute(name string) *routeCounts {
	if c.routes == nil {
		c.routes, c.kinds = make(map[string]*routeCounts), make(map[refusal.Kind]uint64)
	}
	if c.routes[name] == nil {
		c.routes[name] = new(routeCounts)
	}
	return c.routes[name]
}

func (c *requestCounts) answered(route string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forRoute(route).answered++
}

func (c *requestCounts) refused(route string, kind refusal.Kind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forRoute(route).refused++
	c.kinds[kind]++
}
