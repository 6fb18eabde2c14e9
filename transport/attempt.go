package transport

import (
	"net/http"
	"time"
)

// Attempt is one request to one target. It is read only while Do runs.
type Attempt struct {
	Target  string // name, for errors
	Address string // IP address and port
	Method  string
	// URI is the path with the query, as received from the caller.
	URI string
	// Host is the Host header. Empty: Address.
	Host string
	// Header is sent without the headers that concern one connection.
	Header http.Header
	Body   []byte
	// Expires is the latest time, on the clock of Options.Now, at which the
	// first byte may be written. Zero: no limit.
	Expires time.Duration
	// NewConnection asks for a connection without an earlier exchange, so that a failure
	// cannot come from one that the target had closed before.
	NewConnection bool
	// EchoHeader names a header that the target copies from the request. An
	// answer that bears another value belongs to an earlier request and is
	// skipped. Empty: no check.
	EchoHeader string
}
