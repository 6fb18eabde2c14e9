package admin

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/dogwoodroute/dogwoodroute/timeline"
)

// Options configure a Handler.
type Options struct {
	// Status returns the current status. It is called concurrently and must not
	// wait for requests in flight. Required.
	Status func() Status
	// Timeline is the recorder of the instance's events. Required.
	Timeline *timeline.Recorder
	// Metrics serves /metrics. Required.
	Metrics http.Handler
	// Instance is the instance's id. Required.
	Instance string
	// Log receives responses that could not be encoded (level error) or sent (level
	// debug). Default slog.Default().
	Log *slog.Logger
	// Now is the wall clock that is also used for the events of Timeline. Default
	// time.Now.
	Now func() time.Time
}
