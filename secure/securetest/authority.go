// Package securetest creates certificates for tests.
package securetest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/dogwoodroute/dogwoodroute/secure"
)

// Authority is a certificate authority.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// New returns a new authority.
func New(t testing.TB) *Authority {
	t.Helper()
	template := template("authority")
	template.IsCA, template.BasicConstraintsValid, template.KeyUsage = true, true, x509.KeyUsageCertSign
	key := newKey(t)
	return &Authority{key: key, certificate: sign(t, template, template, key, key)}
}

// Write creates a key and a certificate for the DNS name and writes them and the
// authority's certificate to a directory. It overwrites existing files.
func (a *Authority) Write(t testing.TB, directory, name string) secure.Files {
	t.Helper()
	key := newKey(t)
	template := template(name)
	template.DNSNames = []string{name}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	encoded, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	f := secure.Files{Certificate: filepath.Join(directory, "certificate.pem"), Key: filepath.Join(directory, "key.pem"),
		Authority: filepath.Join(directory, "authority.pem")}
	write(t, f.Certificate, "CERTIFICATE", sign(t, template, a.certificate, key, a.key).Raw)
	write(t, f.Key, "EC PRIVATE KEY", encoded)
	write(t, f.Authority, "CERTIFICATE", a.certificate.Raw)
	return f
}

func template(name string) *x509.Certificate {
	return &x509.Certificate{SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour), KeyUsage: x509.KeyUsageDigitalSignature}
}

func newKey(t testing.TB) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func sign(t testing.TB, template, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) *x509.Certificate {
	raw, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(raw)
	if err != nil {
		t.Fatal(err)
	}
	return certificate
}

func write(t testing.TB, path, kind string, content []byte) {
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: content}), 0o600); err != nil {
		t.Fatal(err)
	}
}
