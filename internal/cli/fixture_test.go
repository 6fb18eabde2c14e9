package cli

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/admin"
	"github.com/dogwoodroute/dogwoodroute/configservice"
	"github.com/dogwoodroute/dogwoodroute/refusal"
	"github.com/dogwoodroute/dogwoodroute/timeline"
)

// longTimeout is long enough for a loaded machine.
const longTimeout = "1m"

// commandOutput is the exit code and output of a command.
type commandOutput struct {
	code           int
	stdout, stderr string
}

func run(args ...string) commandOutput {
	var stdout, stderr bytes.Buffer
	command := NewOperatorCommand()
	command.SetArgs(args)
	command.SetOut(&stdout)
	command.SetErr(&stderr)
	code := Main(command)
	return commandOutput{code, stdout.String(), stderr.String()}
}

// startFleet starts the administration servers of three instances and returns
// their addresses. The clock of i2 is one hour ahead; i3 has an older
// configuration, has refused a document and has ejected a target.
func startFleet(t *testing.T) []string {
	status := func(id string, version uint64, state admin.TargetState) admin.Status {
		return admin.Status{
			Instance:      admin.Instance{ID: id, Incarnation: id + "-1", FailureDomain: "poa-a", State: admin.Serving},
			Configuration: admin.Configuration{Version: version, Digest: "digest" + strings.Repeat("0", int(version)), Source: "service"},
			Fleet:         admin.Fleet{MayBeAlive: 3, Live: 3},
			Pools: []admin.Pool{{Name: "prices", InFlight: 2, Targets: []admin.Target{
				{Name: "t1", State: admin.TargetServing}, {Name: "t2", State: state}}}},
			Refusals: admin.NewRefusals(map[refusal.Kind]uint64{refusal.RouteClosed: 1, refusal.Overload: 4})}
	}
	third := status("i3", 4, admin.TargetEjected)
	third.Configuration.LastRefused = &admin.RefusedDocument{Version: 5, Digest: "bad", Source: "service",
		Problems: []admin.Problem{{Line: 3, Column: 9, Field: "pools[0].targets", Message: "pool has no targets"}}}
	return []string{serveInstance(t, status("i1", 5, admin.TargetServing), 0), serveInstance(t, status("i2", 5, admin.TargetServing), time.Hour), serveInstance(t, third, 0)}
}

// serveInstance starts the administration server of an instance, with events some
// minutes apart and a clock that is ahead by clockOffset. It returns the address.
func serveInstance(t *testing.T, status admin.Status, clockOffset time.Duration) string {
	var recorded time.Time
	recorder := timeline.NewRecorder(timeline.Options{Instance: status.Instance.ID, Incarnation: status.Instance.Incarnation,
		Now: func() time.Time { return recorded }})
	at := func(ago time.Duration) { recorded = time.Now().Add(clockOffset - ago) }
	start := map[string]time.Duration{"i1": 50 * time.Minute, "i2": 40 * time.Minute, "i3": 30 * time.Minute}[status.Instance.ID]
	at(start)
	recorder.RecordState(timeline.Event{Kind: timeline.InstanceStarted})
	at(start - 5*time.Minute)
	recorder.RecordState(timeline.Event{Kind: timeline.TargetEjected, Pool: "prices", Target: "t2", Detail: "5 of 8 requests failed"})
	recorder.RecordRequest(timeline.Event{Kind: timeline.RequestReceived, Request: "r1", Route: "lookup"})
	at(start - 6*time.Minute)
	recorder.RecordRequest(timeline.Event{Kind: timeline.RequestRefused, Request: "r1", Route: "lookup", Detail: "overload"})
	server := httptest.NewServer(admin.Handler(admin.Options{Instance: status.Instance.ID, Timeline: recorder,
		Status: func() admin.Status { return status }, Metrics: http.NotFoundHandler(),
		Now: func() time.Time { return time.Now().Add(clockOffset) }}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// unreachable returns an address without a listener.
func unreachable() string {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	return strings.TrimPrefix(server.URL, "http://")
}

// serveList serves a list of instances with these administration addresses and
// returns its URL.
func serveList(t *testing.T, addresses ...string) string {
	var list configservice.List
	for _, address := range addresses {
		list.Instances = append(list.Instances, configservice.Instance{ID: "at-" + address, CallerAddress: "a", PeerAddress: "127.0.0.1:9",
			AdminAddress: address, State: configservice.InstanceLive})
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(list) }))
	t.Cleanup(server.Close)
	return server.URL
}

// writeTempFile writes a file into a temporary directory of the test and returns
// its path.
func writeTempFile(t *testing.T, name, text string) string {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), name)
	is.NoErr(os.WriteFile(path, []byte(text), 0o600))
	return path
}
