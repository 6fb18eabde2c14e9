package soak

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// echo returns the address of a server that echoes what it receives.
func echo(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn); _ = conn.Close() }()
		}
	}()
	return listener.Addr().String()
}

// Guards against a proxy that does not apply the faults of its state: a soak with
// such proxies would inject no network faults.
func TestProxy(t *testing.T) {
	is := is.New(t)
	p, err := newProxy("127.0.0.1:0", echo(t))
	is.NoErr(err)
	defer p.close()
	open := func() net.Conn {
		conn, err := net.Dial("tcp", p.address())
		is.NoErr(err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	passes := func(conn net.Conn, limit time.Duration) error {
		is.NoErr(conn.SetReadDeadline(time.Now().Add(limit)))
		if _, err := io.WriteString(conn, "x"); err != nil {
			return err
		}
		_, err := io.ReadFull(conn, make([]byte, 1))
		return err
	}
	conn := open()
	is.NoErr(passes(conn, time.Minute))
	for _, silent := range []proxyState{{dropToServer: true}, {dropToClient: true}} {
		c := open()
		is.NoErr(passes(c, time.Minute))
		p.setState(silent)
		err := passes(c, 50*time.Millisecond)
		timeout, ok := err.(net.Error)
		is.True(ok && timeout.Timeout()) // no data and no end of the connection
		p.setState(proxyState{})
		is.True(passes(c, time.Minute) != nil) // dropped data is not delivered later
	}
	p.setState(proxyState{resetNew: true})
	// The reset may arrive at any time after the handshake, so either the dial or a
	// later call fails.
	refused, err := net.Dial("tcp", p.address())
	if err == nil {
		err = passes(refused, time.Minute)
		is.NoErr(refused.Close())
	}
	is.True(errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE))
	p.setState(proxyState{})
	p.reset()
	is.True(passes(conn, time.Minute) != nil)
	is.NoErr(passes(open(), time.Minute))
}
