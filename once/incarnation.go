package once

import (
	"encoding/hex"
	"io"

	"github.com/go-faster/errors"
)

// Incarnation identifies one process lifetime of an instance by 128 random bits
// that are generated at its start.
type Incarnation [16]byte

// NewIncarnation generates an identifier from a source of random bytes. It
// returns an error if the source cannot be read.
func NewIncarnation(random io.Reader) (Incarnation, error) {
	var i Incarnation
	if _, err := io.ReadFull(random, i[:]); err != nil {
		return i, errors.Wrap(err, "read random incarnation")
	}
	return i, nil
}

// String returns 32 hexadecimal digits.
func (i Incarnation) String() string { return hex.EncodeToString(i[:]) }

// ParseIncarnation parses the format that String returns.
func ParseIncarnation(text string) (Incarnation, error) {
	var i Incarnation
	if hex.DecodedLen(len(text)) != len(i) || len(text)%2 != 0 {
		return i, errors.Errorf("incarnation %q does not have %d hexadecimal digits", text, hex.EncodedLen(len(i)))
	}
	if _, err := hex.Decode(i[:], []byte(text)); err != nil {
		return Incarnation{}, errors.Wrapf(err, "incarnation %q", text)
	}
	return i, nil
}
