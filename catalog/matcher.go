package catalog

import (
	"net"
	"strings"
)

// Matcher finds the route of a request: among the routes of the host, the one
// with the longest prefix. It is immutable.
type Matcher struct {
	byHostAndPrefix map[routeKey]*Route
	homes           homes
}

type routeKey struct{ host, prefix string }

// NewMatcher returns a matcher for the routes, which must not change afterwards. Of
// routes with the same host and prefix, the first one is used.
func NewMatcher(routes []Route) *Matcher {
	m := &Matcher{byHostAndPrefix: make(map[routeKey]*Route, len(routes)), homes: make(homes)}
	for i := range routes {
		key := routeKey{host: routes[i].Host, prefix: routes[i].Prefix}
		if _, known := m.byHostAndPrefix[key]; !known {
			m.byHostAndPrefix[key] = &routes[i]
			m.homes.add(&routes[i])
		}
	}
	return m
}

// Match returns the route of a request, or nil if none matches. The host may
// include a port; path is the path without the query.
func (m *Matcher) Match(host, path string) *Route {
	host = CanonicalHost(host)
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route := m.byHostAndPrefix[routeKey{host: host, prefix: path[:end+1]}]; route != nil {
			return route
		}
	}
	return nil
}

// CanonicalHost returns the host in lower case without its port.
func CanonicalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
