package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// repeater refuses every second request on a connection. Before it runs the others it
// writes the refusal once more.
type repeater struct {
	withID  bool // refusals name the request
	mu      sync.Mutex
	refusal map[net.Conn]string // the last one on the connection
	runs    map[string]int      // by request
}

func (p *repeater) serve(s *target, conn net.Conn, r *http.Request, _ []byte) bool {
	id := r.Header.Get("Id")
	p.mu.Lock()
	previous := p.refusal[conn]
	delete(p.refusal, conn)
	if previous == "" {
		refusal := "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n"
		if p.withID {
			refusal += "Id: " + id + "\r\n"
		}
		p.refusal[conn] = refusal + "\r\n"
		_, _ = fmt.Fprint(conn, p.refusal[conn])
		p.mu.Unlock()
		return true
	}
	p.runs[id]++
	p.mu.Unlock()
	_, _ = fmt.Fprint(conn, previous)
	s.respond(conn, 200, r, "Signature: "+s.id, "from "+s.id)
	return true
}

// Guards against the second copy of an earlier refusal that is taken for the response to
// a request which the target runs: its caller would be told that it has not run, or
// another target would run it as well.
func TestRepeatedRefusalIsNotTheNextResponse(t *testing.T) {
	for _, withID := range []bool{true, false} {
		t.Run(fmt.Sprint("with the request's ID: ", withID), func(t *testing.T) {
			is := is.New(t)
			p := &repeater{withID: withID, refusal: make(map[net.Conn]string), runs: make(map[string]int)}
			f := start(t, startTarget(t, "a", p.serve), startTarget(t, "b", p.serve))
			for n := range 200 {
				id := strconv.Itoa(n)
				status := f.send(t, "POST", "/unsafe/x", "", "Id", id).status
				p.mu.Lock()
				is.True(p.runs[id] <= 1)                  // runs once at most
				is.True(status != 503 || p.runs[id] == 0) // "not run" is true
				p.mu.Unlock()
			}
			is.True(!withID || len(p.runs) > 0)
		})
	}
}
