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

// slack is a timeout that a loaded machine does not reach.
const slack = time.Minute

// Guards against one instance that cannot be asked and hides the others, and
// against errors that do not say which instance failed at which step.
func TestClientReportsEachInstance(t *testing.T) {
	is := is.New(t)
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	other := httptest.NewServer(http.NotFoundHandler())
	defer other.Close()
	garbled := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{")) }))
	defer garbled.Close()
	addresses := []string{strings.TrimPrefix(gone.URL, "http://"), newInstance("i1", base).serve(t),
		strings.TrimPrefix(other.URL, "http://"), strings.TrimPrefix(garbled.URL, "http://"), "bad address"}
	client := admin.NewClient(admin.ClientOptions{Addresses: addresses, Timeout: slack})
	defer client.Close()
	answers := client.Status(context.Background())
	want := []admin.Step{admin.StepSend, "", admin.StepStatus, admin.StepDecode, admin.StepBuild}
	for i, answer := range answers {
		is.Equal(answer.Address, addresses[i])
		is.Equal(answer.Err == nil, want[i] == "")
		if answer.Err != nil {
			is.Equal(answer.Err.Step, want[i])
			is.True(strings.Contains(answer.Err.Error(), addresses[i]))
		}
	}
	is.Equal(answers[1].Value, filled("i1"))
	is.Equal(answers[2].Err.Status, 404)
}

// Guards against asking more instances at once than allowed, and against a
// hanging instance that holds the client after its context ended.
func TestClientIsBounded(t *testing.T) {
	is := is.New(t)
	var present, most atomic.Int64
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		now := present.Add(1)
		defer present.Add(-1)
		for old := most.Load(); now > old && !most.CompareAndSwap(old, now); old = most.Load() {
		}
		if now == 2 {
			cancel() // both places are taken
		}
		<-r.Context().Done()
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	client := admin.NewClient(admin.ClientOptions{Addresses: []string{address, address, address, address, address},
		Concurrency: 2, Timeout: slack})
	defer client.Close()
	for _, answer := range client.Status(ctx) {
		is.True(errors.Is(answer.Err, context.Canceled))
	}
	is.Equal(most.Load(), int64(2))
}

// Guards against time bounds that are applied to a clock which is an hour off:
// b is one hour ahead of the reader and of a.
func TestTimelineWithClocksAnHourApart(t *testing.T) {
	is := is.New(t)
	now := base.Add(30 * time.Minute)
	a, b := newInstance("a", now), newInstance("b", now.Add(time.Hour))
	record := func(i *instance, at time.Time) {
		i.recorded = at
		i.recorder.RecordState(timeline.Event{Kind: timeline.TargetEjected})
	}
	record(a, base)
	record(b, base.Add(time.Hour+10*time.Minute))
	record(a, base.Add(20*time.Minute))
	record(b, base.Add(time.Hour+25*time.Minute))
	client := admin.NewClient(admin.ClientOptions{Addresses: []string{a.serve(t), b.serve(t)}, Timeout: slack,
		Now: func() time.Time { return now }})
	defer client.Close()
	var readings []timeline.TimedPage
	for _, answer := range client.Timeline(context.Background(), timeline.Filter{From: base.Add(5 * time.Minute), To: base.Add(22 * time.Minute)}) {
		is.True(answer.Err == nil)
		readings = append(readings, answer.Value)
	}
	merged := timeline.Merge(readings)
	is.Equal(len(merged.Events), 2)
	is.Equal(merged.Events[0].Instance, "b")
	is.True(merged.Events[0].Time.Equal(base.Add(10 * time.Minute)))
	is.Equal(merged.Events[1].Instance, "a")
	is.Equal(merged.ErrorBound, time.Duration(0))
}
