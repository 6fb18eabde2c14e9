package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
)

// Hasher computes the Fingerprint of a request whose body is written to it in
// pieces. It uses SHA-256 because a collision would refuse a harmless request
// or return the recorded response of another request.
type Hasher struct{ hash hash.Hash }

// NewHasher returns a hasher of a request without a body. uri is the path and
// query as received.
func NewHasher(route, method, uri string) *Hasher {
	h := &Hasher{hash: sha256.New()}
	head := make([]byte, 0, 256)
	for _, part := range [...]string{route, method, uri} {
		// The length prefix makes ("ab", "c") and ("a", "bc") differ.
		head = binary.BigEndian.AppendUint64(head, uint64(len(part)))
		head = append(head, part...)
	}
	h.hash.Write(head)
	return h
}

// Write adds a piece of the body. It never returns an error.
func (h *Hasher) Write(body []byte) (int, error) { return h.hash.Write(body) }

// Sum returns the fingerprint of the request with the body written so far.
func (h *Hasher) Sum() Fingerprint {
	var sum [sha256.Size]byte
	return Fingerprint(h.hash.Sum(sum[:0])[:len(Fingerprint{})])
}
