package once

import (
	"crypto/hmac"
	"crypto/sha256"
	"hash"
	"io"

	"github.com/go-faster/errors"
)

// signer computes and verifies the MACs of tickets: truncated HMAC-SHA256 with a
// key that never leaves the process. It is not safe for concurrent use.
type signer struct {
	mac    hash.Hash
	prefix []byte
}

func newSigner(random io.Reader) (*signer, error) {
	var key [sha256.Size]byte
	if _, err := io.ReadFull(random, key[:]); err != nil {
		return nil, errors.Wrap(err, "read random ticket key")
	}
	return &signer{mac: hmac.New(sha256.New, key[:]), prefix: []byte(ticketPrefix)}, nil
}

func (s *signer) sign(t Ticket) [macBytes]byte {
	s.mac.Reset()
	s.mac.Write(s.prefix)
	signed := t.signed()
	s.mac.Write(signed[:])
	var sum [sha256.Size]byte
	return [macBytes]byte(s.mac.Sum(sum[:0])[:macBytes])
}

func (s *signer) valid(t Ticket) bool {
	want := s.sign(t)
	return hmac.Equal(want[:], t.mac[:])
}
