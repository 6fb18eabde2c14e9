package routing_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/routing"
	"github.com/dogwoodroute/dogwoodroute/tables"
)

func matcher(matches map[string]tables.Match) *routing.Matcher {
	d := new(tables.Document)
	for name, match := range matches {
		d.Routes = append(d.Routes, tables.Route{Name: name, Match: match})
	}
	return routing.NewMatcher(d)
}

// Guards against sending a request to the pool of another route.
func TestMatch(t *testing.T) {
	m := matcher(map[string]tables.Match{
		"root":   {PathPrefix: "/"},
		"api":    {PathPrefix: "/api/"},
		"record": {PathPrefix: "/api/records", Methods: []string{"POST"}},
		"host":   {PathPrefix: "/api", Host: "north.example"},
	})
	for _, c := range []struct{ method, host, path, want string }{
		{"GET", "", "/", "root"},
		{"GET", "", "/apix", "root"}, // prefixes match whole path segments only
		{"GET", "", "/api", "api"},
		{"GET", "", "/api/x/y/", "api"},
		{"GET", "NORTH.example:80", "/api/x", "host"},
		{"GET", "[::1]:80", "/api/x", "api"},
		{"POST", "", "/api/records/5", "record"},
		{"GET", "", "/api/records/5", "api"}, // falls back to the shorter prefix
	} {
		t.Run(c.method+c.host+c.path, func(t *testing.T) {
			is := is.New(t)
			route := m.Match(c.method, c.host, c.path)
			is.True(route != nil)
			is.Equal(route.Name, c.want)
		})
	}
	is := is.New(t)
	is.True(matcher(nil).Match("GET", "", "/x") == nil) // no route
}
