package load

import (
	"net/http"
	"strconv"
	"time"

	"github.com/dogwoodroute/dogwoodroute/wire"
)

// Headers with the service time of a request at a fake target, in microseconds.
const (
	headerService      = "Load-Service-Us" // of the first attempt
	headerRetryService = "Load-Again-Us"   // of later attempts
)

// ServiceTime returns the time for which a fake target runs the request: the one
// that Run has set in its headers, or 1 ms for requests not sent by Run.
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
