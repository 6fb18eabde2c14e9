package load

import (
	"net/http"
	"strconv"
	"time"

	"github.com/dogwoodroute/dogwoodroute/wire"
)

// Headers that tell a stand-in target how long to run a request, in microseconds.
const (
	headerService      = "Load-Service-Us" // first attempt
	headerRetryService = "Load-Again-Us"   // later attempts
)

// ServiceTime returns the time that a stand-in target runs a request of Run.
func ServiceTime(r *http.Request) time.Duration {
	name := headerService
	if r.Header.Get(wire.HeaderAttempt) != "1" {
		name = headerRetryService
	}
	micros, err := strconv.ParseInt(r.Header.Get(name), 10, 64)
	if err != nil {
		return time.Millisecond // not a request of Run
	}
	return time.Duration(micros) * time.Microsecond
}
