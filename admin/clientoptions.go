package admin

import (
	"crypto/tls"
	"net/http"
	"time"
)

// Defaults of ClientOptions.
const (
	DefaultTimeout     = 3 * time.Second
	DefaultConcurrency = 16
)

// ClientOptions configure a Client.
type ClientOptions struct {
	// Addresses are the administration addresses (host and port) of the instances.
	// At least one.
	Addresses []string
	// Timeout bounds each call to an instance, including the time to connect.
	// Default 3 s.
	Timeout time.Duration
	// Concurrency bounds the number of instances that are called at the same time.
	// Default 16.
	Concurrency int
	// TLS, if set, is used for HTTPS connections. Default: plain HTTP.
	TLS *tls.Config
	// Now is the client's wall clock. Default time.Now.
	Now func() time.Time
	// OnInstanceDone, if set, is called after each call to an instance has
	// succeeded or failed. It is called concurrently.
	OnInstanceDone func()
}

func (o *ClientOptions) transport() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: 1, TLSClientConfig: o.TLS}
}

func (o *ClientOptions) scheme() string {
	if o.TLS != nil {
		return "https"
	}
	return "http"
}
