package configservice

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/internal/backoff"
)

// Pauses of a Follower. A service that answers at once with ever new values is
// called at most 10 times a second by one follower: 400 calls/s for 20
// instances with two followers each, against a limit of 2,000 calls/s.
const (
	minCallInterval = 200 * time.Millisecond // before jitter, which may halve it
	minFailurePause = 200 * time.Millisecond
	maxFailurePause = 2 * time.Second
	// minHeldWatch is the duration from which an unchanged watch counts as one that
	// the service really held open.
	minHeldWatch = time.Second
)

// FetchResult is the result of one call of a Follower.
type FetchResult struct {
	Value Value
	// Err is nil for a new value, ErrUnchanged when the service answered that
	// there is none, and otherwise the failure.
	Err error
	// Started is the time of the call.
	Started time.Time
}

// FollowerOptions configure a Follower.
type FollowerOptions struct {
	// Source is read first and then watched. Required.
	Source Source
	// OnResult is called with each result, by the goroutine of Run. Required.
	OnResult func(FetchResult)
	// Rand is the source of jitter. Default the global source.
	Rand *rand.Rand
}

// Follower keeps a reader up to date with one published value.
type Follower struct {
	options FollowerOptions
	refresh chan struct{}
	backoff backoff.Backoff
	tag     string
}

// NewFollower returns a follower; call Run once.
func NewFollower(o FollowerOptions) *Follower {
	return &Follower{options: o, refresh: make(chan struct{}, 1),
		backoff: backoff.Backoff{Min: minFailurePause, Max: maxFailurePause, Rand: o.Rand}}
}

// Refresh ends a pending watch and reads the value anew, for a reader that no
// longer trusts what it has. Calls during a refresh are merged into one.
func (f *Follower) Refresh() {
	select {
	case f.refresh <- struct{}{}:
	default:
	}
}

// Run reads and then watches until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		result, refreshed := f.fetch(ctx)
		if ctx.Err() != nil {
			return
		}
		if refreshed {
			f.tag = ""
			backoff.Sleep(ctx, backoff.Jitter(f.options.Rand, minCallInterval))
			continue
		}
		f.options.OnResult(result)
		backoff.Sleep(ctx, f.pause(result, time.Since(result.Started)))
	}
}

// fetch makes one fetch and reports whether Refresh ended it. A read is not
// ended, as it is already what Refresh asks for.
func (f *Follower) fetch(ctx context.Context) (FetchResult, bool) {
	result := FetchResult{Started: time.Now()}
	if f.tag == "" {
		select {
		case <-f.refresh: // this read serves it
		default:
		}
		result.Value, result.Err = f.options.Source.Read(ctx)
		return result, false
	}
	watch, cancel := context.WithCancel(ctx)
	defer cancel()
	endedByRefresh := make(chan bool)
	go func() {
		select {
		case <-f.refresh:
			cancel()
			endedByRefresh <- true
		case <-watch.Done():
			endedByRefresh <- false
		}
	}()
	result.Value, result.Err = f.options.Source.Watch(watch, f.tag)
	cancel()
	return result, <-endedByRefresh
}

// pause returns the time until the next call.
func (f *Follower) pause(result FetchResult, took time.Duration) time.Duration {
	switch {
	case result.Err == nil && result.Value.Tag != "" && result.Value.Tag != f.tag:
		f.tag = result.Value.Tag
		f.backoff.Reset()
		return backoff.Jitter(f.options.Rand, minCallInterval)
	case errors.Is(result.Err, ErrUnchanged) && took >= minHeldWatch:
		f.backoff.Reset()
		return 0
	default: // a failure, or an answer that brings nothing and was not waited for
		return f.backoff.Next()
	}
}
