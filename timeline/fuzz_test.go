package timeline_test

import (
	"net/url"
	"testing"

	"github.com/dogwoodroute/dogwoodroute/timeline"
)

// Guards against panics on malformed queries, and against a filter that changes
// when it is encoded and decoded again.
func FuzzParseQuery(f *testing.F) {
	f.Add("request=r&from=2026-01-01T00:00:00Z&to=2026-01-01T00:00:01.5%2B03:00&state_only=true")
	f.Add("from=noon")
	f.Add("from=0000-01-01T00:00:00%2B23:59&to=9999-12-31T23:59:59-23:59")
	f.Fuzz(func(t *testing.T, query string) {
		values, err := url.ParseQuery(query)
		if err != nil {
			return
		}
		first, err := timeline.ParseQuery(values)
		if err != nil {
			return
		}
		second, err := timeline.ParseQuery(first.Query())
		if err != nil {
			t.Fatalf("%v: encoded filter cannot be decoded: %v", first, err)
		}
		if second.Request != first.Request || second.StateOnly != first.StateOnly ||
			!second.From.Equal(first.From) || !second.To.Equal(first.To) {
			t.Fatalf("filter %v was decoded as %v", first, second)
		}
	})
}
