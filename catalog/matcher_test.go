package catalog_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/catalog"
)

// Guards against matching a route with a shorter prefix, or a route of another host.
func TestLongestPrefixOfTheHost(t *testing.T) {
	m := catalog.NewMatcher([]catalog.Route{
		{Name: "root", Host: "a.example", Prefix: "/"},
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/", "root"},
		{"a.example", "/x", "root"}, // the prefix ends with a slash
		{"a.example", "/x/", "short"},
		{"a.example", "/x/yy", "short"},
		{"a.example", "/x/y/z", "long"},
		{"A.Example:8080", "/x/y/z", "long"},
		{"b.example", "/x/y/z", "other"},
		{"b.example", "/z/", ""},
		{"c.example", "/x/", ""},
		{"a.example", "*", ""},
	} {
		name := ""
		if r := m.Match(c.host, c.path); r != nil {
			name = r.Name
		}
		is := is.New(t)
		is.Equal(name, c.want) // route of c.host and c.path
	}
}
