package secure

import "github.com/go-faster/errors"

// Files holds the paths of PEM files. If all are empty, connections are neither
// authenticated nor encrypted.
type Files struct {
	// Certificate is the certificate of this process, followed by intermediate
	// certificates. It must contain the DNS name ServerName and allow use as server
	// and client. Default: none.
	Certificate string `json:"certificate_file,omitempty"`
	// Key is the private key of Certificate. Default: none.
	Key string `json:"key_file,omitempty"`
	// Authority holds the CA certificates for verifying peers. During a change of
	// the authority it holds the old and the new one. Default: none.
	Authority string `json:"authority_file,omitempty"`
}

// AddFlags defines the flags --certificate, --key and --authority.
func (f *Files) AddFlags(flags interface {
	StringVar(p *string, name, value, usage string)
}) {
	flags.StringVar(&f.Certificate, "certificate", "", "certificate of this process, PEM; none: connections are not protected")
	flags.StringVar(&f.Key, "key", "", "private key of the certificate, PEM")
	flags.StringVar(&f.Authority, "authority", "", "CA certificates that sign those of the instances, PEM")
}

// Empty reports whether no file is set.
func (f Files) Empty() bool { return f == Files{} }

// Validate returns an error if some files are set but not all.
func (f Files) Validate() error {
	if !f.Empty() && (f.Certificate == "" || f.Key == "" || f.Authority == "") {
		return errors.New("certificate, key and authority are needed together")
	}
	return nil
}
