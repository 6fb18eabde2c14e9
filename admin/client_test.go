package admin_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/admin"
	"github.com/dogwoodroute/dogwoodroute/timeline"
)

// testTimeout is long enough not to be reached on a loaded machine.
const testTimeout = time.Minute

// Guards against a failing instance that hides the responses of the others, and
// against errors that do not name the instance and the failed step.
func TestClientReportsEachInstance(t *testing.T) {
	is := is.New(t)
	stopped := httptest.NewServer(http.NotFoundHandler())
	stopped.Close()
	notFound := httptest.NewServer(http.NotFoundHandler())
	defer notFound.Close()
	malformed := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{")) }))
	defer malformed.Close()
	addresses := []string{strings.TrimPrefix(stopped.URL, "http://"), newInstance("i1", base).serve(t),
		strings.TrimPrefix(notFound.URL, "http://"), strings.TrimPrefix(malformed.URL, "http://"), "bad address"}
	client := admin.NewClient(admin.ClientOptions{Addresses: addresses, Timeout: testTimeout})
	defer client.Close()
	responses := client.Status(context.Background())
	want := []admin.Step{admin.StepSend, "", admin.StepStatus, admin.StepDecode, admin.StepBuild}
	for i, response := range responses {
		is.Equal(response.Address, addresses[i])
		is.Equal(response.Err == nil, want[i] == "")
		if response.Err != nil {
			is.Equal(response.Err.Step, want[i])
			is.True(strings.Contains(response.Err.Error(), addresses[i]))
		}
	}
	is.Equal(responses[1].Value, fullStatus("i1"))
	is.Equal(responses[2].Err.Status, 404)
}

// Guards against more concurrent calls than allowed, and against an instance that
// does not respond and blocks the client after its context has ended.
func TestClientIsBounded(t *testing.T) {
	is := is.New(t)
	var active, peak atomic.Int64
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		now := active.Add(1)
		defer active.Add(-1)
		for old := peak.Load(); now > old && !peak.CompareAndSwap(old, now); old = peak.Load() {
		}
		if now == 2 {
			cancel() // the concurrency limit is reached
		}
		<-r.Context().Done()
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	client := admin.NewClient(admin.ClientOptions{Addresses: []string{address, address, address, address, address},
		Concurrency: 2, Timeout: testTimeout})
	defer client.Close()
	for _, response := range client.Status(ctx) {
		is.True(errors.Is(response.Err, context.Canceled))
	}
	is.Equal(peak.Load(), int64(2))
}

// Guards against events that are missed or wrongly selected because the times of
// the filter are compared with an instance's clock without conversion. The clock
// of b is one hour ahead of those of the client and of a.
func TestTimelineWithClocksAnHourApart(t *testing.T) {
	is := is.New(t)
	now := base.Add(30 * time.Minute)
	a, b := newInstance("a", now), newInstance("b", now.Add(time.Hour))
	record := func(i *instance, at time.Time) {
		i.eventTime = at
		i.recorder.RecordState(timeline.Event{Kind: timeline.TargetEjected})
	}
	record(a, base)
	record(b, base.Add(time.Hour+10*time.Minute))
	record(a, base.Add(20*time.Minute))
	record(b, base.Add(time.Hour+25*time.Minute))
	client := admin.NewClient(admin.ClientOptions{Addresses: []string{a.serve(t), b.serve(t)}, Timeout: testTimeout,
		Now: func() time.Time { return now }})
	defer client.Close()
	var pages []timeline.TimedPage
	for _, response := range client.Timeline(context.Background(), timeline.Filter{From: base.Add(5 * time.Minute), To: base.Add(22 * time.Minute)}) {
		is.True(response.Err == nil)
		pages = append(pages, response.Value)
	}
	merged := timeline.Merge(pages)
	is.Equal(len(merged.Events), 2)
	is.Equal(merged.Events[0].Instance, "b")
	is.True(merged.Events[0].Time.Equal(base.Add(10 * time.Minute)))
	is.Equal(merged.Events[1].Instance, "a")
	is.Equal(merged.ErrorBound, time.Duration(0))
}
