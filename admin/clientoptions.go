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
	// Addresses are the administration addresses, host and port. At least one.
	Addresses []string
	// Timeout bounds one call to one instance, connecting included. Default 3 s.
	Timeout time.Duration
	// Concurrency bounds the instances asked at the same time. Default 16.
	Concurrency int
	// TLS, if set, is used to connect. Default: plain HTTP.
	TLS *tls.Config
	// Now is the reader's wall clock. Default time.Now.
	Now func() time.Time
	// OnInstanceDone is called by many goroutines after each instance answered or
	// failed, when set.
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
