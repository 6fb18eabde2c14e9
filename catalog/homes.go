package catalog

import "slices"

// homes are the regions in which the requests of a host may be handled: those that all of
// its routes with regions have in common.
type homes map[string][]string

// add adds a route.
func (h homes) add(r *Route) {
	if len(r.Regions) == 0 {
		return
	}
	common, known := h[r.Host]
	if !known {
		h[r.Host] = slices.Clone(r.Regions)
		return
	}
	h[r.Host] = slices.DeleteFunc(common, func(region string) bool { return !slices.Contains(r.Regions, region) })
}

// Homes returns the regions that all routes of a host with regions have in common. limited is
// false if it has no such route.
func (m *Matcher) Homes(host string) (regions []string, limited bool) {
	regions, limited = m.homes[CanonicalHost(host)]
	return regions, limited
}
