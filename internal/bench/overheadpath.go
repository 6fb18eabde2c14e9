package bench

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dogwoodroute/dogwoodroute/internal/load"
	"github.com/dogwoodroute/dogwoodroute/transport"
	"github.com/dogwoodroute/dogwoodroute/wire"
)

// callPath sends calls to one address and records their latencies.
type callPath struct {
	address string

	mu        sync.Mutex
	sent      int
	failed    int
	histogram *hdrhistogram.Histogram // microseconds
}

// scheduledCall is one call, at a time since the start of the run.
type scheduledCall struct {
	at   time.Duration
	path *callPath
	id   string
}

// run calls each address at OverheadRate, all of them at the same time, and waits
// until all calls have ended. It stops sending when ctx is done. The paths are
// returned in the order of the addresses.
func (m *overheadRun) run(ctx context.Context, duration time.Duration, addresses ...string) []*callPath {
	var paths []*callPath
	var calls []scheduledCall
	for n, address := range addresses {
		path := &callPath{address: address, histogram: hdrhistogram.New(1, overheadTimeout.Microseconds(), 3)}
		paths = append(paths, path)
		for i, arrival := range m.arrivals(duration, n) {
			calls = append(calls, scheduledCall{time.Duration(arrival.At) * time.Microsecond, path, fmt.Sprintf("%d-%d", n, i)})
		}
	}
	slices.SortStableFunc(calls, func(a, b scheduledCall) int { return cmp.Compare(a.at, b.at) })
	start := time.Now()
	var sending sync.WaitGroup
	for _, call := range calls {
		if ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(start.Add(call.at)))
		sending.Go(func() { call.path.send(ctx, m.client, start.Add(call.at), call.id) })
	}
	sending.Wait()
	return paths
}

// send sends one call, checks the response, and records the latency since dueAt.
// An error or a wrong response counts as failed.
func (p *callPath) send(ctx context.Context, client *transport.Client, dueAt time.Time, id string) {
	ctx, cancel := context.WithTimeout(ctx, overheadTimeout)
	defer cancel()
	request := load.NewRequest(overheadPool, load.Lookup, []byte("body of "+id), overheadTimeout)
	request.Header.Set(wire.HeaderRequestID, id)
	want := overheadPool + "-00 " + id + "\n" + string(request.Body)
	text, err := exchange(ctx, client, &transport.Attempt{Address: p.address, Method: request.Method, URI: request.Path,
		Header: request.Header, Body: [][]byte{request.Body}})
	took := time.Since(dueAt)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent++
	if err != nil || text != want {
		p.failed++
		return
	}
	_ = p.histogram.RecordValue(min(took, overheadTimeout).Microseconds()) // in range
}

// exchange sends a request and returns the response body. A status other than
// 200 is an error.
func exchange(ctx context.Context, client *transport.Client, attempt *transport.Attempt) (string, error) {
	response, err := client.Do(ctx, attempt)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", response.StatusCode)
	}
	return string(text), err
}
