package timeline

import "time"

// Kind is the kind of an event.
type Kind string

// Kinds of state changes.
const (
	InstanceStarted      Kind = "instance-started"
	InstanceLeaving      Kind = "instance-leaving"
	InstanceStopped      Kind = "instance-stopped"
	InstancePaused       Kind = "instance-paused"
	InstanceRefreshed    Kind = "instance-refreshed"
	ConfigurationInForce Kind = "configuration-in-force"
	ConfigurationRefused Kind = "configuration-refused"
	PeerAlive            Kind = "peer-alive"
	PeerSuspected        Kind = "peer-suspected"
	PeerLost             Kind = "peer-lost"
	TargetDraining       Kind = "target-draining"
	TargetServing        Kind = "target-serving"
	TargetEjected        Kind = "target-ejected"
	TargetReturned       Kind = "target-returned"
	CrashSuspected       Kind = "crash-suspected"
	CrashBlocked         Kind = "crash-blocked"
	CrashCleared         Kind = "crash-cleared"
)

// Kinds of request steps.
const (
	RequestReceived Kind = "request-received"
	RequestSent     Kind = "request-sent"
	AttemptEnded    Kind = "attempt-ended"
	RequestAnswered Kind = "request-answered"
	RequestRefused  Kind = "request-refused"
	RequestCanceled Kind = "request-canceled"
)

// Event is one entry of the time line. Fields that do not apply are empty.
type Event struct {
	// Sequence numbers the events of one incarnation, starting at 1.
	Sequence uint64 `json:"seq"`
	// Time is the time of the event, on the wall clock of the instance.
	Time time.Time `json:"time"`
	// Instance and Incarnation identify the process that recorded the event.
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
	Kind        Kind   `json:"kind"`
	// Request is the ID of the request.
	Request string `json:"request,omitempty"`
	Route   string `json:"route,omitempty"`
	Pool    string `json:"pool,omitempty"`
	Target  string `json:"target,omitempty"`
	Peer    string `json:"peer,omitempty"`
	// Attempt is the number of the attempt.
	Attempt int `json:"attempt,omitempty"`
	// Version is the version of a configuration.
	Version uint64 `json:"version,omitempty"`
	// Detail is a free text, such as an outcome or a kind of refusal.
	Detail string `json:"detail,omitempty"`
}
