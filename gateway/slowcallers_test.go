package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/internal/callerconn"
)

const longResponse = 256 << 10 // bytes

// runLong answers requests for /safe/long with a long response, others with a short one.
func runLong(s *target, c net.Conn, r *http.Request, body []byte) bool {
	if r.URL.Path != "/safe/long" {
		return run(s, c, r, body)
	}
	s.ran.Add(1)
	s.respond(c, 200, r, "Signature: "+s.id, strings.Repeat("x", longResponse))
	return true
}

// startSlowCaller requests a long response from a loopback address of its own. It waits for the
// head and reads no more.
func startSlowCaller(t *testing.T, n int, address string) *bufio.Reader {
	t.Helper()
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 1, byte(1+n))},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
		}}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := fmt.Fprintf(conn, "GET /safe/long HTTP/1.1\r\nHost: 127.0.0.1\r\nId: slow%d\r\nDeadline-Ms: 60000\r\n\r\n", n); err != nil {
		t.Fatal(err)
	}
	if err := conn.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReaderSize(conn, 512)
	if _, err := in.Peek(1); err != nil {
		t.Fatal(err)
	}
	return in
}

// Guards against slow callers that hold the memory of others, against memory beyond the limit,
// and against a cut response that looks complete. Half of the callers do not read; the others
// must get all of their short responses, and long ones as soon as a slow caller has lost its
// response.
func TestSlowCallersLeaveRoomForOthers(t *testing.T) {
	is := is.New(t)
	const callers, limit = 24, 4 << 20 // the limit of the fixture
	f := start(t, startTarget(t, "a", runLong), startTarget(t, "b", runLong), startTarget(t, "c", runLong), startTarget(t, "d", runLong))
	conns := callerconn.NewConns(func() callerconn.Limits { return callerconn.Limits{} }, nil)
	conns.SetSendBuffer(16 << 10)
	server := httptest.NewUnstartedServer(f.gateway)
	server.Listener = conns.Listener(server.Listener)
	server.Config.ConnState = conns.StateChanged
	server.Start()
	t.Cleanup(server.Close)
	f.server.URL = server.URL

	var slow []*bufio.Reader
	for n := range callers {
		slow = append(slow, startSlowCaller(t, n, strings.TrimPrefix(server.URL, "http://")))
	}
	f.clockAhead.Store(int64(time.Minute)) // now they are slow
	short, long := 0, 0
	for deadline := time.Now().Add(testTimeout); long < callers && time.Now().Before(deadline); {
		is.True(f.gateway.MemoryInUse() <= limit)
		if got := f.send(t, "POST", "/unsafe/short", ""); got.status == 200 {
			short++
		} else {
			t.Fatalf("short response %d: status %d", short, got.status)
		}
		if got := f.send(t, "GET", "/safe/long", ""); got.status == 200 {
			is.Equal(len(got.body), longResponse)
			long++
		}
	}
	is.Equal(long, callers)

	complete, cut, refused := 0, 0, 0
	for _, in := range slow {
		response, err := http.ReadResponse(in, nil)
		if err != nil {
			cut++
			continue
		}
		body, err := io.ReadAll(response.Body)
		switch {
		case response.StatusCode != 200:
			refused++
		case err != nil:
			cut++
		default:
			is.Equal(len(body), longResponse)
			complete++
		}
	}
	t.Logf("%d short responses; slow callers: %d complete, %d cut, %d refused", short, complete, cut, refused)
	is.True(cut > 0)
	awaitTrue(t, func() bool { return f.gateway.MemoryInUse() == 0 })
}
