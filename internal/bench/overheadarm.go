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

// callPath is the calls to one address.
type callPath struct {
	address string

	mu        sync.Mutex
	sent      int
	failed    int
	histogram *hdrhistogram.Histogram // microseconds
}

// scheduledCall is one call of an arm.
type scheduledCall struct {
	at   time.Duration
	path *callPath
	id   string
}

// run calls each address at OverheadRate for a length, interleaved, and waits
// for all answers.
func (m *overheadRun) run(ctx context.Context, length time.Duration, addresses ...string) []*callPath {
	var arms []*callPath
	var calls []scheduledCall
	for n, address := range addresses {
		a := &callPath{address: address, histogram: hdrhistogram.New(1, overheadTimeout.Microseconds(), 3)}
		arms = append(arms, a)
		for i, arrival := range m.arrivals(length, n) {
			calls = append(calls, scheduledCall{time.Duration(arrival.At) * time.Microsecond, a, fmt.Sprintf("%d-%d", n, i)})
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
	return arms
}

// send sends one send, checks its answer, and records the time since it was due.
func (a *callPath) send(ctx context.Context, client *transport.Client, dueAt time.Time, id string) {
	ctx, cancel := context.WithTimeout(ctx, overheadTimeout)
	defer cancel()
	request := load.NewRequest(overheadPool, load.Lookup, []byte("body of "+id), overheadTimeout)
	request.Header.Set(wire.HeaderRequestID, id)
	want := overheadPool + "-00 " + id + "\n" + string(request.Body)
	text, err := exchange(ctx, client, &transport.Attempt{Address: a.address, Method: request.Method, URI: request.Path,
		Header: request.Header, Body: request.Body})
	took := time.Since(dueAt)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent++
	if err != nil || text != want {
		a.failed++
		return
	}
	_ = a.histogram.RecordValue(min(took, overheadTimeout).Microseconds()) // in range
}

// exchange returns the body of an answer with status 200.
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
