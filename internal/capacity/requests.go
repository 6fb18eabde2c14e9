package capacity

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/dogwoodroute/dogwoodroute/internal/standin"
	"github.com/dogwoodroute/dogwoodroute/internal/testbed"
	"github.com/dogwoodroute/dogwoodroute/tables"
)

// callers is the number of requests that are sent at a time.
const callers = 16

// startPath starts one instance and four targets of one pool.
func startPath(service func(*http.Request) time.Duration) (*testbed.Fleet, error) {
	return startFleet(testbed.Options{
		Pools: []testbed.Pool{{Name: "p", Targets: 4, Slots: 256, Target: standin.TargetOptions{ServiceTime: service}}},
		Routes: []tables.Route{{Name: "all", Match: tables.Match{PathPrefix: "/"}, Pool: "p", Idempotent: true,
			DeadlineMillis: time.Minute.Milliseconds(), MaxAttempts: 1}},
	})
}

// The ways of a request.
const (
	through  = "through an instance"
	directly = "sent directly"
)

var ways = []string{through, directly}

// address returns where a request is sent.
func address(f *testbed.Fleet, way string) string {
	if way == through {
		return "http://" + f.Addresses()[0] + "/a"
	}
	return "http://" + f.Targets()[0].Address() + "/a"
}

// measureRequests measures requests through an instance and sent directly. The
// difference of the two slopes is the instance's part.
func measureRequests(r *run) error {
	f, err := startPath(func(*http.Request) time.Duration { return 0 })
	if err != nil {
		return err
	}
	defer f.Close()
	for _, way := range ways {
		url, client := address(f, way), newClient(callers)
		if err := send(r, client, url, 500); err != nil { // connections are opened
			return err
		}
		for _, count := range []int{1000, 2000, 4000, 8000} {
			u := measure(func() { err = send(r, client, url, count) })
			if err != nil {
				return err
			}
			r.add(ComponentRequests, "processor time, "+way+", caller and target included", "µs", "requests", count, u.micros)
			r.add(ComponentRequests, "allocations, "+way+", caller and target included", "", "requests", count, u.allocations)
		}
		client.CloseIdleConnections()
	}
	return nil
}

func newClient(connections int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections, DisableCompression: true}}
}

// send sends requests from several goroutines.
func send(r *run, client *http.Client, url string, count int) error {
	var left atomic.Int64
	left.Store(int64(count))
	var group errgroup.Group
	for range callers {
		group.Go(func() error {
			for left.Add(-1) >= 0 && r.ctx.Err() == nil {
				if err := sendOne(client, url); err != nil {
					return err
				}
			}
			return r.ctx.Err()
		})
	}
	return group.Wait()
}

func sendOne(client *http.Client, url string) error {
	request, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	response, err := client.Do(request)
	if err != nil {
		return errors.Wrap(err, "send request")
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("status %d: %s", response.StatusCode, text)
	}
	return nil
}

// measureInFlight measures the memory of requests that their target holds.
func measureInFlight(r *run) error {
	for _, way := range ways {
		for _, count := range []int{25, 50, 100, 200} {
			bytes, err := r.inFlight(way, count)
			if err != nil {
				return err
			}
			r.add(ComponentRequests, "memory in flight, "+way+", caller and target included", "B", "requests", count, bytes)
		}
	}
	return nil
}

// inFlight returns the memory of requests in flight.
func (r *run) inFlight(way string, count int) (float64, error) {
	release := make(chan struct{})
	var held atomic.Int64
	f, err := startPath(func(*http.Request) time.Duration { held.Add(1); <-release; return 0 })
	if err != nil {
		return 0, err
	}
	defer f.Close()
	open := sync.OnceFunc(func() { close(release) })
	defer open() // before Close, which waits for the targets
	client := newClient(count)
	defer client.CloseIdleConnections()
	before := memory()
	var group errgroup.Group
	for range count {
		group.Go(func() error { return sendOne(client, address(f, way)) })
	}
	for end := time.Now().Add(5 * time.Second); held.Load() < int64(count); {
		if time.Now().After(end) || r.ctx.Err() != nil {
			open()
			return 0, errors.Join(errors.Errorf("%d of %d requests reached a target", held.Load(), count), group.Wait())
		}
		time.Sleep(time.Millisecond)
	}
	bytes := memory() - before
	open()
	return bytes, group.Wait()
}
