package wire_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/wire"
)

// Guards against parsing a deadline as a longer time than was set, and against
// accepting malformed attempt numbers and request identifiers.
func TestHeadersRoundTrip(t *testing.T) {
	is := is.New(t)
	h := http.Header{}
	wire.SetDeadline(h, 1999*time.Microsecond)
	left, ok, err := wire.ParseDeadline(h)
	is.NoErr(err)
	is.True(ok)
	is.Equal(left, time.Millisecond) // rounded down, so that it never exceeds the remaining time

	h.Set(wire.HeaderAttempt, "0")
	_, err = wire.ParseAttempt(h)
	is.True(err != nil)
	h.Set(wire.HeaderRequestID, "a b")
	_, err = wire.ParseRequestID(h)
	is.True(err != nil)
}

// Guards against panics and misread numbers in load reports of targets.
func FuzzParseLoad(f *testing.F) {
	f.Add("inflight=3;slots=4;queued=1;long=1")
	f.Add("inflight=-1")
	f.Add("slots=4;;=;inflight=99999999999999999999")
	f.Fuzz(func(t *testing.T, text string) {
		load, err := wire.ParseLoad(text)
		if err != nil {
			return
		}
		again, err := wire.ParseLoad(load.String())
		if err != nil || again != load {
			t.Fatalf("%+v was parsed from its own encoding as %+v: %v", load, again, err)
		}
	})
}
