package gateway

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against requests that are run though their responses find no memory, and against a
// refusal on a route whose responses may be short.
func TestOnlyRoutesWithLongResponsesNeedRoom(t *testing.T) {
	is := is.New(t)
	var s responseSizes
	room := func(n int64) func(int64) bool { return func(bytes int64) bool { return bytes <= n } }
	may := func(route string, n int64) bool {
		expected, ok := s.begin(route, room(n))
		if ok {
			s.end(expected)
		}
		return ok
	}
	is.True(may("long", 0)) // nothing is known
	s.observe("long", 300<<10)
	is.True(!may("long", 200<<10))
	first, ok := s.begin("long", room(500<<10))
	is.True(ok)
	is.True(!may("long", 500<<10)) // two are awaited
	s.end(first)
	is.True(may("long", 500<<10))
	s.observe("mixed", 300<<10)
	s.observe("mixed", 1<<10)
	is.True(may("mixed", 0))
	s.observe("long", 10<<10)
	is.True(may("long", 0))
	is.Equal(s.pending, int64(0))
}
