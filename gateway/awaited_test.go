package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/catalog"
)

// Guards against a response that counts twice while it is read, as awaited and as held. Routes
// with only long responses then got 503 at about half of the room. The load is two responses of
// 256 KiB with room for both.
func TestResponseThatIsReadCountsOnce(t *testing.T) {
	is := is.New(t)
	release, held := make(chan struct{}), make(chan struct{})
	end := sync.OnceFunc(func() { close(release) })
	answer := func(s *target, c net.Conn, r *http.Request, body []byte) bool {
		s.ran.Add(1)
		if r.Header.Get("Id") != "held" {
			s.respond(c, 200, r, "Signature: "+s.id, strings.Repeat("x", longResponse))
			return true
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: held\r\nSignature: a\r\nContent-Length: %d\r\n\r\n%s", longResponse, strings.Repeat("x", longResponse-1))
		close(held)
		<-release
		_, _ = c.Write([]byte("x"))
		return true
	}
	f := start(t, startTarget(t, "a", answer))
	t.Cleanup(end)
	is.Equal(f.send(t, "POST", "/unsafe/x", "").status, 200) // the size is learned
	status := make(chan int, 1)
	go func() { status <- f.send(t, "POST", "/unsafe/x", "", "Id", "held").status }()
	await(t, held)
	awaitTrue(t, func() bool { return f.gateway.MemoryInUse() >= longResponse }) // it is read
	f.targets = []*target{startTarget(t, "b", answer)}                           // one target may not send both
	f.configure(catalog.Limits{})
	is.Equal(f.send(t, "POST", "/unsafe/x", "").status, 200)
	end()
	is.Equal(await(t, status), 200)
}
