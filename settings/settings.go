package settings

import (
	"cmp"
	"fmt"
	"net/netip"
	"net/url"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/internal/jsonc"
	"github.com/dogwoodroute/dogwoodroute/secure"
)

// Settings configure one instance. They contain what the tables of routes and pools
// do not: the addresses of the instance and the URLs of the platform's services.
type Settings struct {
	// ID identifies the instance in the status, the time line and the list of
	// instances. Required; unique in the fleet.
	ID string `json:"id"`
	// FailureDomain is the failure domain that the instance runs in. Required.
	FailureDomain string `json:"failure_domain"`
	// CallerAddress is the IP address and port on which callers are served. Required.
	CallerAddress string `json:"caller_address"`
	// PeerAddress is the IP address and port on which other instances are served.
	// Required.
	PeerAddress string `json:"peer_address"`
	// AdminAddress is the IP address and port of the administration API and the
	// metrics. Required.
	AdminAddress string `json:"admin_address"`
	// ConfigurationURL is the HTTP URL of the document with the tables of routes and
	// pools. Required.
	ConfigurationURL string `json:"configuration_url"`
	// InstancesURL is the HTTP URL of the list of instances. Required.
	InstancesURL string `json:"instances_url"`
	// Limits limit the resources that callers may use.
	Limits Limits `json:"limits"`
	// ResolveValidityMillis is how long callers may use a resolve response, in
	// milliseconds. Default 5000, from 100 to 60000. A planned stop takes at least
	// this long.
	ResolveValidityMillis int64 `json:"resolve_validity_ms"`
	// ShutdownLimitMillis limits the duration of a planned stop, in milliseconds.
	// Requests that are still in flight are then aborted and counted. Default 60000,
	// from 1000 to 3600000.
	ShutdownLimitMillis int64 `json:"shutdown_limit_ms"`
	// Security configures mTLS for connections between instances and for the
	// administration API. Default: no TLS. All instances of a fleet must use the
	// same setting.
	Security secure.Files `json:"security"`
	// LogLevel is "debug", "info" (default), "warn" or "error".
	LogLevel string `json:"log_level"`
}

// Limits limit the resources that callers and their requests may use.
type Limits struct {
	// HeaderBytes limits the size of a request's header. Default 32768, from 1024 to
	// 1048576.
	HeaderBytes int `json:"header_bytes"`
	// RequestBodyBytes limits the size of a request's body, which is kept in memory
	// until the response. Default 1048576, from 1024 to 67108864.
	RequestBodyBytes int64 `json:"request_body_bytes"`
	// HeaderTimeoutMillis limits the time to receive a request's header, in
	// milliseconds. Default 5000, from 10 to 600000.
	HeaderTimeoutMillis int64 `json:"header_timeout_ms"`
	// BodyTimeoutMillis limits the time to receive a request's body, in
	// milliseconds. Default 10000, from 10 to 600000.
	BodyTimeoutMillis int64 `json:"body_timeout_ms"`
	// IdleTimeoutMillis limits how long a caller's connection stays open without a
	// request, in milliseconds. Default 60000, from 100 to 3600000.
	IdleTimeoutMillis int64 `json:"idle_timeout_ms"`
	// Requests limits the number of concurrent requests. Default 4096, from 1 to
	// 1000000.
	Requests int `json:"requests"`
}

// Parse decodes and validates settings and sets defaults. The file name is only
// used in errors, which contain file name, line, column and field.
func Parse(file string, source []byte) (*Settings, error) {
	s := new(Settings)
	locator, err := jsonc.Decode(source, s)
	if err != nil {
		return nil, errors.Wrap(err, file)
	}
	s.setDefaults()
	c := checker{locator: locator}
	c.settings(s)
	if len(c.errs) > 0 {
		return nil, errors.Wrap(errors.Join(c.errs...), file)
	}
	return s, nil
}

// ResolveValidity returns ResolveValidityMillis as a duration.
func (s *Settings) ResolveValidity() time.Duration { return millis(s.ResolveValidityMillis) }

// ShutdownLimit returns ShutdownLimitMillis as a duration.
func (s *Settings) ShutdownLimit() time.Duration { return millis(s.ShutdownLimitMillis) }

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func (s *Settings) setDefaults() {
	s.ResolveValidityMillis = cmp.Or(s.ResolveValidityMillis, 5000)
	s.ShutdownLimitMillis = cmp.Or(s.ShutdownLimitMillis, 60000)
	s.LogLevel = cmp.Or(s.LogLevel, "info")
	s.Limits.SetDefaults()
}

// SetDefaults sets all zero fields to their documented defaults.
func (l *Limits) SetDefaults() {
	l.HeaderBytes = cmp.Or(l.HeaderBytes, 32768)
	l.RequestBodyBytes = cmp.Or(l.RequestBodyBytes, 1<<20)
	l.HeaderTimeoutMillis = cmp.Or(l.HeaderTimeoutMillis, 5000)
	l.BodyTimeoutMillis = cmp.Or(l.BodyTimeoutMillis, 10000)
	l.IdleTimeoutMillis = cmp.Or(l.IdleTimeoutMillis, 60000)
	l.Requests = cmp.Or(l.Requests, 4096)
}

// checker collects the errors of one settings file.
type checker struct {
	locator *jsonc.Locator
	errs    []error
}

func (c *checker) failf(field, format string, args ...any) {
	c.errs = append(c.errs, c.locator.Errorf(field, format, args...))
}

func (c *checker) settings(s *Settings) {
	c.text("id", s.ID)
	c.text("failure_domain", s.FailureDomain)
	c.address("caller_address", s.CallerAddress)
	c.address("peer_address", s.PeerAddress)
	c.address("admin_address", s.AdminAddress)
	c.url("configuration_url", s.ConfigurationURL)
	c.url("instances_url", s.InstancesURL)
	c.between("resolve_validity_ms", s.ResolveValidityMillis, 100, 60000)
	c.between("shutdown_limit_ms", s.ShutdownLimitMillis, 1000, 3600000)
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		c.failf("log_level", "log level %q must be debug, info, warn or error", s.LogLevel)
	}
	if err := s.Security.Validate(); err != nil {
		c.failf("security", "%v", err)
	}
	c.between("limits.header_bytes", int64(s.Limits.HeaderBytes), 1024, 1<<20)
	c.between("limits.request_body_bytes", s.Limits.RequestBodyBytes, 1024, 64<<20)
	c.between("limits.header_timeout_ms", s.Limits.HeaderTimeoutMillis, 10, 600000)
	c.between("limits.body_timeout_ms", s.Limits.BodyTimeoutMillis, 10, 600000)
	c.between("limits.idle_timeout_ms", s.Limits.IdleTimeoutMillis, 100, 3600000)
	c.between("limits.requests", int64(s.Limits.Requests), 1, 1000000)
}

func (c *checker) text(field, value string) {
	if value == "" {
		c.failf(field, "a value is required")
	}
}

func (c *checker) address(field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.failf(field, "address %q is not an IP address with a port", value)
	}
}

func (c *checker) url(field, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.failf(field, "%q is not an HTTP URL", value)
	}
}

func (c *checker) between(field string, value, low, high int64) {
	if value < low || value > high {
		c.failf(field, "%s is outside %d to %d", fmt.Sprint(value), low, high)
	}
}
