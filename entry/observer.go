package entry

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/balancer"
	"github.com/dogwoodroute/dogwoodroute/refusal"
)

// Observer is told of the steps of each request. Methods are called on the
// request path and must not block.
type Observer interface {
	Received(request, route string)
	Sent(request, target string, number int, hedge bool)
	// AttemptEnded is called once for each Sent.
	AttemptEnded(request, target string, outcome balancer.Outcome)
	// Answered, Refused and Canceled end a request. route is empty when none
	// matched. took runs from the arrival of the request's header.
	Answered(request, route string, status int, took time.Duration)
	Refused(request, route string, r *refusal.Refusal, took time.Duration)
	Canceled(request, route string)
	// TargetDraining is called when a target says that it is draining.
	TargetDraining(address string)
}

// noObserver ignores everything.
type noObserver struct{}

func (noObserver) Received(string, string)                                 {}
func (noObserver) Sent(string, string, int, bool)                          {}
func (noObserver) AttemptEnded(string, string, balancer.Outcome)           {}
func (noObserver) Answered(string, string, int, time.Duration)             {}
func (noObserver) Refused(string, string, *refusal.Refusal, time.Duration) {}
func (noObserver) Canceled(string, string)                                 {}
func (noObserver) TargetDraining(string)                                   {}
