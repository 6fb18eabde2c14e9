package cli

import (
	"encoding/json"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/internal/bench"
	"github.com/dogwoodroute/dogwoodroute/internal/replay"
)

// Guards against a bench run that loses requests or violates invariants, and
// against a recorded trace that the replay command cannot read.
func TestBenchRecordsTrace(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "trace.json")
	r := run("bench", "failfast", "--for", "1s", "--json", "--record", file)
	is.Equal(r.code, exitOK)
	var result bench.Result
	is.NoErr(json.Unmarshal([]byte(r.stdout), &result))
	is.Equal(len(result.Replayed), len(replay.Policies))
	short := result.Live[0].Short
	is.True(short.Requests > 0)
	is.Equal(short.Requests, result.Replayed[0].Short.Requests) // the same arrivals
	is.Equal(short.Requests, short.OK+short.Late+short.Errors+short.Refused)
	is.Equal(run("replay", file, "--policy", "decided", "--json").code, exitOK)
}

// Guards against an overhead run without calls on one of the paths, and against
// incorrect responses.
func TestBenchOverhead(t *testing.T) {
	is := is.New(t)
	r := run("bench", "overhead", "--for", "1s", "--json")
	is.Equal(r.code, exitOK)
	var result bench.OverheadResult
	is.NoErr(json.Unmarshal([]byte(r.stdout), &result))
	is.True(result.Direct.Calls > 0 && result.Through.Calls > 0)
	is.Equal(result.Direct.Failed, 0)
	is.Equal(result.Through.Failed, 0)
}

// Guards against invalid arguments that are ignored or start a run.
func TestBenchUsage(t *testing.T) {
	for _, args := range [][]string{{"bench"}, {"bench", "nothing"}, {"bench", "crest", "--for", "1ms"},
		{"bench", "overhead", "--record", "x"}} {
		is := is.New(t)
		r := run(args...)
		is.Equal(r.code, exitUsage)
		is.Equal(r.stdout, "")
	}
}
