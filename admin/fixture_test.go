package admin_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/dogwoodroute/dogwoodroute/admin"
	"github.com/dogwoodroute/dogwoodroute/refusal"
	"github.com/dogwoodroute/dogwoodroute/timeline"
)

var base = time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)

// instance serves an administration API with a clock of its own.
type instance struct {
	status    admin.Status
	recorder  *timeline.Recorder
	now       time.Time // clock of the API
	eventTime time.Time // clock of the recorder
}

func newInstance(id string, now time.Time) *instance {
	i := &instance{now: now, status: fullStatus(id)}
	i.recorder = timeline.NewRecorder(timeline.Options{Instance: id, RequestEvents: admin.MaxEvents + 10,
		Now: func() time.Time { return i.eventTime }})
	return i
}

func (i *instance) handler() http.Handler {
	return admin.Handler(admin.Options{Instance: i.status.Instance.ID, Timeline: i.recorder,
		Status: func() admin.Status { return i.status }, Now: func() time.Time { return i.now },
		Metrics: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("metrics")) })})
}

// serve starts a server for the API and returns its address.
func (i *instance) serve(t *testing.T) string {
	server := httptest.NewServer(i.handler())
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// fullStatus returns a status in which every list has an entry and every optional
// field is set.
func fullStatus(id string) admin.Status {
	cpu := uint64(1)
	return admin.Status{
		Instance: admin.Instance{ID: id, Incarnation: "c1", FailureDomain: "poa-a", State: admin.Serving, UptimeMillis: 1, Time: base},
		Configuration: admin.Configuration{Version: 4, Digest: "d4", Source: "service", InForceSince: base,
			LastRefused: &admin.RefusedDocument{Version: 3, Digest: "d3", Source: "service", At: base,
				Problems: []admin.Problem{{Line: 1, Column: 2, Field: "version", Message: "too low"}}},
			Conflicts: []admin.Conflict{{Version: 4, Digest: "d5", Source: "peer x"}}},
		Fleet: admin.Fleet{MayBeAlive: 2, Live: 2, Peers: []admin.Peer{{ID: "x", Incarnation: "c", State: admin.PeerAlive, LastContactMillis: 5, Version: 4, Digest: "d4"}}},
		Pools: []admin.Pool{{Name: "p", Closed: "repair", InFlight: 3,
			Targets: []admin.Target{{Name: "t1", State: admin.TargetServing, InSubset: true, Slots: 4}}}},
		Routes:          []admin.Route{{Name: "r", Requests: 3, Answered: 2, Refused: 1}},
		Refusals:        admin.NewRefusals(map[refusal.Kind]uint64{refusal.RouteClosed: 2, refusal.Overload: 3, refusal.Deadline: 1}),
		Control:         []admin.ControlTraffic{{Kind: "exchange", MessagesIn: 1, CPUMicros: &cpu}},
		AbortedRequests: 1,
	}
}
