package entry

import (
	"crypto/sha256"
	"encoding/binary"
	"net/http"

	"github.com/dogwoodroute/dogwoodroute/internal/segments"
)

// Fingerprint identifies a request by its content. Requests with equal
// fingerprints count as the same request.
type Fingerprint = [16]byte

// fingerprintOf hashes the route, method, path with query, and body. The hash is
// cryptographic, so that no caller can construct a request that collides with
// another one.
func fingerprintOf(route string, r *http.Request, body *segments.Buffer) Fingerprint {
	hash := sha256.New()
	for _, part := range []string{route, r.Method, requestURI(r)} {
		var size [8]byte
		binary.LittleEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = hash.Write(size[:]) // never fails
		_, _ = hash.Write([]byte(part))
	}
	_, _ = body.WriteTo(hash)
	return Fingerprint(hash.Sum(nil)[:16])
}
