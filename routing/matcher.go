package routing

import (
	"cmp"
	"slices"
	"strings"

	"github.com/dogwoodroute/dogwoodroute/tables"
)

// Matcher is an immutable index of routes. Routes are tried from the longest path
// prefix to the shortest. Among equal prefixes, routes with a host come first, then
// routes with methods, then the others, each in document order.
type Matcher struct {
	// byPrefix maps path prefixes without a trailing slash to their routes.
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

// specificity returns a higher number for a match with more conditions. A host
// counts more than methods.
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

// Match returns the route of a request, or nil if none matches. The host may
// include a port. Match does not allocate.
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

// stripPort returns the host without its port. The host may be an IPv6 address,
// with or without brackets.
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
