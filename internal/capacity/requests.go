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

// concurrentRequests is the number of requests that send has in flight.
const concurrentRequests = 16

// startRequestFleet starts one instance and one pool of four targets, which run
// requests for as long as service returns.
func startRequestFleet(service func(*http.Request) time.Duration) (*testbed.Fleet, error) {
	return startFleet(testbed.Options{
		Pools: []testbed.Pool{{Name: "p", Targets: 4, Slots: 256, Target: standin.TargetOptions{ServiceTime: service}}},
		Routes: []tables.Route{{Name: "all", Match: tables.Match{PathPrefix: "/"}, Pool: "p", Idempotent: true,
			DeadlineMillis: time.Minute.Milliseconds(), MaxAttempts: 1}},
	})
}

// Paths of a request.
const (
	throughInstance = "through an instance"
	directToTarget  = "sent directly"
)

var paths = []string{throughInstance, directToTarget}

// requestURL returns the URL to which requests of a path are sent.
func requestURL(f *testbed.Fleet, path string) string {
	if path == throughInstance {
		return "http://" + f.Addresses()[0] + "/a"
	}
	return "http://" + f.Targets()[0].Address() + "/a"
}

// measureRequests measures requests through an instance and requests sent
// directly to a target. The difference of the slopes is the cost of the instance.
func measureRequests(r *run) error {
	f, err := startRequestFleet(func(*http.Request) time.Duration { return 0 })
	if err != nil {
		return err
	}
	defer f.Close()
	for _, path := range paths {
		url, client := requestURL(f, path), newClient(concurrentRequests)
		if err := send(r, client, url, 500); err != nil { // opens the connections
			return err
		}
		for _, count := range []int{1000, 2000, 4000, 8000} {
			u := measure(func() { err = send(r, client, url, count) })
			if err != nil {
				return err
			}
			r.add(ComponentRequests, "processor time, "+path+", caller and target included", "µs", "requests", count, u.cpuMicros)
			r.add(ComponentRequests, "allocations, "+path+", caller and target included", "", "requests", count, u.allocations)
		}
		client.CloseIdleConnections()
	}
	return nil
}

func newClient(connections int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections, DisableCompression: true}}
}

// send sends count requests, concurrentRequests at a time, and waits for the
// responses. It returns the first error.
func send(r *run, client *http.Client, url string, count int) error {
	var left atomic.Int64
	left.Store(int64(count))
	var group errgroup.Group
	for range concurrentRequests {
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
		return errors.Wrap(err, "read response")
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("status %d: %s", response.StatusCode, text)
	}
	return nil
}

// measureInFlight measures the memory of requests that are in flight.
func measureInFlight(r *run) error {
	for _, path := range paths {
		for _, count := range []int{25, 50, 100, 200} {
			bytes, err := r.inFlightMemory(path, count)
			if err != nil {
				return err
			}
			r.add(ComponentRequests, "memory in flight, "+path+", caller and target included", "B", "requests", count, bytes)
		}
	}
	return nil
}

// inFlightMemory returns the memory of count requests in flight, in bytes. Their
// target does not respond until it has been measured.
func (r *run) inFlightMemory(path string, count int) (float64, error) {
	released := make(chan struct{})
	var arrived atomic.Int64
	f, err := startRequestFleet(func(*http.Request) time.Duration { arrived.Add(1); <-released; return 0 })
	if err != nil {
		return 0, err
	}
	defer f.Close()
	releaseAll := sync.OnceFunc(func() { close(released) })
	defer releaseAll() // runs before Close, which waits for the targets
	client := newClient(count)
	defer client.CloseIdleConnections()
	before := memoryInUse()
	var group errgroup.Group
	for range count {
		group.Go(func() error { return sendOne(client, requestURL(f, path)) })
	}
	for end := time.Now().Add(5 * time.Second); arrived.Load() < int64(count); {
		if time.Now().After(end) || r.ctx.Err() != nil {
			releaseAll()
			return 0, errors.Join(errors.Errorf("%d of %d requests reached a target", arrived.Load(), count), group.Wait())
		}
		time.Sleep(time.Millisecond)
	}
	bytes := memoryInUse() - before
	releaseAll()
	return bytes, group.Wait()
}
