package transport

import (
	"net/http"
	"time"
)

// Attempt is one request to one target. It must not be modified while Do runs, and
// Do does not retain it.
type Attempt struct {
	Target  string // name, for errors
	Address string // IP address and port
	Method  string
	// URI is the request target of the request line: the path with the query, as
	// received from the caller.
	URI string
	// Host is the value of the Host header. Empty: Address.
	Host string
	// Header is sent without hop-by-hop headers, Host, Content-Length and Expect.
	Header http.Header
	// Body is the body in segments, which are sent one after the other.
	Body [][]byte
	// Expires is the latest time, on the clock of Options.Now, at which writing the
	// request may begin. Zero: no limit.
	Expires time.Duration
	// NewConnection requires a connection that has not served another exchange, so
	// that a failure cannot be caused by a connection that the target had already
	// closed.
	NewConnection bool
	// EchoHeader names a header that the target copies from the request to the
	// response. A response with a different value belongs to an earlier request and
	// is skipped. Empty: no check.
	EchoHeader string
	// EchoMayDiffer accepts a different value on a connection that has served no other
	// exchange: there is no earlier request that the response could belong to, and
	// targets may use the header for something else.
	EchoMayDiffer bool
}

// isLate reports whether a response belongs to an earlier request. reused is true if
// its connection has served an exchange before this one.
func (a *Attempt) isLate(response *http.Response, reused bool) bool {
	if a.EchoHeader == "" || a.EchoMayDiffer && !reused {
		return false
	}
	echo := response.Header.Get(a.EchoHeader)
	return echo != "" && echo != a.Header.Get(a.EchoHeader)
}

// isUnnamedRefusal reports whether a response may say that the request was not run, and
// does not name the request. If the target wrote it once more on the same connection, it
// could not be told from the response to the next request.
func (a *Attempt) isUnnamedRefusal(response *http.Response) bool {
	if a.EchoHeader != "" && response.Header.Get(a.EchoHeader) != "" {
		return false
	}
	switch response.StatusCode {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
