package load

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/caller"
	"github.com/dogwoodroute/dogwoodroute/internal/replay"
)

// Guards against schedules that differ between two runs with the same seed, or that
// do not depend on the seed; also against unordered arrivals and duplicate request
// identifiers.
func TestScheduleDependsOnSeedOnly(t *testing.T) {
	is := is.New(t)
	start := time.Unix(0, 0)
	make := func(seed uint64) []Call {
		w := replay.Mixed(seed, 0.6)
		w.Duration = time.Second
		trace := replay.Generate(w)
		return schedule(&Options{Start: start, Streams: []Stream{{"a", trace}, {"b", trace}}})
	}
	first := make(1)
	is.Equal(first, make(1))
	other := make(2)
	is.True(len(first) != len(other) || first[0].Scheduled != other[0].Scheduled)
	ids := map[string]bool{}
	for i := range first {
		is.True(i == 0 || !first[i].Scheduled.Before(first[i-1].Scheduled))
		is.True(!ids[first[i].RequestID])
		ids[first[i].RequestID] = true
	}
}

// Guards against accepting a truncated response or one to another request.
func TestResponseMatches(t *testing.T) {
	for text, want := range map[string]bool{
		"t1 id-1\nbody": true, "t1 id-1\nbod": false, "t1 id-2\nbody": false, "t1 id-1\nbody2": false, "": false,
		"t1 fails\n": false, // a failure message, but with status 200
	} {
		is.New(t).Equal(responseMatches(&caller.Response{Status: http.StatusOK, Body: []byte(text)}, "id-1", []byte("body")), want)
	}
	is.New(t).True(responseMatches(&caller.Response{Status: http.StatusInternalServerError, Body: []byte("t1 fails\n")}, "id-1", nil))
}
