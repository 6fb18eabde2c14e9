package secure

import (
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"os"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// ServerName is the DNS name in the certificates of all instances. It is the same for
// all, since their addresses change; instances identify themselves in the protocol.
const ServerName = "dogwoodroute"

// sessionCacheSize is the number of peers whose TLS sessions can be resumed without a
// full handshake.
const sessionCacheSize = 64

// Identity holds the certificate and key of this process and the authority for its
// peers. It is safe for concurrent use. A nil Identity means unprotected connections; only
// DialOption, ServerOption, ClientConfig and ReloadAndLog accept it.
type Identity struct {
	files   Files
	current atomic.Pointer[keyMaterial]
}

// keyMaterial is the content of the files when they were last loaded.
type keyMaterial struct {
	certificate tls.Certificate
	authority   *x509.CertPool
	server      *tls.Config
}

// Load reads the files. It returns a nil Identity if none are set.
func Load(f Files) (*Identity, error) {
	if err := f.Validate(); err != nil || f.Empty() {
		return nil, err
	}
	i := &Identity{files: f}
	return i, i.Reload()
}

// Reload reads the files again, for new connections. After an error the previous
// certificates stay in use.
func (i *Identity) Reload() error {
	certificate, err := tls.LoadX509KeyPair(i.files.Certificate, i.files.Key)
	if err != nil {
		return errors.Wrapf(err, "read certificate %s", i.files.Certificate)
	}
	pem, err := os.ReadFile(i.files.Authority)
	if err != nil {
		return errors.Wrap(err, "read authority")
	}
	material := &keyMaterial{certificate: certificate, authority: x509.NewCertPool()}
	if !material.authority.AppendCertsFromPEM(pem) {
		return errors.Errorf("authority file %s contains no certificate", i.files.Authority)
	}
	// One configuration for all connections, since it holds the keys for resuming
	// sessions.
	material.server = &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certificate},
		ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: material.authority, NextProtos: []string{"h2", "http/1.1"}}
	i.current.Store(material)
	return nil
}

// ReloadAndLog calls Reload and logs the result.
func (i *Identity) ReloadAndLog(log *slog.Logger) {
	if i == nil {
		log.Info("no certificates to reload: connections are not protected")
		return
	}
	if err := i.Reload(); err != nil {
		log.Warn("reload certificates failed; the previous ones stay in use", "error", err.Error())
		return
	}
	log.Info("certificates reloaded")
}

// ServerConfig returns the TLS configuration for listeners. It follows reloads. The
// Identity must not be nil.
func (i *Identity) ServerConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{"h2", "http/1.1"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return i.current.Load().server, nil }}
}

// ClientConfig returns the TLS configuration for outgoing connections, or nil if they
// are not protected. It follows reloads.
func (i *Identity) ClientConfig() *tls.Config {
	if i == nil {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, ServerName: ServerName,
		ClientSessionCache: tls.NewLRUClientSessionCache(sessionCacheSize),
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &i.current.Load().certificate, nil
		},
		// verifyPeer replaces the verification by crypto/tls, since a reload may
		// change the authority. It also runs when a session is resumed.
		InsecureSkipVerify: true, VerifyConnection: i.verifyPeer}
}

// verifyPeer verifies the certificate of a server with the current authority.
func (i *Identity) verifyPeer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer presented no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: i.current.Load().authority, Intermediates: intermediates,
		DNSName: ServerName, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}})
	return err // the caller adds context
}
