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
	room := func(n int64) func(int64, int64) bool {
		return func(pending, expected int64) bool { return pending+expected <= n }
	}
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

// Guards against a route that is refused for good, since the limit was lowered after its sizes
// were learned, and against a second response beside one that takes all room.
func TestOneResponseIsAlwaysAdmitted(t *testing.T) {
	is := is.New(t)
	l := newMemoryLimit(1<<20, nil) // 230 KB for long responses
	var s responseSizes
	s.observe("long", 800<<10)
	first, ok := s.begin("long", l.responseFits)
	is.True(ok)
	_, ok = s.begin("long", l.responseFits)
	is.True(!ok)
	s.end(first)
	held := &memoryHold{limit: l}
	is.True(held.newResponseBody("t").reserve(200 << 10))
	_, ok = s.begin("long", l.responseFits)
	is.True(!ok)
	held.release()
	_, ok = s.begin("long", l.responseFits)
	is.True(ok)
}
