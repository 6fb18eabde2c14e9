package gateway_test

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// Guards against long requests that together exceed the memory of a target. The load is three
// bodies of 400 KiB at a time for one target with four slots.
func TestLongBodiesToOneTargetAreBounded(t *testing.T) {
	is := is.New(t)
	begun, release := make(chan struct{}, 8), make(chan struct{})
	hold := func(s *target, c net.Conn, r *http.Request, body []byte) bool {
		if len(body) > 1000 {
			begun <- struct{}{}
			<-release
		}
		return run(s, c, r, body)
	}
	f := start(t, startTarget(t, "a", hold))
	end := sync.OnceFunc(func() { close(release) })
	t.Cleanup(end)
	f.gateway.SetMemoryBytes(64 << 20)
	long := strings.Repeat("b", 400<<10)
	statuses := make(chan int, 2)
	for range 2 {
		go func() { statuses <- f.send(t, "POST", "/unsafe/x", long).status }()
		await(t, begun)
	}
	is.Equal(f.send(t, "POST", "/brief/x", long).status, 503)
	is.Equal(f.send(t, "POST", "/unsafe/x", "short").status, 200)
	end()
	for range 2 {
		is.Equal(await(t, statuses), 200)
	}
	is.Equal(f.send(t, "POST", "/unsafe/x", long).status, 200)                       // all room is given back
	is.Equal(f.send(t, "POST", "/unsafe/x", strings.Repeat("b", 3<<20)).status, 200) // a single longer one is sent
	is.Equal(f.total(), int64(5))
}
