package transport_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/transport"
)

// Guards against an answer with a status that is none, which a caller gets as an answer or waits
// for until its deadline, and against another answer that is taken for it.
func TestStatusThatIsNoneFailsTheAttempt(t *testing.T) {
	for _, status := range []string{"000", "007", "099", "+20", "-20"} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			address := serveRaw(t, func(_ int, conn net.Conn, in *bufio.Reader) {
				if _, err := http.ReadRequest(in); err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" X\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				_, _ = io.Copy(io.Discard, in) // until the client closes the connection
			})
			client := newClient(t, transport.Options{})
			response, err := client.Do(testContext(t), &transport.Attempt{Target: "t", Address: address, Method: http.MethodGet, URI: "/"})
			if err == nil {
				t.Errorf("status %d", response.StatusCode)
				is.NoErr(response.Body.Close())
			}
		})
	}
}
