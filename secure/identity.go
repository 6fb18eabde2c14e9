package secure

import (
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"os"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// ServerName is the name in the certificates of all instances. Instances are
// told apart by what they say, not by their certificates: their addresses change.
const ServerName = "dogwoodroute"

// sessions is how many peers a new connection to which needs no full handshake.
const sessions = 64

// Identity is one end of protected links. It is safe for concurrent use. A nil
// Identity stands for links that are not protected.
type Identity struct {
	files   Files
	present atomic.Pointer[material]
}

// material is what the files held when they were last read.
type material struct {
	certificate tls.Certificate
	authority   *x509.CertPool
	server      *tls.Config
}

// Load reads the files. It returns nil when none are given.
func Load(f Files) (*Identity, error) {
	if err := f.Validate(); err != nil || f.Empty() {
		return nil, err
	}
	i := &Identity{files: f}
	return i, i.Reload()
}

// Reload reads the files again. New connections use what they hold now. After an
// error the former material stays.
func (i *Identity) Reload() error {
	certificate, err := tls.LoadX509KeyPair(i.files.Certificate, i.files.Key)
	if err != nil {
		return errors.Wrapf(err, "read certificate %s", i.files.Certificate)
	}
	pem, err := os.ReadFile(i.files.Authority)
	if err != nil {
		return errors.Wrap(err, "read authority")
	}
	m := &material{certificate: certificate, authority: x509.NewCertPool()}
	if !m.authority.AppendCertsFromPEM(pem) {
		return errors.Errorf("authority %s holds no certificate", i.files.Authority)
	}
	// One configuration for all connections, since it holds the keys of sessions.
	m.server = &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certificate},
		ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: m.authority, NextProtos: []string{"h2", "http/1.1"}}
	i.present.Store(m)
	return nil
}

// ReloadAndLog reads the files again and logs the result.
func (i *Identity) ReloadAndLog(log *slog.Logger) {
	if i == nil {
		log.Info("no certificates to reload")
		return
	}
	if err := i.Reload(); err != nil {
		log.Warn("certificates not reloaded, the former ones stay", "error", err.Error())
		return
	}
	log.Info("certificates reloaded")
}

// ServerConfig returns the configuration of a listening end.
func (i *Identity) ServerConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{"h2", "http/1.1"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return i.present.Load().server, nil }}
}

// ClientConfig returns the configuration of a connecting end, nil for links that are
// not protected.
func (i *Identity) ClientConfig() *tls.Config {
	if i == nil {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, ServerName: ServerName,
		ClientSessionCache: tls.NewLRUClientSessionCache(sessions),
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &i.present.Load().certificate, nil
		},
		// The authority may change, so verify checks the other end in place of the
		// package, also when a session is taken up again.
		InsecureSkipVerify: true, VerifyConnection: i.verify}
}

func (i *Identity) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("the other end shows no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: i.present.Load().authority, Intermediates: intermediates,
		DNSName: ServerName, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}})
	return err // the caller adds the step and the peer
}
