package secure

import "github.com/go-faster/errors"

// Files are paths of PEM files. All empty: links are neither authenticated nor
// encrypted.
type Files struct {
	// Certificate is this end's certificate, followed by intermediate ones. It is
	// for the name ServerName and for both uses, server and client. Default: none.
	Certificate string `json:"certificate_file,omitempty"`
	// Key is the private key of Certificate. Default: none.
	Key string `json:"key_file,omitempty"`
	// Authority holds the certificates that sign those of the other ends. During
	// a change of the authority it holds the old and the new one. Default: none.
	Authority string `json:"authority_file,omitempty"`
}

// AddFlags adds flags for the files to a command's.
func (f *Files) AddFlags(flags interface {
	StringVar(p *string, name, value, usage string)
}) {
	flags.StringVar(&f.Certificate, "certificate", "", "certificate of this end, PEM; none: links are not protected")
	flags.StringVar(&f.Key, "key", "", "private key of the certificate, PEM")
	flags.StringVar(&f.Authority, "authority", "", "certificates that sign those of the instances, PEM")
}

// Empty reports whether no file is given.
func (f Files) Empty() bool { return f == Files{} }

// Validate reports files that are missing while others are given.
func (f Files) Validate() error {
	if !f.Empty() && (f.Certificate == "" || f.Key == "" || f.Authority == "") {
		return errors.New("certificate, key and authority are needed together")
	}
	return nil
}
