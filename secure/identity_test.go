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

// talk connects a client to a server and passes one byte each way.
func talk(t *testing.T, server, client *tls.Config) error {
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

// Guards against an end that talks to one without a certificate of the fleet's
// authority, in either direction.
func TestOnlyTheFleetsCertificatesAreTaken(t *testing.T) {
	is := is.New(t)
	fleet, other := securetest.New(t), securetest.New(t)
	a, b, stranger := load(t, fleet, secure.ServerName), load(t, fleet, secure.ServerName), load(t, other, secure.ServerName)
	is.NoErr(talk(t, a.ServerConfig(), b.ClientConfig()))
	is.True(talk(t, a.ServerConfig(), stranger.ClientConfig()) != nil)
	is.True(talk(t, stranger.ServerConfig(), a.ClientConfig()) != nil)
	is.True(talk(t, load(t, fleet, "elsewhere").ServerConfig(), a.ClientConfig()) != nil) // a name of another use
	is.True(talk(t, a.ServerConfig(), &tls.Config{InsecureSkipVerify: true}) != nil)
}

// Guards against certificates that need a restart to be replaced, also for
// clients that keep sessions, and against broken files that replace good ones.
func TestReload(t *testing.T) {
	is := is.New(t)
	former, next := securetest.New(t), securetest.New(t)
	directory := t.TempDir()
	a, err := secure.Load(former.Write(t, directory, secure.ServerName))
	is.NoErr(err)
	peer, server := load(t, former, secure.ServerName), a.ServerConfig()
	client := peer.ClientConfig()
	is.NoErr(talk(t, server, client))

	files := next.Write(t, directory, secure.ServerName)
	is.NoErr(a.Reload())
	is.True(talk(t, server, client) != nil) // the session of the former authority does not count
	is.NoErr(talk(t, server, load(t, next, secure.ServerName).ClientConfig()))

	_, err = secure.Load(secure.Files{Certificate: files.Certificate, Key: files.Authority, Authority: files.Authority})
	is.True(err != nil)
	is.True(secure.Files{Certificate: "c"}.Validate() != nil)
	none, err := secure.Load(secure.Files{})
	is.NoErr(err)
	is.True(none == nil)
}
