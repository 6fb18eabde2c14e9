package membership

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"time"
)

// Incarnation identifies one run of one instance: 8 bytes of wall clock time in
// nanoseconds, then 8 random bytes. The higher of two incarnations is usually
// the newer run, but not always, because a clock may be set back.
type Incarnation [16]byte

// NewIncarnation returns the incarnation of a process that starts at the given time.
func NewIncarnation(started time.Time) Incarnation {
	var i Incarnation
	binary.BigEndian.PutUint64(i[:8], uint64(started.UnixNano()))
	_, _ = rand.Read(i[8:]) // never fails
	return i
}

// String returns the incarnation in hexadecimal.
func (i Incarnation) String() string { return hex.EncodeToString(i[:]) }

// bytes returns a copy: a message may be encoded while the state changes.
func (i Incarnation) bytes() []byte { return i[:] }

func (i Incarnation) after(other Incarnation) bool { return bytes.Compare(i[:], other[:]) > 0 }

// parseIncarnation decodes b. It reports false if b has the wrong length or is
// all zero.
func parseIncarnation(b []byte) (Incarnation, bool) {
	if len(b) != len(Incarnation{}) {
		return Incarnation{}, false
	}
	i := Incarnation(b)
	return i, i != Incarnation{}
}
