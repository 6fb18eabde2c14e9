package secure_test

import (
	"crypto/tls"
	"io"
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/secure"
	"github.com/dogwoodroute/dogwoodroute/secure/securetest"
)

// exchangeByte connects a client to a server, sends one byte and receives it back.
func exchangeByte(t *testing.T, server, client *tls.Config) error {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	served := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			served <- err
			return
		}
		secured := tls.Server(conn, server)
		_, err = io.CopyN(secured, secured, 1)
		_ = secured.Close()
		served <- err
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	secured := tls.Client(conn, client)
	_, err = secured.Write([]byte("x"))
	if err == nil {
		_, err = io.ReadFull(secured, make([]byte, 1))
	}
	_ = conn.Close()
	if serverErr := <-served; err == nil {
		err = serverErr
	}
	return err
}

func load(t *testing.T, a *securetest.Authority, name string) *secure.Identity {
	t.Helper()
	i, err := secure.Load(a.Write(t, t.TempDir(), name))
	if err != nil {
		t.Fatal(err)
	}
	return i
}

// Guards against connections to a peer without a certificate of the fleet's authority,
// in either direction.
func TestOnlyFleetCertificatesAreAccepted(t *testing.T) {
	is := is.New(t)
	fleet, other := securetest.New(t), securetest.New(t)
	a, b, outsider := load(t, fleet, secure.ServerName), load(t, fleet, secure.ServerName), load(t, other, secure.ServerName)
	is.NoErr(exchangeByte(t, a.ServerConfig(), b.ClientConfig()))
	is.True(exchangeByte(t, a.ServerConfig(), outsider.ClientConfig()) != nil)
	is.True(exchangeByte(t, outsider.ServerConfig(), a.ClientConfig()) != nil)
	// Signed by the fleet's authority, but for another name.
	is.True(exchangeByte(t, load(t, fleet, "elsewhere").ServerConfig(), a.ClientConfig()) != nil)
	is.True(exchangeByte(t, a.ServerConfig(), &tls.Config{InsecureSkipVerify: true}) != nil)
}

// Guards against certificates that a reload does not replace, also for clients that
// resume sessions, and against the acceptance of invalid or missing files.
func TestReload(t *testing.T) {
	is := is.New(t)
	previous, next := securetest.New(t), securetest.New(t)
	directory := t.TempDir()
	a, err := secure.Load(previous.Write(t, directory, secure.ServerName))
	is.NoErr(err)
	peer, server := load(t, previous, secure.ServerName), a.ServerConfig()
	client := peer.ClientConfig()
	is.NoErr(exchangeByte(t, server, client))

	files := next.Write(t, directory, secure.ServerName)
	is.NoErr(a.Reload())
	is.True(exchangeByte(t, server, client) != nil) // a session from before the reload cannot be resumed
	is.NoErr(exchangeByte(t, server, load(t, next, secure.ServerName).ClientConfig()))

	_, err = secure.Load(secure.Files{Certificate: files.Certificate, Key: files.Authority, Authority: files.Authority})
	is.True(err != nil)
	is.True(secure.Files{Certificate: "c"}.Validate() != nil)
	none, err := secure.Load(secure.Files{})
	is.NoErr(err)
	is.True(none == nil)
}
