package owner_test

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/internal/contain"
	"github.com/dogwoodroute/dogwoodroute/internal/owner"
)

// Guards against a message that panics and ends the process, stops the task, or leaves its
// caller waiting.
func TestPanicEndsTheMessageOnly(t *testing.T) {
	is := is.New(t)
	l := owner.New(func() time.Duration { return 0 })
	panics := 0
	l.OnPanic(func(string, any, []byte) { panics++ })
	ctx, cancel := context.WithCancel(t.Context())
	defer func() { cancel(); <-l.Done() }()
	go l.Run(ctx, time.Hour, func(time.Duration) {})
	_, err := owner.Call(ctx, l, func(time.Duration) int { panic("bad") })
	is.True(errors.Is(err, contain.ErrPanic))
	l.Post(func(time.Duration) { panic("bad") })
	n, err := owner.Call(ctx, l, func(time.Duration) int { return panics })
	is.NoErr(err)
	is.Equal(n, 2)
}
