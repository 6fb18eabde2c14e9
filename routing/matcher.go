package routing

import (
	"cmp"
	"slices"
	"strings"

	"github.com/dogwoodroute/dogwoodroute/tables"
)

// Matcher is an immutable index of routes. Routes are tried from the longest
// path prefix to the shortest; among equal prefixes a route with host or
// methods comes first, then document order.
type Matcher struct {
	// byPrefix maps a path prefix without trailing slash to its routes.
	byPrefix map[string][]*tables.Route
}

// NewMatcher returns a matcher of the document's routes. The document must not
// change afterwards.
func NewMatcher(d *tables.Document) *Matcher {
	m := &Matcher{byPrefix: make(map[string][]*tables.Route, len(d.Routes))}
	for i := range d.Routes {
		prefix := strings.TrimSuffix(d.Routes[i].Match.PathPrefix, "/")
		m.byPrefix[prefix] = append(m.byPrefix[prefix], &d.Routes[i])
	}
	for _, routes := range m.byPrefix {
		slices.SortStableFunc(routes, func(a, b *tables.Route) int {
			return cmp.Compare(specificity(b.Match), specificity(a.Match))
		})
	}
	return m
}

// specificity ranks matches with more conditions higher.
func specificity(m tables.Match) int {
	n := 0
	if m.Host != "" {
		n += 2
	}
	if len(m.Methods) > 0 {
		n++
	}
	return n
}

// Match returns the route of a request, or nil. The host may carry a port. It
// does not allocate.
func (m *Matcher) Match(method, host, path string) *tables.Route {
	host = stripPort(host)
	for prefix := strings.TrimSuffix(path, "/"); ; {
		for _, route := range m.byPrefix[prefix] {
			if matches(&route.Match, method, host) {
				return route
			}
		}
		cut := strings.LastIndexByte(prefix, '/')
		if cut < 0 {
			return nil
		}
		prefix = prefix[:cut]
	}
}

func matches(m *tables.Match, method, host string) bool {
	if m.Host != "" && !strings.EqualFold(m.Host, host) {
		return false
	}
	return len(m.Methods) == 0 || slices.Contains(m.Methods, method)
}

// stripPort removes a port, keeping the colons of a bare IPv6 address.
func stripPort(host string) string {
	colon := strings.LastIndexByte(host, ':')
	if colon < 0 || strings.IndexByte(host, ']') > colon {
		return host
	}
	if strings.IndexByte(host, ':') != colon && host[0] != '[' {
		return host
	}
	return host[:colon]
}
