package quarantine

import "github.com/dogwoodroute/dogwoodroute/poison"

// Identity is what makes two sends one request. Callers are not told apart: a caller may have
// several addresses, and what crashes a target does so for all of them.
type Identity struct {
	// Content is the fingerprint of host, method, path with query, and body.
	Content poison.Fingerprint
	// Resource is the fingerprint of host, path and body. A caller may vary the rest with each
	// send. The zero value, in reports of older builds, stands for none.
	Resource poison.Fingerprint
}
