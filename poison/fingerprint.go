package poison

import (
	"encoding/hex"

	"github.com/go-faster/errors"
)

// Fingerprint is a hash of the content of a request. Requests with the same
// content have the same fingerprint.
type Fingerprint [16]byte

// String returns 32 hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint parses the format that String returns.
func ParseFingerprint(text string) (Fingerprint, error) {
	raw, err := hex.DecodeString(text)
	if err != nil {
		return Fingerprint{}, errors.Wrapf(err, "fingerprint %q", text)
	}
	if len(raw) != len(Fingerprint{}) {
		return Fingerprint{}, errors.Errorf("fingerprint %q does not have %d bytes", text, len(Fingerprint{}))
	}
	return Fingerprint(raw), nil
}
