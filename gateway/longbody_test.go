package gateway_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startBody opens a connection from a loopback address, and sends a request whose body of
// the announced length is not complete.
func (f *fixture) startBody(t *testing.T, from string, length, sent int) net.Conn {
	t.Helper()
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	conn, err := dialer.Dial("tcp", f.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := fmt.Fprintf(conn, "POST /unsafe/x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: long\r\nDeadline-Ms: 60000\r\nContent-Length: %d\r\n\r\n%s",
		length, strings.Repeat("a", sent)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// Guards against long bodies of one caller that leave no memory for the ordinary requests
// of others.
func TestLongBodiesLeaveRoomForShortOnes(t *testing.T) {
	is := is.New(t)
	f := start(t, startTarget(t, "a", run))
	for range 4 { // the limit of the fixture is 4 MiB
		f.startBody(t, "127.0.0.1", 1020<<10, 1020<<10-1)
	}
	short := strings.Repeat("b", 60<<10)
	for range 200 { // the long bodies arrive meanwhile
		is.Equal(f.send(t, http.MethodPost, "/unsafe/x", short).status, http.StatusOK)
		time.Sleep(time.Millisecond)
	}
}

// Guards against a body that is received although there is no memory for it.
func TestBodyThatDoesNotFitIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	f := start(t, startTarget(t, "a", run))
	conn := f.startBody(t, "127.0.0.1", 3600<<10, 0)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.True(response.Header.Get("Retry-After") != "")
}

// Guards against a caller that takes the memory of others with several long bodies.
func TestCallerHasAShareOfTheMemory(t *testing.T) {
	is := is.New(t)
	f := start(t, startTarget(t, "a", run))
	body := strings.Repeat("b", 600<<10)
	for wait := time.Millisecond; ; wait *= 2 { // for the arrival of the first body
		first := f.startBody(t, "127.0.0.1", 800<<10, 800<<10-1)
		time.Sleep(wait)
		if f.send(t, http.MethodPost, "/unsafe/x", body).status == http.StatusServiceUnavailable {
			break
		}
		is.True(wait < testTimeout)
		_ = first.Close()
	}
	other := f.startBody(t, "127.0.0.2", len(body), len(body))
	response, err := http.ReadResponse(bufio.NewReader(other), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
}
