package configservice

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/internal/backoff"
)

// Pauses of a Follower. A follower calls a service that returns a new value on
// each call at most 10 times per second. 20 instances with two followers each
// make at most 400 calls/s; the service allows 2,000 calls/s.
const (
	minCallInterval = 200 * time.Millisecond // before jitter, which may halve it
	minFailurePause = 200 * time.Millisecond
	maxFailurePause = 2 * time.Second
	// minHeldWatch is the duration above which a watch that ends unchanged is
	// assumed to have been held open by the service. After a shorter one, the
	// follower backs off as after a failure.
	minHeldWatch = time.Second
)

// FetchResult is the result of one call to the service by a Follower.
type FetchResult struct {
	Value Value
	// Err is nil if the call returned a value, which may equal the last one;
	// ErrUnchanged if a watch ended without a change; otherwise the failure.
	Err error
	// Started is the time at which the call was started.
	Started time.Time
}

// FollowerOptions configure a Follower.
type FollowerOptions struct {
	// Source is read first and then watched. Required.
	Source Source
	// OnResult is called by the goroutine of Run with the result of each call that
	// Refresh did not end. Required.
	OnResult func(FetchResult)
	// Rand is the source of jitter. Default: the global source.
	Rand *rand.Rand
}

// Follower reads one published value and then watches it for changes.
type Follower struct {
	options FollowerOptions
	refresh chan struct{}
	backoff backoff.Backoff
	tag     string
}

// NewFollower returns a follower. Run is called once.
func NewFollower(o FollowerOptions) *Follower {
	return &Follower{options: o, refresh: make(chan struct{}, 1),
		backoff: backoff.Backoff{Min: minFailurePause, Max: maxFailurePause, Rand: o.Rand}}
}

// Refresh ends a pending watch and reads the value again, for a caller whose copy
// may be outdated. Calls before the next read are merged into one. It does not
// block and is safe for concurrent use.
func (f *Follower) Refresh() {
	select {
	case f.refresh <- struct{}{}:
	default:
	}
}

// Run reads and then watches the value until the context ends.
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

// fetch makes one call and reports whether Refresh ended it. Refresh ends only
// watches, because a read already serves its purpose.
func (f *Follower) fetch(ctx context.Context) (FetchResult, bool) {
	result := FetchResult{Started: time.Now()}
	if f.tag == "" {
		select {
		case <-f.refresh: // served by this read
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

// pause returns the time until the next call and records the tag of a new value.
func (f *Follower) pause(result FetchResult, took time.Duration) time.Duration {
	switch {
	case result.Err == nil && result.Value.Tag != "" && result.Value.Tag != f.tag:
		f.tag = result.Value.Tag
		f.backoff.Reset()
		return backoff.Jitter(f.options.Rand, minCallInterval)
	case errors.Is(result.Err, ErrUnchanged) && took >= minHeldWatch:
		f.backoff.Reset()
		return 0
	default: // a failure, or a response without a new value that came too soon
		return f.backoff.Next()
	}
}
