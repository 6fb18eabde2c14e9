package catalog_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/catalog"
)

// Guards against homes of one route of a host that are ignored because of another route.
func TestHomesOfAHost(t *testing.T) {
	is := is.New(t)
	m := catalog.NewMatcher([]catalog.Route{
		{Host: "a", Prefix: "/"}, {Host: "a", Prefix: "/1/", Regions: []string{"x", "y"}}, {Host: "a", Prefix: "/2/", Regions: []string{"y", "z"}},
		{Host: "b", Prefix: "/"},
		{Host: "c", Prefix: "/1/", Regions: []string{"x"}}, {Host: "c", Prefix: "/2/", Regions: []string{"y"}},
	})
	regions, limited := m.Homes("A:80")
	is.True(limited)
	is.Equal(regions, []string{"y"})
	_, limited = m.Homes("b")
	is.True(!limited)
	regions, limited = m.Homes("c")
	is.True(limited)
	is.Equal(len(regions), 0)
}
