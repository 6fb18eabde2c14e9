package replay_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/internal/replay"
)

func generate(w replay.Workload, d time.Duration) *replay.Trace {
	w.Duration = d
	return replay.Generate(w)
}

// Guards against decisions that depend on anything but the trace, such as the
// order of a map or the clock.
func TestReplayIsDeterministic(t *testing.T) {
	is := is.New(t)
	trace := generate(replay.Mixed(3, 0.7), 2*time.Second)
	first, err := replay.Run(trace, replay.Decided)
	is.NoErr(err)
	for range 3 {
		repeated, err := replay.Run(trace, replay.Decided)
		is.NoErr(err)
		is.Equal(repeated, first)
	}
}

// Guards against a trace file that loses or changes recorded data.
func TestTraceRoundTrip(t *testing.T) {
	is := is.New(t)
	trace := generate(replay.FailFast(1), 200*time.Millisecond)
	var text bytes.Buffer
	is.NoErr(trace.Write(&text))
	decoded, err := replay.Read(bytes.NewReader(text.Bytes()))
	is.NoErr(err)
	is.Equal(decoded, trace)
}

// Guards against an ideal policy that is not a lower bound. At low load nothing
// waits, so its mean is the mean service time plus the network delay, and no
// policy can be faster. Hedging is off: a hedged attempt runs a straggler again
// with a new service time, which the ideal policy never does.
func TestIdealBoundsEveryPolicy(t *testing.T) {
	is := is.New(t)
	trace := generate(replay.Calorvigia(2, 0.3), 3*time.Second)
	for i := range trace.Arrivals {
		trace.Arrivals[i].Hedge = false
	}
	results, err := replay.Compare(trace, replay.Policies, nil)
	is.NoErr(err)
	ideal := results[len(results)-1]
	for _, r := range results {
		is.Equal(r.Short.Requests, len(trace.Arrivals))
		is.True(r.Short.Mean >= ideal.Short.Mean)
	}
}

// Guards against panics on damaged trace files.
func FuzzRead(f *testing.F) {
	var text bytes.Buffer
	if err := generate(replay.Slowdown(1), 10*time.Millisecond).Write(&text); err != nil {
		f.Fatal(err)
	}
	f.Add(text.String())
	f.Add(strings.Replace(text.String(), `"i":`, `"i":-`, 1))
	f.Fuzz(func(t *testing.T, text string) {
		trace, err := replay.Read(strings.NewReader(text))
		if err == nil && len(trace.Domains) == 0 {
			t.Fatal("accepted a trace without instances")
		}
	})
}
