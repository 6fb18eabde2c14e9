package callerconn_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a planned stop that waits for connections without a request until
// the platform kills the process, and against a request that arrives on such a
// connection late in the stop and is cut. net/http waits five seconds for them.
func TestStopClosesUnusedConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := startServer(t, noLimits, noop)
		started := time.Now()
		is.NoErr(<-s.stop())
		is.True(time.Since(started) < time.Second) // on the fake clock
		_, err := s.conn.Read(make([]byte, 1))
		is.Equal(err, io.EOF)
	})
}

// Guards against a planned stop that closes a kept connection on which a request has just
// been read: the request is served and its caller gets no answer.
func TestRequestReadBeforeTheStopIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		served := 0
		s := startServer(t, noLimits, func(http.ResponseWriter, *http.Request) { served++ })
		s.exchange(t)
		s.gate.armed.Store(true)
		s.send(t, request)
		<-s.gate.read
		stopped := s.stop()
		time.Sleep(5 * time.Millisecond)
		close(s.gate.release)
		is.True(s.answered(t))
		is.NoErr(<-stopped)
		is.Equal(served, 2)
	})
}

// Guards against a planned stop that reads a whole request from a connection that was
// accepted before it, and closes the connection without an answer.
func TestFirstRequestDuringTheStopIsAnsweredOrNotRead(t *testing.T) {
	for _, after := range []time.Duration{0, time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, time.Second, 4 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := startServer(t, noLimits, noop)
			stopped := s.stop()
			time.Sleep(after)
			_, err := io.WriteString(s.conn, request)
			is.Equal(s.answered(t), err == nil) // a pipe accepts only bytes that are read
			is.NoErr(<-stopped)
		})
	}
}

// Guards against responses during a planned stop that let their callers use the
// connection again although it is closed.
func TestResponseDuringTheStopAnnouncesTheClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := startServer(t, noLimits, func(http.ResponseWriter, *http.Request) { time.Sleep(50 * time.Millisecond) })
		s.send(t, request)
		synctest.Wait()
		stopped := s.stop()
		response, err := http.ReadResponse(s.in, nil)
		is.NoErr(err)
		is.True(response.Close)
		is.NoErr(<-stopped)
	})
}

// Guards against a planned stop that takes a part of a header for a whole one: the caller
// gets a 400, or the request is served with other content.
func TestPartOfAHeaderAtTheStop(t *testing.T) {
	const post = "POST /a/b HTTP/1.1\r\nHost: h\r\nX-Time: 12:30:45\r\nContent-Length: 4\r\n\r\n"
	const want = `POST /a/b "12:30:45" "abcd"`
	for _, rest := range []time.Duration{0, 500 * time.Microsecond, 1500 * time.Microsecond, 150 * time.Millisecond} {
		for cut := 1; cut < len(post); cut++ {
			synctest.Test(t, func(t *testing.T) {
				var handled string
				s := startServer(t, noLimits, func(_ http.ResponseWriter, r *http.Request) {
					body, _ := io.ReadAll(r.Body) // an incomplete one differs from want
					handled = fmt.Sprintf("%s %s %q %q", r.Method, r.URL.Path, r.Header.Get("X-Time"), body)
				})
				s.exchange(t)
				s.send(t, post[:cut])
				synctest.Wait()
				handled = ""
				stopped := s.stop()
				if rest > 0 {
					time.Sleep(rest)
					go func() { _, _ = io.WriteString(s.conn, post[cut:]+"abcd") }() // fails if the connection is closed
				}
				answer, _ := io.ReadAll(s.in) // until the connection is closed
				is := is.New(t)
				is.NoErr(<-stopped)
				is.Equal(strings.HasPrefix(string(answer), "HTTP/1.1 200"), rest > 0)
				is.Equal(len(answer) > 0, rest > 0)
				is.Equal(handled == want, rest > 0)
				is.Equal(handled != "", rest > 0)
			})
		}
	}
}
