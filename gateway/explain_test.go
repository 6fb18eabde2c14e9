package gateway_test

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against an explanation that sends something to a target, and against a request
// without a route that is explained.
func TestExplainSendsNothing(t *testing.T) {
	is := is.New(t)
	f := start(t, startTarget(t, "a", run), startTarget(t, "b", run))
	x, err := f.gateway.Explain(t.Context(), "127.0.0.1", "/safe/1", 0)
	is.NoErr(err)
	is.Equal(x.ConfigVersion, int64(1))
	is.Equal(len(x.Services), 1)
	is.Equal(x.Services[0].Targets, 2)
	is.Equal(x.Services[0].Refusal, "")
	is.True(x.Services[0].Candidates[0].Chosen)
	_, err = f.gateway.Explain(t.Context(), "unknown.example", "/", 0)
	is.True(err != nil)
	is.Equal(f.total(), int64(0))
	for _, target := range f.targets {
		target.mu.Lock()
		is.Equal(len(target.conns), 0) // no probe either
		target.mu.Unlock()
	}
}
