package entry

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/balancer"
	"github.com/dogwoodroute/dogwoodroute/refusal"
)

// Observer receives the events of each request. Its methods are called on the
// request path by several goroutines and must not block.
type Observer interface {
	Received(request, route string)
	Sent(request, target string, number int, hedge bool)
	// AttemptEnded is called once after each Sent.
	AttemptEnded(request, target string, outcome balancer.Outcome)
	// One of Answered, Refused and Canceled is called when the request ends, except
	// for requests refused because of the shutdown or the request limit, and for
	// replayed responses. route is empty if no route matched. took is the time since
	// the request header had been read.
	Answered(request, route string, status int, took time.Duration)
	Refused(request, route string, r *refusal.Refusal, took time.Duration)
	Canceled(request, route string)
	// TargetDraining is called when a response of the target at the address reports
	// that the target is draining.
	TargetDraining(address string)
}

// noObserver ignores all events.
type noObserver struct{}

func (noObserver) Received(string, string)                                 {}
func (noObserver) Sent(string, string, int, bool)                          {}
func (noObserver) AttemptEnded(string, string, balancer.Outcome)           {}
func (noObserver) Answered(string, string, int, time.Duration)             {}
func (noObserver) Refused(string, string, *refusal.Refusal, time.Duration) {}
func (noObserver) Canceled(string, string)                                 {}
func (noObserver) TargetDraining(string)                                   {}
