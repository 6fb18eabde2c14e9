package relay

import (
	"net/http"
	"time"

	"github.com/dogwoodroute/dogwoodroute/peerapi"
)

// Request is a request of a caller without its body.
type Request struct {
	Method string
	// URI is the request target of the request line, Host the value of the Host header.
	URI, Host string
	Header    http.Header
	BodyBytes int64
	// Caller is the address and port of the caller.
	Caller string
	// Elapsed is the time since the request arrived at the instance to which the caller is
	// connected, Remaining the time until its deadline.
	Elapsed, Remaining time.Duration
	// Service is the service that was chosen for the request.
	Service string
	// MaxRuns is the number of targets that may run the request.
	MaxRuns int
	// Counted is true if the sender has counted the request as demand for its service.
	Counted bool
	// ConfigVersion is the version of the configuration by which the sender handled it.
	ConfigVersion int64
}

func (r *Request) message() *peerapi.RelayRequestHead {
	return &peerapi.RelayRequestHead{Method: r.Method, Uri: r.URI, Host: r.Host, Headers: headerMessages(r.Header), BodyBytes: uint64(r.BodyBytes),
		Caller: r.Caller, ElapsedUs: microseconds(r.Elapsed), RemainingUs: microseconds(r.Remaining), Service: r.Service,
		MaxRuns: uint32(r.MaxRuns), Counted: r.Counted, ConfigVersion: r.ConfigVersion}
}

func requestFromMessage(m *peerapi.RelayRequestHead) *Request {
	return &Request{Method: m.GetMethod(), URI: m.GetUri(), Host: m.GetHost(), Header: headerFromMessages(m.GetHeaders()), BodyBytes: int64(m.GetBodyBytes()),
		Caller: m.GetCaller(), Elapsed: duration(m.GetElapsedUs()), Remaining: duration(m.GetRemainingUs()), Service: m.GetService(),
		MaxRuns: int(m.GetMaxRuns()), Counted: m.GetCounted(), ConfigVersion: m.GetConfigVersion()}
}

func headerMessages(h http.Header) []*peerapi.Header {
	list := make([]*peerapi.Header, 0, len(h))
	for name, values := range h {
		for _, value := range values {
			list = append(list, &peerapi.Header{Name: name, Value: value})
		}
	}
	return list
}

func headerFromMessages(list []*peerapi.Header) http.Header {
	h := make(http.Header, len(list))
	for _, m := range list {
		h[m.GetName()] = append(h[m.GetName()], m.GetValue())
	}
	return h
}

func microseconds(d time.Duration) uint64 { return uint64(max(0, d.Microseconds())) }
func duration(us uint64) time.Duration    { return time.Duration(us) * time.Microsecond }
