package dogwoodroute_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/dogwoodroute/dogwoodroute"
	"github.com/dogwoodroute/dogwoodroute/caller"
	"github.com/dogwoodroute/dogwoodroute/internal/standin"
	"github.com/dogwoodroute/dogwoodroute/internal/testbed"
	"github.com/dogwoodroute/dogwoodroute/tables"
)

// testTimeout ends a test that would otherwise hang.
const testTimeout = time.Minute

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startFleet runs two instances with one target behind them.
func startFleet(t *testing.T, service func(*http.Request) time.Duration) *testbed.Fleet {
	fleet, err := testbed.Start(testbed.Options{Instances: 2, ResolveValidity: 300 * time.Millisecond, ShutdownLimit: 2 * testTimeout,
		Pools: []testbed.Pool{{Name: "p", Targets: 1, Slots: 256,
			Target: standin.TargetOptions{ServiceTime: service}}},
		Routes: []tables.Route{{Name: "echo", Match: tables.Match{PathPrefix: "/echo"}, Pool: "p", Idempotent: true,
			MaxAttempts: 1, DeadlineMillis: 60000}}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	if err := fleet.WaitReady(testTimeout); err != nil {
		t.Fatal(err)
	}
	return fleet
}

// Guards against a planned stop that aborts requests in flight, or that makes
// callers send requests twice.
func TestStopAbortsNoRequests(t *testing.T) {
	is := is.New(t)
	fleet := startFleet(t, func(*http.Request) time.Duration { return 20 * time.Millisecond })
	target := fleet.Targets()[0]
	var stop atomic.Bool
	var sent atomic.Int64
	var callers sync.WaitGroup
	for range 100 {
		callers.Go(func() {
			client := caller.New(caller.Options{Seeds: fleet.Addresses(), Timeout: testTimeout})
			defer client.Close()
			for n := 0; !stop.Load(); n++ {
				body := fmt.Sprint(n)
				response, err := client.Do(context.Background(), &caller.Request{Method: http.MethodPost, Path: "/echo",
					Body: []byte(body), Idempotent: true})
				sent.Add(1)
				if err != nil || response.Status != http.StatusOK || !strings.HasSuffix(string(response.Body), "\n"+body) {
					t.Errorf("request %d: %+v, %v", n, response, err)
					return
				}
			}
		})
	}
	for before := sent.Load(); sent.Load() < before+500 && !t.Failed(); time.Sleep(time.Millisecond) {
	}
	is.NoErr(fleet.Instances()[0].StopAndWait())
	for before := sent.Load(); sent.Load() < before+200 && !t.Failed(); time.Sleep(time.Millisecond) {
	}
	stop.Store(true)
	callers.Wait()
	for id, runs := range target.RunCounts() {
		if runs != 1 && id != "" {
			t.Errorf("request %s was run %d times", id, runs)
		}
	}
	for _, run := range target.RecordedRuns() {
		if run.State != standin.RunFinished {
			t.Errorf("request %s ended as %s", run.RequestID, run.State)
		}
	}
}

// Guards against a StopNow that waits for requests in flight, as a planned stop
// does, and against aborted requests that are not counted.
func TestStopNowCountsAbortedRequests(t *testing.T) {
	is := is.New(t)
	fleet := startFleet(t, func(r *http.Request) time.Duration {
		if r.URL.Path == "/echo/hold" {
			return testTimeout
		}
		return 0
	})
	target, r := fleet.Targets()[0], fleet.Instances()[0]
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if response, err := http.Get("http://" + r.CallerAddress() + "/echo/hold"); err == nil {
			_ = response.Body.Close()
		}
	}()
	for target.InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	r.Stop()
	r.StopNow()
	var aborted *dogwoodroute.AbortedRequestsError
	is.True(errors.As(r.Wait(testTimeout), &aborted))
	is.Equal(aborted.Count, int64(1))
	<-ended
}
